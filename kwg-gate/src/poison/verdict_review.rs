use std::collections::{HashMap, HashSet};
use std::time::Duration;

use kwg_model::MonoTime;

use super::end_id::EndId;
use super::end_timeline::EndTimeline;
use super::known_end::KnownEnd;
use super::review_result::ReviewResult;
use super::suspect_entry::SuspectEntry;
use super::verdict_doubt::VerdictDoubt;
use super::{RefusedGroup, SuspectKey};

/// Number of ends from which on a suspect is convicted.
const ENDS_TO_REFUSE: usize = 3;
/// Share of the targets that have ended meanwhile, of which a suspect must explain the ends if others ended with them.
const MIN_SHARE: f64 = 0.25;
/// Time before now from which ends count towards that share.
const SHARE_SPAN: Duration = Duration::from_secs(10);
/// Time between two ends of one cause, such as a crash of a failure domain, as instances see them.
const CROWD_SPAN: Duration = Duration::from_millis(250);
/// Time after an end by which all instances know which others ended with it, as far as they reach each other.
const SETTLE_TIME: Duration = Duration::from_millis(450);
/// Minimum time between two ends of different causes. A request that is sent elsewhere in the middle of a crash of
/// many targets may be cut off again at once.
const CAUSE_GAP: Duration = Duration::from_millis(20);
/// Age of an end from which on nothing changes about which others ended with it.
const REVIEW_SPAN: Duration = Duration::from_secs(2);
/// Minimum span of time from which the rate of requests is estimated.
const MIN_RATE_SPAN: Duration = Duration::from_millis(200);
/// Number of targets, for one of which ends at the same time that a suspect does not explain are a coincidence.
const TARGETS_FOR_COINCIDENCE: usize = 20;

/// Finds which suspects explain the ends of targets, as in group testing: of those that no answer has cleared, the one
/// that explains most ends is convicted first, and these ends count against nothing else.
#[derive(Debug)]
pub(super) struct VerdictReview<'a> {
    pub(super) entries: &'a HashMap<SuspectKey, SuspectEntry>,
    pub(super) timeline: &'a EndTimeline,
    pub(super) now: MonoTime,
}

impl VerdictReview<'_> {
    /// Convicts suspects until none is left that explains enough of the other ends.
    pub(super) fn run(&self) -> ReviewResult {
        let mut result = ReviewResult::default();
        while let Some(verdict) = self.strongest(&result.explained) {
            result.explained.extend(&verdict.explains);
            result.verdicts.push(verdict);
        }
        result.verdicts.sort_by(|one, other| one.suspects.cmp(&other.suspects));
        result
    }

    /// The suspects that explain most of the ends that are not explained. If there are several, their
    /// order decides, so that all instances with the same evidence find the same ones.
    fn strongest(&self, explained: &HashSet<EndId>) -> Option<RefusedGroup> {
        let open: Vec<(SuspectKey, Vec<KnownEnd>)> = self
            .entries
            .iter()
            .map(|(key, entry)| {
                let open = entry.counted().filter(|end| !explained.contains(&end.id));
                (*key, open.copied().collect())
            })
            .filter(|(_, open): &(SuspectKey, Vec<KnownEnd>)| open.len() >= ENDS_TO_REFUSE)
            .collect();
        let is_candidate = |(key, ends): &&(SuspectKey, Vec<KnownEnd>)| {
            self.is_convicted(*key, ends, explained) && !is_outdone(*key, ends, &open)
        };
        let candidates: Vec<&(SuspectKey, Vec<KnownEnd>)> =
            open.iter().filter(is_candidate).collect();
        let (_, most) = candidates.iter().max_by_key(|(key, ends)| (ends.len(), *key))?;
        let ids = |ends: &[KnownEnd]| ends.iter().map(|end| end.id).collect::<HashSet<EndId>>();
        let (until, explains) = (SuspectEntry::refused_until(most), ids(most));
        let alike = candidates.iter().filter(|(_, open)| ids(open) == explains);
        let mut suspects: Vec<SuspectKey> = alike.map(|(key, _)| *key).collect();
        suspects.sort_unstable();
        Some(RefusedGroup { suspects, explains, until, doubt: doubt(most) })
    }

    fn is_convicted(&self, key: SuspectKey, open: &[KnownEnd], explained: &HashSet<EndId>) -> bool {
        if self.now >= SuspectEntry::refused_until(open) {
            return false;
        }
        let calm: Vec<KnownEnd> = open.iter().filter(|end| !end.may_be_shared()).copied().collect();
        let is_enough = match key {
            SuspectKey::Content(_) => calm.len() >= ENDS_TO_REFUSE,
            SuspectKey::Part(_) => independent_ends(&calm, CAUSE_GAP) >= ENDS_TO_REFUSE,
        };
        if is_enough && !SuspectEntry::may_be_burst(key, &calm) {
            return true;
        }
        let settled = open.iter().filter(|end| is_settled(end, self.now));
        let settled: Vec<KnownEnd> = settled.copied().collect();
        independent_ends(&settled, CROWD_SPAN) >= ENDS_TO_REFUSE
            && !SuspectEntry::may_be_burst(key, &settled)
            && self.share_of_ends(&settled, explained) >= MIN_SHARE
    }

    /// Share of the targets that ended in the time of some ends, and that no verdict explains, of which these are the
    /// ends.
    fn share_of_ends(&self, ends: &[KnownEnd], explained: &HashSet<EndId>) -> f64 {
        let recent = ends.iter().filter(|end| self.now.since(end.at) <= SHARE_SPAN);
        let recent: Vec<&KnownEnd> = recent.collect();
        let (Some(first), Some(last)) =
            (recent.iter().map(|end| end.at).min(), recent.iter().map(|end| end.at).max())
        else {
            return 0.0;
        };
        let all = self.timeline.within(earlier(first, CROWD_SPAN), last + CROWD_SPAN);
        let all = all.filter(|id| !explained.contains(id)).count();
        recent.len() as f64 / all.max(recent.len()) as f64
    }
}

