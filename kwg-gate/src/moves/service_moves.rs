use kwg_model::MonoTime;

use super::move_history::MoveHistory;
use super::move_record::MoveRecord;
use super::open_answer::OpenAnswer;
use super::{
    AnswerOutcome, MoveOptions, MovePhase, MoveReport, PastMove, ReportSource, VersionOrder,
    VersionPresence,
};
use crate::VersionFilter;

/// The move of a service, and what is known of earlier ones.
#[derive(Debug, Clone)]
pub(super) struct ServiceMoves {
    pub(super) record: MoveRecord,
    history: MoveHistory,
    /// Whether the order is back to a version that serves already.
    is_return: bool,
}

impl ServiceMoves {
    pub(super) fn new(order: &VersionOrder, phase: MovePhase, now: MonoTime) -> Self {
        let record = MoveRecord::new(order, phase, now);
        Self { record, history: MoveHistory::default(), is_return: false }
    }

    /// Applies an order of the service and the phase from its status row. A later order replaces the
    /// move; the phase of an earlier one says nothing about this move. Returns whether a move has begun.
    pub(super) fn apply_order(
        &mut self,
        order: &VersionOrder,
        phase: MovePhase,
        now: MonoTime,
    ) -> bool {
        let known = self.record.order.revision;
        if order.revision == known {
            self.record.phase = self.record.phase.max(phase);
        } else if order.revision < known {
            self.history.raise(order.revision, phase);
        } else {
            self.replace(order, phase, now);
        }
        order.revision > known
    }

    /// Records that a version serves as an old one, if it is one that is counted.
    pub(super) fn record_serving(&mut self, version: &str) {
        if version != self.record.order.to && self.is_counted(version) {
            self.history.record_serving(version);
        }
    }

    fn replace(&mut self, order: &VersionOrder, phase: MovePhase, now: MonoTime) {
        let MoveRecord { order: before, phase: reached, .. } = &self.record;
        self.history.record(&PastMove {
            version: before.to.clone(),
            revision: before.revision,
            phase: *reached,
        });
        self.is_return = self.history.is_serving(&order.to) && !self.history.is_unproved(&order.to);
        self.record = MoveRecord::new(order, phase, now);
        if self.is_return {
            self.record.set_load_proved(now);
        }
    }

    /// Applies whether the ordered version and others have targets. A version that serves already keeps its order
    /// without them, so that it serves when they are back.
    pub(super) fn set_presence(&mut self, presence: VersionPresence) {
        if !self.is_return {
            self.record.set_presence(presence);
        }
    }

    /// Which versions may serve a request of a route; `draw` is a random number in [0, 1).
    pub(super) fn filter(
        &self,
        options: &MoveOptions,
        route: &str,
        draw: f64,
        now: MonoTime,
    ) -> VersionFilter<'_> {
        let to = self.record.order.to.as_str();
        let filter = match self.record.phase {
            MovePhase::Completed | MovePhase::Kept => VersionFilter::Only(to),
            MovePhase::Running if self.is_return => VersionFilter::Only(to),
            MovePhase::RolledBack => VersionFilter::Except(to),
            MovePhase::Running => self.record.filter(options, route, draw, now),
        };
        match filter {
            VersionFilter::Except(to) => self.history.proved(to),
            filter => filter,
        }
    }

    /// Which versions may serve instead, the preferred ones first, if those that `first` admits have no
    /// target. A version that was rolled back is not among them.
    pub(super) fn fallbacks<'a>(
        &'a self,
        first: VersionFilter<'a>,
    ) -> impl Iterator<Item = VersionFilter<'a>> {
        let to = self.record.order.to.as_str();
        let is_new_left = self.may_fall_back() && !first.admits(to);
        let new = is_new_left.then_some(VersionFilter::Only(to));
        let filters = [Some(self.history.proved(to)), Some(self.history.not_rejected(to)), new];
        filters.into_iter().flatten().filter(move |filter| *filter != first)
    }

    /// Whether `filter` admits the ordered version only, although other ones serve as well.
    pub(super) fn serves_both(&self, filter: VersionFilter<'_>) -> bool {
        self.record.phase == MovePhase::Running
            && !self.is_return
            && self.record.serves_both()
            && filter.admits(&self.record.order.to)
    }

    /// Whether a request may use the ordered version if no other one has a target.
    pub(super) fn may_fall_back(&self) -> bool {
        self.record.phase != MovePhase::RolledBack
    }

    /// Whether attempts at targets of a version are counted: neither those after the move, nor those
    /// at versions that are no standard for the new one.
    pub(super) fn is_counted(&self, version: &str) -> bool {
        self.record.phase == MovePhase::Running
            && (version == self.record.order.to || !self.history.is_unproved(version))
    }

    /// Counts an attempt at a target of `version`, if it is to be counted.
    pub(super) fn record_answer(&mut self, version: &str, route: &str, outcome: AnswerOutcome) {
        if !self.is_counted(version) {
            return;
        }
        self.record_serving(version);
        let is_new = self.record.order.to == version;
        self.record.evidence_mut().record(route, is_new, outcome);
    }

    /// Applies the report of a peer, if it is on the same move.
    pub(super) fn apply_report(
        &mut self,
        source: ReportSource<'_>,
        report: &MoveReport,
        now: MonoTime,
    ) {
        let revision = self.record.order.revision;
        if report.revision == revision {
            let past = report.past.iter().filter(|past| past.revision < revision);
            past.for_each(|past| self.history.record(past));
            self.record.apply_report(source, report, now);
        }
    }

    /// The report of this instance for its peers. `open` are its attempts that have not ended.
    pub(super) fn report<'a>(
        &self,
        open: impl Iterator<Item = &'a OpenAnswer>,
        now: MonoTime,
    ) -> MoveReport {
        MoveReport { past: self.history.past().to_vec(), ..self.record.report(open, now) }
    }
}
