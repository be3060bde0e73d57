use super::{MovePhase, PastMove};
use crate::VersionFilter;

/// Largest number of versions whose moves are remembered.
const MAX_PAST_MOVES: usize = 16;

/// What the earlier moves of a service say about its versions.
#[derive(Debug, Clone, Default)]
pub(super) struct MoveHistory {
    past: Vec<PastMove>,
    /// Versions that were rolled back.
    rejected: Vec<String>,
    /// Versions that were rolled back, and those whose move had not ended when the next order came.
    unproved: Vec<String>,
    /// Versions that serve as old ones.
    serving: Vec<String>,
    /// Revision of the order that was completed last.
    completed: u64,
}

impl MoveHistory {
    /// The moves, for reports to peers.
    pub(super) fn past(&self) -> &[PastMove] {
        &self.past
    }

    /// Records a move that a later order has replaced, or what a peer knows of it.
    pub(super) fn record(&mut self, past: &PastMove) {
        past.merge_into(&mut self.past);
        if self.past.len() > MAX_PAST_MOVES {
            self.past.sort_unstable_by_key(|past| past.revision);
            self.past.remove(0);
        }
        let versions = |is_listed: fn(MovePhase) -> bool| {
            let listed = self.past.iter().filter(|past| is_listed(past.phase));
            listed.map(|past| past.version.clone()).collect()
        };
        self.rejected = versions(|phase| phase == MovePhase::RolledBack);
        self.unproved = versions(|phase| !phase.is_completed());
        let completed = self.past.iter().filter(|past| past.phase.is_completed());
        let last = completed.max_by_key(|past| past.revision);
        if let Some(last) = last.filter(|last| last.revision > self.completed) {
            // Only this version serves from then on.
            (self.completed, self.serving) = (last.revision, vec![last.version.clone()]);
        }
    }

    /// Raises the phase of an earlier move of this revision, if it is known.
    pub(super) fn raise(&mut self, revision: u64, phase: MovePhase) {
        let past = self.past.iter().find(|past| past.revision == revision);
        if let Some(past) = past.cloned() {
            self.record(&PastMove { phase: past.phase.max(phase), ..past });
        }
    }

    /// Whether a version was ordered before and not proved good.
    pub(super) fn is_unproved(&self, version: &str) -> bool {
        self.unproved.iter().any(|unproved| unproved == version)
    }

    /// Records that a version serves as an old one.
    pub(super) fn record_serving(&mut self, version: &str) {
        if !self.is_serving(version) {
            self.serving.push(version.to_owned());
        }
    }

    /// Whether a version serves as an old one.
    pub(super) fn is_serving(&self, version: &str) -> bool {
        self.serving.iter().any(|serving| serving == version)
    }

    /// All versions but the ordered one and those that were not proved.
    pub(super) fn proved<'a>(&'a self, ordered: &'a str) -> VersionFilter<'a> {
        except(ordered, &self.unproved)
    }

    /// All versions but the ordered one and those that were rolled back.
    pub(super) fn not_rejected<'a>(&'a self, ordered: &'a str) -> VersionFilter<'a> {
        except(ordered, &self.rejected)
    }
}

fn except<'a>(version: &'a str, others: &'a [String]) -> VersionFilter<'a> {
    match others {
        [] => VersionFilter::Except(version),
        others => VersionFilter::ExceptAll { version, others },
    }
}
