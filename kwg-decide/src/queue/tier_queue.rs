use std::collections::{BTreeMap, BTreeSet};

use kwg_model::{AccountName, MonoTime, ServiceTier};
use slotmap::{SlotMap, new_key_type};

use super::account_queue::AccountQueue;

new_key_type! {
    /// Identifies one waiting entry.
    pub struct QueueKey;
}

/// Size limits of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueOptions {
    /// Maximum expected work of all waiting entries, in tokens.
    pub max_tokens: u64,
    /// Maximum number of waiting entries.
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
    /// When it expires.
    pub deadline: MonoTime,
    /// The request.
    pub item: T,
}

/// Result of offering an entry to a queue.
#[derive(Debug)]
pub enum QueueVerdict<T> {
    /// The entry was queued; the listed entries of lower tiers were shed to free capacity.
    Accepted(Vec<QueueEntry<T>>),
    /// The entry itself was shed, because shedding lower tiers would not free enough capacity.
    Shed(QueueEntry<T>),
}

/// A bounded queue by tier, fair among the client accounts within a tier.
///
/// When full it sheds entries of the lowest tier first; tier 0 is the highest.
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
    tiers: [TierState; ServiceTier::COUNT],
    deadlines: BTreeSet<(MonoTime, QueueKey)>,
    tokens: u64,
}

#[derive(Debug, Default)]
struct TierState {
    accounts: BTreeMap<AccountName, AccountQueue>,
    /// Largest virtual start time served so far, in tokens.
    virtual_time: u64,
    tokens: u64,
    count: usize,
}

impl<T> TierQueue<T> {
    /// Creates an empty queue.
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

    /// Returns the number of waiting entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no entry waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting entries in tiers below this one.
    #[must_use]
    pub fn len_below(&self, tier: ServiceTier) -> usize {
        self.tiers[tier.index() + 1..].iter().map(|state| state.count).sum()
    }

    /// Returns the expected work waiting in a tier, in tokens.
    #[must_use]
    pub fn tier_tokens(&self, tier: ServiceTier) -> u64 {
        self.tiers[tier.index()].tokens
    }

    /// Returns the expected work waiting in a tier and the tiers above it, in tokens.
    #[must_use]
    pub fn tokens_ahead(&self, tier: ServiceTier) -> u64 {
        self.tiers[..=tier.index()].iter().map(|state| state.tokens).sum()
    }

    /// Queues an entry, shedding entries of lower tiers, lowest tier first, if that frees enough
    /// capacity.
    ///
    /// Within a tier the newest entry of one of the client accounts is shed, not always the newest
    /// of all.
    pub fn offer(&mut self, entry: QueueEntry<T>) -> QueueVerdict<T> {
        let mut shed = Vec::new();
        while self.is_full_for(entry.cost_tokens) {
            match self.pop_lowest_below(entry.tier) {
                Some(evicted) => shed.push(evicted),
                // An empty queue accepts any entry, even one above the token limit; otherwise
                // such a large request could never be queued.
                None if self.is_empty() => break,
                None => {
                    // Shedding did not free enough capacity, so the shed entries are restored: at the
                    // end of their accounts' queues, in the order of shedding, newest first.
                    shed.into_iter().for_each(|evicted| self.insert(evicted));
                    return QueueVerdict::Shed(entry);
                }
            }
        }
        self.insert(entry);
        QueueVerdict::Accepted(shed)
    }

    /// Removes and returns the next entry if `admits` holds for it.
    ///
    /// The next entry is the oldest one of the client account with the smallest virtual start
    /// time, in the highest tier that has entries. An entry that is not admitted blocks those
    /// behind it, so that small low-priority requests cannot starve a large urgent one.
    pub fn pop(&mut self, admits: impl FnOnce(&QueueEntry<T>) -> bool) -> Option<QueueEntry<T>> {
        let tier = (0..ServiceTier::COUNT).find(|tier| self.tiers[*tier].count > 0)?;
        let (account, key) = self.next_in_tier(tier)?;
        if !admits(&self.entries[key]) {
            return None;
        }
        self.charge(tier, &account, self.entries[key].cost_tokens);
        self.remove(key)
    }

    /// Removes and returns every entry whose deadline has passed.
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

    /// Returns the earliest deadline of all waiting entries.
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
        let state = &mut self.tiers[tier.index()];
        state.tokens += cost;
        state.count += 1;
        self.tokens += cost;
        let key = self.entries.insert(entry);
        let queue = state.accounts.entry(account).or_default();
        if queue.keys.is_empty() {
            queue.start_tag = queue.start_tag.max(state.virtual_time);
        }
        queue.keys.push_back(key);
        self.deadlines.insert((deadline, key));
    }

    /// Returns the oldest entry of the account queue with the smallest virtual start time.
    fn next_in_tier(&mut self, tier: usize) -> Option<(AccountName, QueueKey)> {
        let entries = &self.entries;
        let TierState { accounts, virtual_time, .. } = &mut self.tiers[tier];
        accounts.retain(|_, queue| {
            while queue.keys.front().is_some_and(|key| !entries.contains_key(*key)) {
                queue.keys.pop_front();
            }
            // An idle account keeps a start tag that is ahead of the virtual time; otherwise it
            // could gain service by pausing.
            !queue.keys.is_empty() || queue.start_tag > *virtual_time
        });
        let waiting = accounts
            .iter()
            .filter_map(|(account, queue)| Some((queue.start_tag, account, queue.keys.front()?)));
        waiting
            .min_by_key(|(start_tag, ..)| *start_tag)
            .map(|(_, account, key)| (account.clone(), *key))
    }

    fn charge(&mut self, tier: usize, account: &AccountName, cost_tokens: u64) {
        let state = &mut self.tiers[tier];
        if let Some(queue) = state.accounts.get_mut(account) {
            state.virtual_time = state.virtual_time.max(queue.start_tag);
            queue.start_tag += cost_tokens;
            queue.keys.pop_front();
        }
    }

    fn remove(&mut self, key: QueueKey) -> Option<QueueEntry<T>> {
        let entry = self.entries.remove(key)?;
        let state = &mut self.tiers[entry.tier.index()];
        state.tokens -= entry.cost_tokens;
        state.count -= 1;
        self.tokens -= entry.cost_tokens;
        self.deadlines.remove(&(entry.deadline, key));
        Some(entry)
    }

    /// Removes and returns an entry of the lowest tier below `tier` that has entries.
    ///
    /// Takes the newest entry of each client account, and of these the one with the highest slot
    /// index. Slots are reused, so that it is not always the newest of all.
    fn pop_lowest_below(&mut self, tier: ServiceTier) -> Option<QueueEntry<T>> {
        let lowest = (tier.index() + 1..ServiceTier::COUNT)
            .rev()
            .find(|index| self.tiers[*index].count > 0)?;
        let newest = self.tiers[lowest]
            .accounts
            .values()
            .filter_map(|queue| {
                queue.keys.iter().rev().find(|key| self.entries.contains_key(**key))
            })
            .copied()
            .max()?;
        self.remove(newest)
    }
}
