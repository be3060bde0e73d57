use kwg_model::MonoTime;

use super::GateCore;
use crate::poison::SilentRun;
use crate::session::{AttemptEnd, RoutePlan};
use crate::{
    AttemptEvidence, AttemptSample, EndRecord, FinalOutcome, Placement, RefusalReason,
    RefusedGroup, RequestDetails, SeenEnd, SuspectEvent, SuspectKey, SuspectTracker, TargetKey,
    TargetRun,
};

/// Maximum number of silent runs that wait to be confirmed.
const MAX_SILENT: usize = 256;

impl GateCore {
    /// Which requests end the targets that run them.
    #[must_use]
    pub fn suspects(&self) -> &SuspectTracker {
        &self.suspects
    }

    /// Applies records of ends of targets that a peer knows of.
    pub fn apply_ends(&mut self, peer: &str, records: &[EndRecord], now: MonoTime) {
        self.suspects.apply_records(peer, records, now);
    }

    /// Whether a request must not be sent to any target, because targets have ended under it. Each way to a target
    /// asks this: at admission, when a target is chosen, and last before the first byte is written.
    pub(crate) fn refuses(
        &self,
        details: &RequestDetails,
        plan: &RoutePlan,
        now: MonoTime,
    ) -> bool {
        let verdict = self.verdict_on(details, now);
        verdict.is_some_and(|verdict| plan.trial_after != Some(verdict.ends()))
    }

    /// Whether a request that arrives must not be sent; if it is sent nevertheless, to find out whether the verdict is
    /// right, the number of ends on which that is based.
    pub(super) fn admit_suspect(
        &self,
        details: &RequestDetails,
        now: MonoTime,
    ) -> Result<Option<usize>, FinalOutcome> {
        let Some(verdict) = self.verdict_on(details, now) else { return Ok(None) };
        match self.suspects.allows_trial(verdict, details.draw(), now) {
            true => Ok(Some(verdict.ends())),
            false => Err(FinalOutcome::refused(RefusalReason::Suspect)),
        }
    }

    /// Why a request must not be sent to any target.
    #[must_use]
    pub fn verdict_on(&self, details: &RequestDetails, now: MonoTime) -> Option<&RefusedGroup> {
        self.suspects.verdict_on(|key| details.suspects().any(|own| own == key), now)
    }

    /// Notes with a placement which ends of its target are known.
    pub(super) fn with_known_ends(&self, placement: Placement) -> Placement {
        let run = self.run_of(placement.target);
        let known_ends = run.map_or(0, |run| self.suspects.known_ends(run));
        Placement { known_ends, ..placement }
    }

    /// Records whether a target may have ended under a request, from how its attempt ended.
    pub(super) fn record_possible_end(
        &mut self,
        details: &RequestDetails,
        end: AttemptEnd<'_>,
        now: MonoTime,
    ) {
        let AttemptEnd { placement, has_begun, evidence } = end;
        let Some(run) = self.run_of(placement.target) else { return };
        let (ordinal, sent_after) = (placement.known_ends, placement.chosen);
        let end = SeenEnd { run, ordinal, sent_after, has_begun };
        // What ends its target when an answer begins has not begun one.
        let parts = if has_begun { &[][..] } else { &details.parts };
        let suspects: Vec<SuspectKey> = std::iter::once(SuspectKey::Content(details.fingerprint))
            .chain(parts.iter().map(|part| SuspectKey::Part(*part)))
            .collect();
        let has_ended = match evidence {
            AttemptEvidence::Cut => true,
            AttemptEvidence::Silent | AttemptEvidence::TimedOut => {
                self.targets.has_vanished(placement.target)
            }
            _ => return,
        };
        if has_ended {
            return self.suspects.record_end_under(&suspects, end, now);
        }
        if self.silent.len() >= MAX_SILENT {
            self.silent.pop_front();
        }
        let silent = SilentRun::new(suspects, placement.target, end, now);
        self.silent.push_back(silent);
    }

    /// Records that a target has sent the first event of its answer to a request.
    pub fn record_begun(&mut self, details: &RequestDetails, now: MonoTime) {
        self.suspects.record_begun(details.parts.iter().copied(), now);
    }

    /// Records that a target has answered a request.
    pub(super) fn record_no_end(
        &mut self,
        details: &RequestDetails,
        target: TargetKey,
        sample: &AttemptSample,
        now: MonoTime,
    ) {
        self.suspects.record_answered(details.fingerprint, now);
        self.record_begun(details, now);
        if let Some(run) = self.run_of(target) {
            let sent = MonoTime::ZERO + now.since(MonoTime::ZERO + sample.hold);
            self.suspects.record_alive(run, sent, now);
        }
    }

    /// Counts the ends of targets that fell silent and have vanished since, forgets what has expired, and returns what
    /// has changed since the last call, for the log.
    pub fn review_suspects(&mut self, now: MonoTime) -> Vec<SuspectEvent> {
        let Self { silent, suspects, targets, .. } = self;
        silent.retain(|run| match run.confirm(|target| targets.has_vanished(target)) {
            Some((ended_under, end)) => {
                suspects.record_end_under(ended_under, end, now);
                false
            }
            None => !run.has_expired(now),
        });
        let mut events = self.suspects.review(now);
        let is_end = |event: &SuspectEvent| matches!(event, SuspectEvent::EndKnown { .. });
        if events.iter().any(is_end) {
            let names = self.targets.names_by_run();
            for event in &mut events {
                if let SuspectEvent::EndKnown { key, target, .. } = event {
                    *target = names.get(&key.run).map(|name| (*name).clone());
                }
            }
        }
        events
    }

    fn run_of(&self, target: TargetKey) -> Option<TargetRun> {
        self.targets.last_entry(target).map(TargetRun::of_entry)
    }
}
