use std::collections::{HashMap, HashSet};
use std::time::Duration;

use kwg_model::MonoTime;

use super::answer_memory::AnswerMemory;
use super::end_id::EndId;
use super::end_timeline::EndTimeline;
use super::known_end::KnownEnd;
use super::review_result::ReviewResult;
use super::suspect_entry::SuspectEntry;
use super::verdict_review::{VerdictReview, is_settled, mark_crowded};
use crate::{
    EndKey, EndRecord, EndSource, PromptPart, RefusedGroup, ReleaseCause, SuspectEvent, SuspectKey,
    TargetRun,
};

/// Maximum number of suspects. Those that are not refused are dropped first, of these the ones that were cut off in the
/// middle of an answer, and then the one with fewest ends whose last end is oldest.
const MAX_SUSPECTS: usize = 256;
/// Maximum age of an answer before an end, for the end to count as one of a content that was answered before.
const ANSWER_AGE: Duration = Duration::from_secs(60);
/// Maximum number of events that wait to be logged.
const MAX_EVENTS: usize = 512;
/// Added to all times, since ends that peers report may be older than this process, whose clock starts at zero.
const CLOCK_OFFSET: Duration = Duration::from_secs(86_400);

/// Which requests end the targets that run them, by their content,
/// [`RequestDetails::fingerprint`](crate::RequestDetails::fingerprint), or a part of their prompt.
///
/// Three ends of targets make a request refused at all instances. Several ends have a common cause if the requests were
/// under way together, so that ends under a part count if the requests were sent one after the other, and ends that
/// come with many others count only if the suspect explains enough of them. An answer voids the ends that are known,
/// since what ends all targets that run it is never answered; an end that one suspect explains does not count
/// against another.
///
/// ```
/// use kwg_gate::{SuspectTracker, SeenEnd, TargetRun};
/// use kwg_model::MonoTime;
///
/// let (mut tracker, now) = (SuspectTracker::default(), MonoTime::from_millis(1_000));
/// for target in ["i-1", "i-2", "i-3"] {
///     assert!(!tracker.is_refused(7, now));
///     let run = TargetRun::of(target, 1);
///     let end = SeenEnd { run, ordinal: 0, sent_after: now, has_begun: false };
///     tracker.record_end(7, end, now);
/// }
/// assert!(tracker.is_refused(7, now));
/// ```
#[derive(Debug, Clone, Default)]
pub struct SuspectTracker {
    suspects: HashMap<SuspectKey, SuspectEntry>,
    timeline: EndTimeline,
    review: ReviewResult,
    /// Number of targets that are known.
    targets: usize,
    /// When contents were last answered.
    content_answers: AnswerMemory,
    /// When an answer to a request with a part last began.
    part_answers: AnswerMemory,
    /// When the last request that a run of a target has answered was sent.
    alive: AnswerMemory,
    events: Vec<SuspectEvent>,
}

/// An end of a target that this instance has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenEnd {
    /// The run that has ended.
    pub run: TargetRun,
    /// Number of ends of this run that were known when the request was sent.
    pub ordinal: u8,
    /// A moment after which the request was sent.
    pub sent_after: MonoTime,
    /// Whether the target had begun its answer. Only the content of such a request is suspected.
    pub has_begun: bool,
}

impl SuspectTracker {
    /// Records that a target has ended while it ran a request with this suspect.
    pub fn record_end(&mut self, suspect: impl Into<SuspectKey>, end: SeenEnd, now: MonoTime) {
        self.record_end_under(&[suspect.into()], end, now);
    }

    /// Records that a target has ended while it ran a request with all of these suspects.
    pub fn record_end_under(&mut self, suspects: &[SuspectKey], end: SeenEnd, now: MonoTime) {
        let (now, sent_after) = (now + CLOCK_OFFSET, end.sent_after + CLOCK_OFFSET);
        for suspect in suspects {
            let answered = self.answered(*suspect);
            let known = KnownEnd {
                id: EndId { run: end.run, ordinal: end.ordinal },
                at: now,
                held: now.since(sent_after),
                // Meanwhile another target has answered it.
                is_void: answered.is_some_and(|at| at >= sent_after),
                was_answered: Self::is_recent(answered, now),
                is_near_others: false,
                is_crowded: false,
                is_proved: false,
                has_begun: end.has_begun,
                is_shared: false,
            };
            self.merge(*suspect, known, EndSource::Own);
        }
        self.judge(now);
    }

    /// Applies a record that a peer reports.
    pub fn apply_record(&mut self, peer: &str, record: &EndRecord, now: MonoTime) {
        self.apply_records(peer, std::slice::from_ref(record), now);
    }