/// What a trial of a verdict goes by, if these ends leave a doubt.
fn doubt(ends: &[KnownEnd]) -> Option<VerdictDoubt> {
    if !ends
        .iter()
        .any(|end| end.is_crowded || end.is_near_others || end.was_answered || end.has_begun)
    {
        return None;
    }
    let mut times: Vec<MonoTime> = ends.iter().map(|end| end.at).collect();
    times.sort_unstable();
    let (first, last) = (*times.first()?, *times.last()?);
    let convicted = *times.get(ENDS_TO_REFUSE - 1)?;
    let trials: Vec<MonoTime> =
        times.iter().copied().filter(|at| *at >= convicted + VerdictDoubt::first_trial()).collect();
    let failed_trials = u32::try_from(trials.len()).unwrap_or(u32::MAX);
    let span = convicted.since(first).max(MIN_RATE_SPAN).as_secs_f64();
    Some(VerdictDoubt { last_end: last, failed_trials, rate: ENDS_TO_REFUSE as f64 / span })
}

/// Whether another suspect, which may not be convicted yet, explains more ends than a part does, and all of these.
fn is_outdone(key: SuspectKey, ends: &[KnownEnd], all: &[(SuspectKey, Vec<KnownEnd>)]) -> bool {
    let includes =
        |others: &[KnownEnd]| ends.iter().all(|end| others.iter().any(|other| other.id == end.id));
    matches!(key, SuspectKey::Part(_))
        && all.iter().any(|(_, others)| others.len() > ends.len() && includes(others))
}

/// Number of ends under requests that were sent one after the other, at least `gap` apart: of requests that were under
/// way together, a single event may have cut all off.
fn independent_ends(ends: &[KnownEnd], gap: Duration) -> usize {
    let mut in_order: Vec<(MonoTime, Duration)> =
        ends.iter().map(|end| (end.at, end.held)).collect();
    in_order.sort_unstable();
    let (mut count, mut last) = (0, MonoTime::ZERO);
    for (at, held) in in_order {
        if count == 0 || (earlier(at, held) >= last && at >= last + gap) {
            (count, last) = (count + 1, at);
        }
    }
    count
}

/// Whether all instances know which others ended with an end, as far as they reach each other.
pub(super) fn is_settled(end: &KnownEnd, now: MonoTime) -> bool {
    now.since(end.at) >= SETTLE_TIME
}

/// Finds the ends that came together with many others, which the suspect does not explain.
pub(super) fn mark_crowded(
    entries: &mut HashMap<SuspectKey, SuspectEntry>,
    timeline: &EndTimeline,
    explained: &HashSet<EndId>,
    targets: usize,
    now: MonoTime,
) {
    let coincidence = (targets / TARGETS_FOR_COINCIDENCE).max(1);
    let in_chains = chained_ends(entries);
    let is_open = |id: &EndId| !explained.contains(id) && !in_chains.contains(id);
    let open: Vec<(MonoTime, EndId)> = timeline.ends().filter(|(_, id)| is_open(id)).collect();
    let times: HashMap<EndId, MonoTime> = open.iter().map(|(at, id)| (*id, *at)).collect();
    for entry in entries.values_mut() {
        if now.since(entry.last_end()) >= REVIEW_SPAN {
            continue;
        }
        let own: Vec<MonoTime> =
            entry.ends().filter_map(|end| times.get(&end.id)).copied().collect();
        for end in entry.ends_mut().filter(|end| now.since(end.at) < REVIEW_SPAN) {
            let (from, until) = (earlier(end.at, CROWD_SPAN), end.at + CROWD_SPAN);
            let first = open.partition_point(|(at, _)| *at < from);
            let all = open.partition_point(|(at, _)| *at <= until) - first;
            let own = own.iter().filter(|at| (from..=until).contains(*at)).count();
            end.is_near_others = all - own > coincidence;
        }
    }
}

/// Ends that follow each other closely under one suspect: they are its doing rather than that of an event in which many
/// targets end at once.
fn chained_ends(entries: &HashMap<SuspectKey, SuspectEntry>) -> HashSet<EndId> {
    let mut chained = HashSet::new();
    for entry in entries.values() {
        let mut ends: Vec<&KnownEnd> = entry.counted().collect();
        ends.sort_unstable_by_key(|end| end.at);
        for pair in ends.windows(2) {
            let [first, second] = pair else { continue };
            let is_near = second.at <= first.at + CROWD_SPAN;
            if is_near && independent_ends(&[**first, **second], CAUSE_GAP) == 2 {
                chained.extend([first.id, second.id]);
            }
        }
    }
    chained
}

fn earlier(at: MonoTime, by: Duration) -> MonoTime {
    MonoTime::ZERO + at.since(MonoTime::ZERO + by)
}
