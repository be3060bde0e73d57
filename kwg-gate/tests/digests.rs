//! Digests as deltas: what is sent, what survives a loss, and how the bytes grow with the fleet.

use kwg_gate::{
    AccountLabel, AccountUsage, DigestDelta, DigestExchange, DigestMirror, DigestSource,
    DomainListing, EndKey, EndRecord, GateDigest, ServiceName, TargetCode, TargetReport, TargetRun,
};
use quickcheck::quickcheck;

/// Bytes a second that an instance may spend on its digests at the size that the operators plan
/// for, at five digests a second.
const BYTES_PER_DIGEST: usize = 2_048 / 5;

fn report(running: u16) -> TargetReport {
    TargetReport { running, good: 900 + u32::from(running), step_us: 3_100, ..Default::default() }
}

/// A digest of an instance that has used `targets` targets for `accounts` accounts.
fn digest(targets: u16, accounts: u64) -> GateDigest {
    let target = |number: u16| (TargetCode::of(&format!("i-{number:08x}")), report(number % 3));
    let account = |number: u64| AccountUsage {
        label: AccountLabel::new(&format!("account{number}")),
        used: 1_000_000 + number,
    };
    GateDigest {
        run: 7,
        members: 1,
        accounts: (0..accounts).map(account).collect(),
        targets: (0..targets).map(target).collect(),
        waiting: vec![(ServiceName::new("glade-llm"), 3)],
        ..GateDigest::default()
    }
}

fn sorted(mut digest: GateDigest) -> GateDigest {
    digest.accounts.sort_by(|one, other| one.label.as_str().cmp(other.label.as_str()));
    digest.targets.sort_by_key(|(code, _)| *code);
    digest
}

#[test]
fn a_delta_names_only_what_changed() {
    let mut source = DigestSource::default();
    let mut digest = digest(12_000, 220);
    assert!(source.next_delta(&digest).is_full);
    digest.targets[17].1.running += 1;
    digest.accounts[3].used += 500;
    let delta = source.next_delta(&digest);
    assert_eq!((delta.changes.targets.len(), delta.changes.accounts.len()), (1, 1));
    assert_eq!(delta.changes.targets[0], digest.targets[17]);
}

#[test]
fn the_bytes_of_a_delta_do_not_grow_with_targets_or_accounts() {
    // An instance at the planned size serves 23 requests a second, 5 in the time of a digest.
    let bytes = |targets, accounts| {
        let mut source = DigestSource::default();
        let mut digest = digest(targets, accounts);
        source.next_delta(&digest);
        (0..5).for_each(|number| digest.targets[number * 3].1.running += 1);
        digest.accounts[0].used += 9;
        postcard::to_allocvec(&source.next_delta(&digest)).expect("encodes").len()
    };
    assert_eq!(bytes(215, 40), bytes(12_000, 220));
    assert!(bytes(12_000, 220) < BYTES_PER_DIGEST, "{} bytes", bytes(12_000, 220));
}

#[test]
fn a_lost_delta_is_noticed_and_repaired_by_a_complete_one() {
    let (mut source, mut mirror) = (DigestSource::default(), DigestMirror::default());
    let mut digest = digest(20, 3);
    mirror.apply(&source.next_delta(&digest));
    digest.targets.remove(4);
    source.next_delta(&digest);
    digest.targets[0].1.running += 1;
    mirror.apply(&source.next_delta(&digest));
    assert!(mirror.has_gap(), "the removal was lost");
    source.request_full();
    let received = mirror.apply(&source.next_delta(&digest)).expect("newer");
    assert!(!mirror.has_gap());
    assert_eq!(sorted(received), sorted(digest));
}

#[test]
fn a_delta_that_arrives_twice_or_late_is_skipped() {
    let (mut source, mut mirror) = (DigestSource::default(), DigestMirror::default());
    let mut digest = digest(3, 1);
    mirror.apply(&source.next_delta(&digest));
    let second = source.next_delta(&digest);
    digest.targets[0].1.running += 5;
    let third = source.next_delta(&digest);
    mirror.apply(&second);
    mirror.apply(&third);
    assert_eq!(mirror.apply(&second), None);
    let changes = GateDigest { run: 8, ..GateDigest::default() };
    let run = DigestDelta { number: 1, is_full: true, changes };
    assert!(mirror.apply(&run).is_some_and(|digest| digest.targets.is_empty()), "a new run");
}

