//! Request queue: tier priority, fairness between client accounts, and shedding.

use kwg_decide::{QueueEntry, QueueOptions, QueueVerdict, TierQueue};
use kwg_model::{AccountName, MonoTime, ServiceTier};
use quickcheck::quickcheck;

fn entry(tier: u8, account: &str, cost_tokens: u64) -> QueueEntry<u8> {
    QueueEntry {
        tier: ServiceTier::new(tier).expect("in range"),
        account: AccountName::new(account).expect("valid"),
        cost_tokens,
        deadline: MonoTime::from_millis(1_000),
        item: tier,
    }
}

fn queue(max_tokens: u64) -> TierQueue<u8> {
    TierQueue::new(QueueOptions { max_tokens, max_entries: 1_000 })
}

#[test]
fn accounts_share_a_tier_by_cost() {
    let mut queue = queue(100_000);
    for _ in 0..20 {
        queue.offer(entry(1, "large", 100));
    }
    for _ in 0..4 {
        queue.offer(entry(1, "small", 100));
    }
    let first: Vec<String> =
        (0..8).filter_map(|_| queue.pop(|_| true)).map(|entry| entry.account.to_string()).collect();
    let small = first.iter().filter(|account| *account == "small").count();
    assert_eq!(small, 4, "the small account gets every second turn: {first:?}");
}

#[test]
fn an_account_gains_no_service_by_pausing() {
    let mut queue = queue(100_000);
    queue.offer(entry(1, "pausing", 1_000));
    assert!(queue.pop(|_| true).is_some());
    for _ in 0..3 {
        queue.offer(entry(1, "steady", 100));
        queue.offer(entry(1, "pausing", 100));
    }
    let order: Vec<String> =
        (0..3).filter_map(|_| queue.pop(|_| true)).map(|entry| entry.account.to_string()).collect();
    assert_eq!(order, ["steady", "steady", "steady"]);
}

#[test]
fn an_entry_that_is_not_admitted_blocks_those_behind_it() {
    let mut queue = queue(1_000);
    queue.offer(entry(0, "bank", 500));
    queue.offer(entry(4, "bank", 1));
    assert!(queue.pop(|entry| entry.cost_tokens < 100).is_none());
    assert_eq!(queue.len(), 2);
}

#[test]
fn an_empty_queue_accepts_an_entry_above_its_limit() {
    let mut queue = queue(100);
    assert!(matches!(queue.offer(entry(2, "bank", 500)), QueueVerdict::Accepted(_)));
    assert!(matches!(queue.offer(entry(2, "bank", 1)), QueueVerdict::Shed(_)));
}

#[test]
fn a_refused_entry_sheds_no_other() {
    let mut queue = queue(100);
    queue.offer(entry(1, "bank", 60));
    queue.offer(entry(3, "bank", 40));
    // Shedding the lower tier would not free enough capacity.
    let verdict = queue.offer(entry(2, "bank", 90));
    assert!(matches!(verdict, QueueVerdict::Shed(entry) if entry.cost_tokens == 90));
    assert_eq!(queue.len(), 2);
}

#[test]
fn expired_entries_are_removed() {
    let mut queue = queue(1_000);
    queue.offer(entry(1, "bank", 10));
    assert!(queue.take_expired(MonoTime::from_millis(999)).is_empty());
    assert_eq!(queue.take_expired(MonoTime::from_millis(1_000)).len(), 1);
    assert!(queue.pop(|_| true).is_none());
    assert_eq!(queue.tokens_ahead(ServiceTier::new(4).expect("in range")), 0);
}

quickcheck! {
    fn a_higher_tier_is_never_shed_before_a_lower_one(offers: Vec<(u8, u8, bool)>) -> bool {
        let mut queue = queue(400);
        let mut waiting = [0_usize; ServiceTier::COUNT];
        for (tier, cost, pops) in offers {
            let tier = tier % 5;
            let cost = u64::from(cost) + 1;
            let shed = match queue.offer(entry(tier, "bank", cost)) {
                QueueVerdict::Accepted(shed) => {
                    waiting[usize::from(tier)] += 1;
                    shed.iter().for_each(|entry| waiting[entry.tier.index()] -= 1);
                    shed
                }
                QueueVerdict::Shed(entry) => vec![entry],
            };
            for evicted in shed {
                let below = &waiting[evicted.tier.index() + 1..];
                // An entry may be shed while lower tiers have entries if shedding all of those
                // would not free enough capacity for it.
                let tokens_below: u64 = (evicted.tier.index() + 1..ServiceTier::COUNT)
                    .filter_map(|tier| ServiceTier::new(u8::try_from(tier).ok()?))
                    .map(|tier| queue.tier_tokens(tier))
                    .sum();
                if below.iter().any(|count| *count > 0) && tokens_below >= evicted.cost_tokens {
                    return false;
                }
            }
            if pops && let Some(entry) = queue.pop(|_| true) {
                waiting[entry.tier.index()] -= 1;
                if waiting[..entry.tier.index()].iter().any(|count| *count > 0) {
                    return false;
                }
            }
        }
        queue.len() == waiting.iter().sum::<usize>()
    }
}
