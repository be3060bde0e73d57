use std::collections::VecDeque;
use std::time::Duration;

use kwg_model::MonoTime;

use crate::{ColdNotice, ColdRule};

/// Span within which an instance sends a cold target no more than its share: the second of the bound, and the time by
/// which the delays of two requests on their way may differ.
const SHARE_SPAN: Duration = Duration::from_millis(1_150);
/// Time for which a gained share is not used: instances hear of each other's start and end within about a second, and
/// the former owner may use the share until then.
const GAIN_HOLD: Duration = Duration::from_secs(2);
/// Age that an entry may have when it arrives. One that arrives sooner after a break may have been written before it.
const ENTRY_DELAY: Duration = Duration::from_secs(1);
/// Time after a break within which a target that has started again is up, as far as its connections show: it is tried
/// at least every 3.2 s.
const RETURN_TIME: Duration = Duration::from_secs(4);
/// Largest number of sent requests that are remembered; above any share that one instance gets.
const MAX_SENT: usize = 256;

/// Whether a target is cold, and how many requests this instance may send to it while it is.
///
/// Answers the load after a failure domain returns: its targets tolerate a fraction of the requests that wait for them, and
/// all instances see them empty at the same moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdGate {
    /// The rule of the target's service; none if nothing is limited.
    rule: Option<ColdRule>,
    /// Place of this instance among the owners of the target, in the order of their hashes; none if it is not among them.
    rank: Option<u32>,
    /// Number of owners.
    owners: u32,
    /// Requests in any one second that this instance may send by the present list of instances.
    owned: u32,
    /// The part of `owned` that no other instance may still use.
    usable: u32,
    /// Since when `owned` exceeds `usable`.
    gained: Option<MonoTime>,
    /// Requests that have a place but have not been sent.
    unsent: u32,
    /// When the last requests were sent, whether the target was cold or not.
    sent: VecDeque<MonoTime>,
    /// When a connection to the target last broke or could not be opened.
    broken: Option<MonoTime>,
    /// When a reply of the target has last said how much longer it is cold.
    told_at: MonoTime,
    /// Until when the target is cold by its own replies.
    told_until: MonoTime,
    /// Whether it has been reported to be cold.
    is_reported: bool,
}

impl ColdGate {
    /// Applies the rule of the service and the place of this instance among the owners.
    pub(crate) fn set_place(&mut self, rule: Option<ColdRule>, rank: Option<u32>, owners: u32) {
        (self.rule, self.rank, self.owners) = (rule, rank, owners);
        if rule.is_none() {
            self.sent = VecDeque::new();
        }
    }

    /// Applies the number of shares that all owners together have; one more than another owner goes to those of the first
    /// ranks. A gained share is held back, unless the list of owners is `settled`.
    pub(crate) fn set_shares(&mut self, shares: impl Fn(&ColdRule) -> u32, is_settled: bool) {
        let shares = self.rule.map_or(0, |rule| shares(&rule));
        let owners = self.owners.max(1);
        self.owned =
            self.rank.map_or(0, |rank| shares / owners + u32::from(rank < shares % owners));
        self.usable = if is_settled { self.owned } else { self.usable.min(self.owned) };
    }

    /// Makes a gained share usable once it has been held back for long enough.
    pub(crate) fn settle(&mut self, now: MonoTime) {
        if self.owned <= self.usable {
            self.gained = None;
        } else if now.since(*self.gained.get_or_insert(now)) >= GAIN_HOLD {
            (self.usable, self.gained) = (self.owned, None);
        }
    }

    /// Whether nothing of the target is known to this gate yet.
    pub(crate) fn is_new(&self) -> bool {
        self.rule.is_none()
    }