    /// Applies the records that a peer reports.
    pub fn apply_records(&mut self, peer: &str, records: &[EndRecord], now: MonoTime) {
        let now = now + CLOCK_OFFSET;
        let mut has_news = false;
        for record in records {
            let at = MonoTime::ZERO + now.since(MonoTime::ZERO + record.age());
            let EndKey { suspect, run, ordinal } = record.key;
            let answered = self.answered(suspect);
            let known = KnownEnd {
                id: EndId { run, ordinal },
                at,
                held: record.held(),
                is_void: record.is_void || answered.is_some_and(|answered| answered >= at),
                was_answered: record.was_answered || Self::is_recent(answered, at),
                is_near_others: false,
                is_crowded: record.is_crowded,
                is_proved: record.is_proved,
                has_begun: record.has_begun,
                is_shared: true,
            };
            has_news |= self.merge(suspect, known, EndSource::Peer(peer.into()));
        }
        if has_news {
            self.judge(now);
        }
    }

    /// Records that a target has answered a request with this content.
    pub fn record_answered(&mut self, fingerprint: u64, now: MonoTime) {
        let now = now + CLOCK_OFFSET;
        self.content_answers.record(fingerprint, now);
        if let Some(entry) = self.suspects.get_mut(&SuspectKey::Content(fingerprint)) {
            entry.void_all();
            self.judge(now);
        }
    }

    /// Records that a target has begun to answer a request with these parts.
    pub fn record_begun(&mut self, parts: impl IntoIterator<Item = PromptPart>, now: MonoTime) {
        let now = now + CLOCK_OFFSET;
        let mut is_known = false;
        for part in parts {
            self.part_answers.record(part.code(), now);
            if let Some(entry) = self.suspects.get_mut(&SuspectKey::Part(part)) {
                entry.void_all();
                is_known = true;
            }
        }
        if is_known {
            self.judge(now);
        }
    }

    /// Records that a run of a target has answered a request that was sent at this moment.
    pub fn record_alive(&mut self, run: TargetRun, sent: MonoTime, now: MonoTime) {
        let (sent, now) = (sent + CLOCK_OFFSET, now + CLOCK_OFFSET);
        self.alive.record(run.code(), sent);
        let refutable = self.suspects.values_mut().filter(|entry| entry.is_refutable(sent));
        let mut is_refuted = false;
        refutable.for_each(|entry| {
            entry.void_run(run, sent);
            is_refuted = true;
        });
        if is_refuted {
            self.judge(now);
        }
    }

    /// Sets the number of targets that are known, which decides how many ends at a time are a coincidence.
    pub fn set_target_count(&mut self, targets: usize) {
        self.targets = targets;
    }

    /// Whether a request must not be sent to a target for this suspect alone.
    #[must_use]
    pub fn is_refused(&self, suspect: impl Into<SuspectKey>, now: MonoTime) -> bool {
        let suspect = suspect.into();
        self.verdict_on(|key| key == suspect, now).is_some()
    }

    /// Why a request with the suspects for which `has` holds must not be sent to a target.
    ///
    /// ```
    /// use kwg_gate::{PromptPart, SeenEnd, SuspectKey, SuspectTracker, TargetRun};
    /// use kwg_model::MonoTime;
    ///
    /// let part = SuspectKey::from(PromptPart::of("m", "5c1e07a2"));
    /// let mut tracker = SuspectTracker::default();
    /// for (content, target) in [(1, "i-1"), (2, "i-2"), (3, "i-3")] {
    ///     let at = MonoTime::from_millis(1_000 * content);
    ///     let run = TargetRun::of(target, 1);
    ///     let end = SeenEnd { run, ordinal: 0, sent_after: at, has_begun: false };
    ///     tracker.record_end_under(&[content.into(), part], end, at);
    /// }
    /// let now = MonoTime::from_millis(3_000);
    /// let refused = tracker.verdict_on(|suspect| suspect == part, now).expect("three ends");
    /// assert_eq!((refused.suspects.as_slice(), refused.ends()), (&[part][..], 3));
    /// ```
    #[must_use]
    pub fn verdict_on(
        &self,
        has: impl Fn(SuspectKey) -> bool,
        now: MonoTime,
    ) -> Option<&RefusedGroup> {
        let now = now + CLOCK_OFFSET;
        let in_force = self.review.verdicts.iter().filter(|verdict| now < verdict.until);
        in_force.into_iter().find(|verdict| verdict.suspects.iter().all(|key| has(*key)))
    }

    /// Whether a request that a verdict refuses may be sent to find out whether the verdict is right; `draw` is random in
    /// [0, 1).
    #[must_use]
    pub fn allows_trial(&self, verdict: &RefusedGroup, draw: f64, now: MonoTime) -> bool {
        verdict.allows_trial(draw, now + CLOCK_OFFSET)
    }

    /// Number of ends that count against a suspect.
    #[must_use]
    pub fn count(&self, suspect: impl Into<SuspectKey>) -> usize {
        self.suspects.get(&suspect.into()).map_or(0, SuspectEntry::count)
    }

    /// Number of verdicts in force.
    #[must_use]
    pub fn refused_count(&self) -> usize {
        self.review.verdicts.len()
    }

    /// Number of ends of a run of a target that are known, for [`SeenEnd::ordinal`].
    #[must_use]
    pub fn known_ends(&self, run: TargetRun) -> u8 {
        self.suspects.values().map(|entry| entry.ends_of(run)).max().unwrap_or(0)
    }