#[test]
fn a_view_leaves_out_the_recipients_own_work() {
    let (mut member, mut relay) = (DigestExchange::default(), DigestExchange::default());
    let own = digest(4, 2);
    let delta = member.encode_own(&own);
    let received = relay.decode("a-02", &delta).expect("first");
    let other = digest(2, 1);
    let sum = GateDigest::sum(&other, std::iter::once(&received));
    let mut view = relay.next_view("a", sum, DomainListing::default());
    view.included = relay.last_of("a-02");
    // The member has started one more request since.
    let mut newer = own;
    newer.targets[0].1.running += 1;
    member.encode_own(&newer);
    let views = member.decode_view("a-01", &view, "a", 7);
    let (domain, others) = &views[0];
    assert_eq!((domain.as_str(), others.members), ("a", 1));
    let running = |digest: &GateDigest| -> u32 {
        digest.targets.iter().map(|(_, report)| u32::from(report.running)).sum()
    };
    assert_eq!(running(others), running(&other));
    assert_eq!(others.waiting, other.waiting);
    let used = |digest: &GateDigest| digest.accounts.iter().map(|usage| usage.used).sum::<u64>();
    assert_eq!(used(others), used(&other));
}

#[test]
fn a_sum_with_an_outdated_own_digest_is_not_used() {
    let (mut member, mut relay) = (DigestExchange::default(), DigestExchange::default());
    let delta = member.encode_own(&digest(4, 2));
    let received = relay.decode("a-02", &delta).expect("first");
    (0..40).for_each(|_| drop(member.encode_own(&digest(4, 2))));
    let mut view = relay.next_view("a", received, DomainListing::default());
    view.included = relay.last_of("a-02");
    assert!(member.decode_view("a-01", &view, "a", 7).is_empty());
}

quickcheck! {
    fn a_mirror_follows_any_sequence_of_digests(states: Vec<Vec<(u8, u8)>>) -> bool {
        let (mut source, mut mirror) = (DigestSource::default(), DigestMirror::default());
        states.into_iter().all(|state| {
            let targets: std::collections::BTreeMap<TargetCode, TargetReport> = state
                .into_iter()
                .map(|(name, running)| (TargetCode::of(&name.to_string()), report(running.into())))
                .collect();
            let digest = GateDigest { run: 1, targets: targets.into_iter().collect(), ..Default::default() };
            let received = mirror.apply(&source.next_delta(&digest));
            received.is_some_and(|received| sorted(received) == sorted(digest))
        })
    }
}

/// A digest with as many ends of targets as an instance keeps: 256 contents, three ends each.
fn digest_with_ends() -> GateDigest {
    let mut ends = Vec::new();
    for content in 0..256_u64 {
        for target in 0..3 {
            let run = TargetRun::of(&format!("i-{content}-{target}"), 1_700_000_000_000);
            let fingerprint = content.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let key = EndKey { suspect: fingerprint.into(), run, ordinal: 0 };
            ends.push(EndRecord {
                key,
                is_void: false,
                was_answered: false,
                is_crowded: false,
                is_proved: false,
                has_begun: false,
                held_ms: 500,
                age_ms: 300_000,
            });
        }
    }
    GateDigest { run: 7, members: 1, ends, ..GateDigest::default() }
}

/// Bytes a second of the messages of one instance with a full set of ends, at five digests a second.
#[test]
fn a_full_set_of_ends_costs_little_when_nothing_changes() {
    let bytes = |delta: &DigestDelta| postcard::to_allocvec(delta).expect("encodes").len();
    let digest = digest_with_ends();
    let mut source = DigestSource::default();
    let complete = bytes(&source.next_delta(&digest));
    let idle = bytes(&source.next_delta(&digest));
    let mut exchange = DigestExchange::default();
    let first_sum = bytes(&exchange.encode_sum(&digest));
    while exchange.has_new_ends(&digest) {
        drop(exchange.encode_sum(&digest));
    }
    let sum = bytes(&exchange.encode_sum(&digest));
    println!("complete {complete}, delta {idle}, first sum {first_sum}, sum {sum} bytes");
    assert!(idle < 32, "{idle} bytes a delta");
    assert!(sum < BYTES_PER_DIGEST, "{sum} bytes a sum");
    assert!(first_sum < 4 * BYTES_PER_DIGEST, "{first_sum} bytes with new ends");
    // One in 64 digests is complete.
    assert!(complete / 64 < BYTES_PER_DIGEST, "{complete} bytes");
}
