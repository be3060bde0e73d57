use std::collections::{BTreeMap, BTreeSet};

use kwg_model::{AccountName, MonoTime, ServiceTier};
use slotmap::{SlotMap, new_key_type};

use super::account_lane::AccountLane;

new_key_type! {
    /// Names one waiting entry.
    pub struct QueueKey;
}

/// Limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueOptions {
    /// Most work that waits, in tokens.
    pub max_tokens: u64,
    /// Most entries that wait.
    pub max_entries: usize,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self { max_tokens: 400_000, max_entries: 4_096 }
    }
}

/// One waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry<T> {
    /// Its tier.
    pub tier: ServiceTier,
    /// Its client account.
    pub account: AccountName,
    /// Its expected work, in tokens.
    pub cost_tokens: u64,
    /// When it is of no more use.
    pub deadline: MonoTime,
    /// The request.
    pub item: T,
}

/// What became of an entry that was offered to a queue.
#[derive(Debug)]
pub enum QueueVerdict<T> {
    /// It waits; these entries of lower tiers were shed to make room.
    Accepted(Vec<QueueEntry<T>>),
    /// It was shed itself: nothing of a lower tier waits.
    Shed(QueueEntry<T>),
}

/// A bounded queue that sheds the lowest tier first.
///
/// ```
/// use kwg_decide::{QueueEntry, QueueOptions, TierQueue};
/// use kwg_model::{AccountName, MonoTime, ServiceTier};
///
/// let mut queue = TierQueue::new(QueueOptions::default());
/// let entry = |tier, item| QueueEntry {
///     tier: ServiceTier::new(tier).expect("in range"),
///     account: AccountName::new("bank").expect("valid"),
///     cost_tokens: 10,
///     deadline: MonoTime::from_millis(100),
///     item,
/// };
/// queue.offer(entry(3, "routine"));
/// queue.offer(entry(0, "urgent"));
/// assert_eq!(queue.pop(|_| true).map(|entry| entry.item), Some("urgent"));
/// ```
#[derive(Debug)]
pub struct TierQueue<T> {
    options: QueueOptions,
    entries: SlotMap<QueueKey, QueueEntry<T>>,
    tiers: [TierLanes; ServiceTier::COUNT],
    deadlines: BTreeSet<(MonoTime, QueueKey)>,
    tokens: u64,
}

#[derive(Debug, Default)]
struct TierLanes {
    lanes: BTreeMap<AccountName, AccountLane>,
    virtual_time: u64,
    tokens: u64,
    count: usize,
}