    /// All records, for peers.
    pub fn records(&self, now: MonoTime) -> impl Iterator<Item = EndRecord> {
        let now = now + CLOCK_OFFSET;
        self.suspects.iter().flat_map(move |(suspect, entry)| entry.records(*suspect, now))
    }

    /// Prepares what [`Self::records`] returns: forgets what has expired, and what turned out not to count before any
    /// peer has heard of it. Returns what has changed since the last call.
    pub fn review(&mut self, now: MonoTime) -> Vec<SuspectEvent> {
        let now = now + CLOCK_OFFSET;
        self.timeline.expire(now);
        self.suspects.values_mut().for_each(SuspectEntry::share);
        self.suspects.retain(|_, entry| !entry.is_empty() && !entry.has_expired(now));
        if !self.review.verdicts.is_empty() || !self.timeline.is_empty() {
            self.judge(now);
            self.settle(now);
        }
        std::mem::take(&mut self.events)
    }

    fn answered(&self, suspect: SuspectKey) -> Option<MonoTime> {
        match suspect {
            SuspectKey::Content(fingerprint) => self.content_answers.last(fingerprint),
            SuspectKey::Part(part) => self.part_answers.last(part.code()),
        }
    }

    fn is_recent(answered: Option<MonoTime>, end: MonoTime) -> bool {
        answered.is_some_and(|at| end.since(at) < ANSWER_AGE)
    }

    /// Adds what is known of an end; returns whether that may change a verdict.
    fn merge(&mut self, suspect: SuspectKey, mut end: KnownEnd, source: EndSource) -> bool {
        let sent = self.alive.last(end.id.run.code());
        end.is_void |= sent.is_some_and(|sent| end.is_refuted_by(sent));
        self.timeline.record(end.id, end.at);
        if !self.suspects.contains_key(&suspect) {
            if end.has_begun && self.review.explained.contains(&end.id) {
                return false;
            }
            self.make_room();
        }
        let entry = self.suspects.entry(suspect).or_default();
        let is_new = entry.merge(end, SuspectEntry::max_ends(suspect));
        if is_new && !end.is_void {
            let EndId { run, ordinal } = end.id;
            let key = EndKey { suspect, run, ordinal };
            let (count, is_weak) = (entry.count(), entry.is_weak());
            // A peer that sees an end logs whose answers it has cut off in the middle.
            if source == EndSource::Own || !is_weak {
                self.push_event(SuspectEvent::EndKnown { key, target: None, source, count });
            }
        }
        true
    }

    /// Finds anew which suspects are refused.
    fn judge(&mut self, now: MonoTime) {
        let Self { suspects, timeline, review, targets, .. } = self;
        mark_crowded(suspects, timeline, &review.explained, *targets, now);
        let found = VerdictReview { entries: suspects, timeline, now }.run();
        let before = std::mem::replace(&mut self.review, found);
        let has = |verdicts: &[RefusedGroup], of: &RefusedGroup| {
            verdicts.iter().any(|verdict| verdict.suspects == of.suspects)
        };
        for verdict in &before.verdicts {
            if !has(&self.review.verdicts, verdict) {
                let cause = match now >= verdict.until {
                    true => ReleaseCause::Expired(SuspectEntry::refused_for()),
                    false => ReleaseCause::Refuted,
                };
                let suspects = verdict.suspects.clone();
                self.push_event(SuspectEvent::Released { suspects, cause });
            }
        }
        let added = self.review.verdicts.iter().filter(|verdict| !has(&before.verdicts, verdict));
        let added: Vec<RefusedGroup> = added.cloned().collect();
        if !added.is_empty() {
            let Self { suspects, review, .. } = self;
            suspects.retain(|_, entry| {
                !entry.is_weak() || !entry.ends().all(|end| review.explained.contains(&end.id))
            });
        }
        added.into_iter().for_each(|verdict| self.push_event(SuspectEvent::Refused(verdict)));
    }

    /// Notes with the ends what later reviews cannot find, because they know less of what happened at that time.
    fn settle(&mut self, now: MonoTime) {
        for (suspect, entry) in &mut self.suspects {
            let settled = entry.ends_mut().filter(|end| is_settled(end, now));
            settled.for_each(|end| end.is_crowded |= end.is_near_others);
            let verdicts = &self.review.verdicts;
            let convicted = verdicts.iter().find(|verdict| verdict.suspects.contains(suspect));
            if let Some(verdict) = convicted
                && entry.counted().all(|end| is_settled(end, now))
            {
                entry.prove(|id| verdict.explains.contains(id));
            }
        }
    }

    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let refused: HashSet<SuspectKey> =
            self.review.verdicts.iter().flat_map(|verdict| verdict.suspects.clone()).collect();
        let rank = |(key, entry): &(&SuspectKey, &SuspectEntry)| {
            (refused.contains(key), !entry.is_weak(), entry.count(), entry.last_end())
        };
        let least = self.suspects.iter().min_by_key(rank).map(|(suspect, _)| *suspect);
        least.into_iter().for_each(|suspect| drop(self.suspects.remove(&suspect)));
    }

    fn push_event(&mut self, event: SuspectEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }
}
