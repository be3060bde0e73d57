use std::time::Duration;

use kwg_model::MonoTime;

use super::end_id::EndId;
use super::known_end::KnownEnd;
use crate::{EndKey, EndRecord, SuspectKey, TargetRun};

/// Time after the last end for which a suspect is refused. Then it may be sent again, and one more end is enough.
const REFUSED_FOR: Duration = Duration::from_secs(600);
/// Time after the last end for which a suspect that was refused is remembered.
const REMEMBERED_FOR: Duration = Duration::from_secs(3_600);
/// Number of ends from which on a suspect is remembered that long.
const ENDS_TO_REMEMBER: usize = 3;
/// Span of time over which targets end at once for a reason of their own, as when a failure domain loses power. Ends
/// of a content that was answered before count only if they are spread over more than that.
const CONTENT_BURST: Duration = Duration::from_secs(3);
/// The same of a part. All instances know by then of an answer that has cleared one that many requests have.
const PART_BURST: Duration = Duration::from_millis(700);
/// Maximum number of ends that are remembered of a content.
const MAX_CONTENT_ENDS: usize = 16;
/// Maximum number of ends that are remembered of a part: as many as targets that may end before all instances know.
const MAX_PART_ENDS: usize = 64;

/// What is known of one suspect.
#[derive(Debug, Clone, Default)]
pub(super) struct SuspectEntry {
    ends: Vec<KnownEnd>,
}

impl SuspectEntry {
    /// Maximum number of ends that are remembered of a suspect.
    pub(super) fn max_ends(suspect: SuspectKey) -> usize {
        match suspect {
            SuspectKey::Content(_) => MAX_CONTENT_ENDS,
            SuspectKey::Part(_) => MAX_PART_ENDS,
        }
    }

    /// Adds what is known of an end, of which `limit` are remembered; returns whether the end is new.
    pub(super) fn merge(&mut self, end: KnownEnd, limit: usize) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|known| known.id == end.id) {
            known.is_void |= end.is_void;
            known.was_answered |= end.was_answered;
            known.is_crowded |= end.is_crowded;
            known.is_proved |= end.is_proved;
            known.has_begun &= end.has_begun;
            known.is_shared |= end.is_shared;
            known.at = known.at.min(end.at);
            known.held = known.held.min(end.held);
            return false;
        }
        if self.ends.len() >= limit {
            let rank = |(_, known): &(usize, &KnownEnd)| (!known.is_void, known.at);
            if let Some((oldest, _)) = self.ends.iter().enumerate().min_by_key(rank) {
                self.ends.swap_remove(oldest);
            }
        }
        self.ends.push(end);
        true
    }

    /// All ends.
    pub(super) fn ends(&self) -> impl Iterator<Item = &KnownEnd> {
        self.ends.iter()
    }

    /// The ends that count are proved to be the doing of this suspect, though others ended with them.
    pub(super) fn prove(&mut self, is_part_of: impl Fn(&EndId) -> bool) {
        let proved = self.ends.iter_mut().filter(|end| !end.is_void && is_part_of(&end.id));
        proved.for_each(|end| end.is_proved = true);
    }

    /// All ends, to be changed.
    pub(super) fn ends_mut(&mut self) -> impl Iterator<Item = &mut KnownEnd> {
        self.ends.iter_mut()
    }

    /// The ends that count.
    pub(super) fn counted(&self) -> impl Iterator<Item = &KnownEnd> {
        self.ends.iter().filter(|end| !end.is_void)
    }

    /// Number of ends that count.
    pub(super) fn count(&self) -> usize {
        self.counted().count()
    }

    /// Number of ends of a run that are known.
    pub(super) fn ends_of(&self, run: TargetRun) -> u8 {
        let of_run = self.ends.iter().filter(|end| end.id.run == run);
        of_run.map(|end| end.id.ordinal.saturating_add(1)).max().unwrap_or(0)
    }

    /// Whether the request was cut off in the middle of its answer, once.
    pub(super) fn is_weak(&self) -> bool {
        self.ends.len() < 2 && self.ends.iter().all(|end| end.has_begun)
    }

    /// Whether ends may be those of a burst, under a suspect that was answered before.
    pub(super) fn may_be_burst(suspect: SuspectKey, ends: &[KnownEnd]) -> bool {
        let longest = match suspect {
            SuspectKey::Content(_) => CONTENT_BURST,
            SuspectKey::Part(_) => PART_BURST,
        };
        let (first, last) =
            (ends.iter().map(|end| end.at).min(), ends.iter().map(|end| end.at).max());
        let span = first.zip(last).map_or(Duration::ZERO, |(first, last)| last.since(first));
        ends.iter().any(|end| end.was_answered) && span <= longest
    }

    /// For how long a suspect is refused after its last end.
    pub(super) fn refused_for() -> Duration {
        REFUSED_FOR
    }

    /// Until when some ends let a suspect be refused.
    pub(super) fn refused_until(ends: &[KnownEnd]) -> MonoTime {
        ends.iter().map(|end| end.at).max().unwrap_or(MonoTime::ZERO) + REFUSED_FOR
    }

    /// The suspect was answered: the ends that are known were not its doing.
    pub(super) fn void_all(&mut self) {
        self.ends.iter_mut().for_each(|end| end.is_void = true);
    }

    /// A run has answered a request that was sent at this moment: it had not ended.
    pub(super) fn void_run(&mut self, run: TargetRun, sent: MonoTime) {
        let of_run = self.ends.iter_mut().filter(|end| end.id.run == run);
        of_run.for_each(|end| end.is_void |= end.is_refuted_by(sent));
    }

    /// Whether an answer to a request that was sent at this moment may show that a run lives on.
    pub(super) fn is_refutable(&self, sent: MonoTime) -> bool {
        self.counted().any(|end| end.is_refutable_by(sent))
    }

    /// Drops the ends that no peer knows and that do not count; the others are to be shared.
    pub(super) fn share(&mut self) {
        self.ends.retain(|end| end.is_shared || !end.is_void);
        self.ends.iter_mut().for_each(|end| end.is_shared = true);
    }

    /// Whether it has no end.
    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// When the last end happened.
    pub(super) fn last_end(&self) -> MonoTime {
        self.ends.iter().map(|end| end.at).max().unwrap_or(MonoTime::ZERO)
    }

    /// Whether it is to be forgotten.
    pub(super) fn has_expired(&self, now: MonoTime) -> bool {
        let kept = match self.count() >= ENDS_TO_REMEMBER {
            true => REMEMBERED_FOR,
            false => REFUSED_FOR,
        };
        now.since(self.last_end()) >= kept
    }

    /// Its records, for peers.
    pub(super) fn records(
        &self,
        suspect: SuspectKey,
        now: MonoTime,
    ) -> impl Iterator<Item = EndRecord> {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        self.ends.iter().map(move |end| EndRecord {
            key: EndKey { suspect, run: end.id.run, ordinal: end.id.ordinal },
            is_void: end.is_void,
            was_answered: end.was_answered,
            is_crowded: end.is_crowded,
            is_proved: end.is_proved,
            has_begun: end.has_begun,
            held_ms: millis(end.held),
            age_ms: millis(now.since(end.at)),
        })
    }
}