impl<T> TierQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            entries: SlotMap::with_key(),
            tiers: Default::default(),
            deadlines: BTreeSet::new(),
            tokens: 0,
        }
    }

    /// How many entries wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many entries of lower tiers than this one wait.
    #[must_use]
    pub fn len_below(&self, tier: ServiceTier) -> usize {
        self.tiers[tier.index() + 1..].iter().map(|lanes| lanes.count).sum()
    }

    /// The work that waits in a tier, in tokens.
    #[must_use]
    pub fn tier_tokens(&self, tier: ServiceTier) -> u64 {
        self.tiers[tier.index()].tokens
    }

    /// The work that waits in a tier and above it, in tokens.
    #[must_use]
    pub fn tokens_ahead(&self, tier: ServiceTier) -> u64 {
        self.tiers[..=tier.index()].iter().map(|lanes| lanes.tokens).sum()
    }

    /// Queues an entry, shedding lower tiers, newest first, if that makes room.
    pub fn offer(&mut self, entry: QueueEntry<T>) -> QueueVerdict<T> {
        let mut shed = Vec::new();
        while self.is_full_for(entry.cost_tokens) {
            match self.pop_lowest_below(entry.tier) {
                Some(victim) => shed.push(victim),
                // Room for one is kept even if its cost exceeds the bound, so that a large
                // request is not refused by an empty queue.
                None if self.is_empty() => break,
                None => {
                    // What was shed for this entry goes back: shedding it gained nothing.
                    shed.into_iter().for_each(|victim| self.insert(victim));
                    return QueueVerdict::Shed(entry);
                }
            }
        }
        self.insert(entry);
        QueueVerdict::Accepted(shed)
    }

    /// Takes the next entry if `admits` holds for it.
    ///
    /// The next entry is the oldest of the account with the least service in the highest tier
    /// that waits. Nothing overtakes an entry that is not admitted, so a large urgent request
    /// is not starved by small routine ones.
    pub fn pop(&mut self, admits: impl FnOnce(&QueueEntry<T>) -> bool) -> Option<QueueEntry<T>> {
        let tier = (0..ServiceTier::COUNT).find(|tier| self.tiers[*tier].count > 0)?;
        let (account, key) = self.next_in_tier(tier)?;
        if !admits(&self.entries[key]) {
            return None;
        }
        self.charge(tier, &account, self.entries[key].cost_tokens);
        self.remove(key)
    }

    /// Takes every entry whose deadline has passed.
    pub fn take_expired(&mut self, now: MonoTime) -> Vec<QueueEntry<T>> {
        let mut expired = Vec::new();
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            expired.extend(self.remove(key));
        }
        expired
    }

    /// When the next entry expires.
    #[must_use]
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn is_full_for(&self, cost_tokens: u64) -> bool {
        self.entries.len() >= self.options.max_entries
            || self.tokens + cost_tokens > self.options.max_tokens
    }

    fn insert(&mut self, entry: QueueEntry<T>) {
        let QueueEntry { tier, account, cost_tokens, deadline, .. } = &entry;
        let (cost, deadline, account) = (*cost_tokens, *deadline, account.clone());
        let lanes = &mut self.tiers[tier.index()];
        lanes.tokens += cost;
        lanes.count += 1;
        self.tokens += cost;
        let key = self.entries.insert(entry);
        let lane = lanes.lanes.entry(account).or_default();
        if lane.keys.is_empty() {
            lane.tag = lane.tag.max(lanes.virtual_time);
        }
        lane.keys.push_back(key);
        self.deadlines.insert((deadline, key));
    }

    /// The oldest live entry of the lane with the least service.
    fn next_in_tier(&mut self, tier: usize) -> Option<(AccountName, QueueKey)> {
        let entries = &self.entries;
        let TierLanes { lanes, virtual_time, .. } = &mut self.tiers[tier];
        lanes.retain(|_, lane| {
            while lane.keys.front().is_some_and(|key| !entries.contains_key(*key)) {
                lane.keys.pop_front();
            }
            // An idle account keeps its tag while that is ahead, or it could gain by pausing.
            !lane.keys.is_empty() || lane.tag > *virtual_time
        });
        let waiting = lanes
            .iter()
            .filter_map(|(account, lane)| Some((lane.tag, account, lane.keys.front()?)));
        waiting.min_by_key(|(tag, ..)| *tag).map(|(_, account, key)| (account.clone(), *key))
    }

    fn charge(&mut self, tier: usize, account: &AccountName, cost_tokens: u64) {
        let lanes = &mut self.tiers[tier];
        if let Some(lane) = lanes.lanes.get_mut(account) {
            lanes.virtual_time = lanes.virtual_time.max(lane.tag);
            lane.tag += cost_tokens;
            lane.keys.pop_front();
        }
    }

    fn remove(&mut self, key: QueueKey) -> Option<QueueEntry<T>> {
        let entry = self.entries.remove(key)?;
        let lanes = &mut self.tiers[entry.tier.index()];
        lanes.tokens -= entry.cost_tokens;
        lanes.count -= 1;
        self.tokens -= entry.cost_tokens;
        self.deadlines.remove(&(entry.deadline, key));
        Some(entry)
    }

    /// Takes the newest entry of the lowest tier that is below `tier`.
    fn pop_lowest_below(&mut self, tier: ServiceTier) -> Option<QueueEntry<T>> {
        let lowest = (tier.index() + 1..ServiceTier::COUNT)
            .rev()
            .find(|index| self.tiers[*index].count > 0)?;
        let newest = self.tiers[lowest]
            .lanes
            .values()
            .filter_map(|lane| lane.keys.iter().rev().find(|key| self.entries.contains_key(**key)))
            .copied()
            .max()?;
        self.remove(newest)
    }
}