    /// Until when the target is cold, if it is.
    pub(crate) fn cold_until(&self, notice: &ColdNotice, now: MonoTime) -> Option<MonoTime> {
        let rule = self.rule.as_ref()?;
        let until = notice.cold_until(rule).max(self.told_until);
        let until = until.max(self.suspected_until(notice).unwrap_or(MonoTime::ZERO));
        (now < until).then_some(until)
    }

    /// Until when the target counts as cold because it may have started again.
    fn suspected_until(&self, notice: &ColdNotice) -> Option<MonoTime> {
        let (rule, broken) = (self.rule.as_ref()?, self.broken?);
        // A newer entry says whether it is cold.
        let is_answered = notice.left.is_some() && notice.arrived >= broken + ENTRY_DELAY;
        (!is_answered).then(|| broken + RETURN_TIME + rule.start)
    }

    /// Whether the target is cold only because it may have started again.
    pub(crate) fn is_suspected(&self, notice: &ColdNotice, now: MonoTime) -> bool {
        let by_word = self.rule.as_ref().map(|rule| notice.cold_until(rule).max(self.told_until));
        self.cold_until(notice, now).is_some() && by_word.is_none_or(|until| until <= now)
    }

    /// Whether the target has said later than at `time` that it is cold.
    pub(crate) fn turned_cold_after(&self, notice: &ColdNotice, time: MonoTime) -> bool {
        // The entry arrives at the control thread a moment before it is in force.
        notice.arrived + ENTRY_DELAY / 10 >= time || self.told_at >= time
    }

    /// Number of requests that this instance may still send now if the target is cold.
    pub(crate) fn room(&self, now: MonoTime) -> u32 {
        self.usable.saturating_sub(self.taken(now))
    }

    /// Whether the requests that have a place, this one included, are within the share.
    pub(crate) fn is_within(&self, now: MonoTime) -> bool {
        self.taken(now) <= self.usable
    }

    /// Requests that this instance may send in any one second.
    pub(crate) fn share(&self) -> u32 {
        self.usable
    }

    fn taken(&self, now: MonoTime) -> u32 {
        let is_recent = |at: &&MonoTime| now.since(**at) < SHARE_SPAN;
        let sent = self.sent.iter().rev().take_while(is_recent).count();
        self.unsent.saturating_add(u32::try_from(sent).unwrap_or(u32::MAX))
    }

    /// Records that a request has got a place.
    pub(crate) fn record_placed(&mut self) {
        self.unsent += 1;
    }

    /// Records that a request with a place is sent now.
    pub(crate) fn record_sent(&mut self, now: MonoTime) {
        self.unsent = self.unsent.saturating_sub(1);
        if self.rule.is_some() {
            while self.sent.front().is_some_and(|at| now.since(*at) >= SHARE_SPAN)
                || self.sent.len() >= MAX_SENT
            {
                self.sent.pop_front();
            }
            self.sent.push_back(now);
        }
    }

    /// Records that a request with a place will not be sent.
    pub(crate) fn record_unsent(&mut self) {
        self.unsent = self.unsent.saturating_sub(1);
    }

    /// Records that a connection to the target broke or could not be opened.
    pub(crate) fn record_break(&mut self, now: MonoTime) {
        if self.rule.is_some() {
            self.broken = Some(now);
        }
    }

    /// Records a complete answer to a request that was sent at `sent`: a target that answers a request from before the
    /// break has not started again.
    pub(crate) fn record_answer(&mut self, sent: MonoTime) {
        self.broken = self.broken.filter(|at| *at < sent);
    }

    /// Records that the target says in a reply how much longer it is cold.
    pub(crate) fn record_told(&mut self, left: Duration, now: MonoTime) {
        (self.told_at, self.told_until) = (now, now + left);
    }

    /// Whether the target has become cold or warm since the last call.
    pub(crate) fn take_change(&mut self, notice: &ColdNotice, now: MonoTime) -> bool {
        let is_cold = self.cold_until(notice, now).is_some();
        std::mem::replace(&mut self.is_reported, is_cold) != is_cold
    }
}
