use std::collections::BTreeMap;

use kwg_model::{HomeAddress, LedgerExport, MonoTime};

use super::TimerKey;
use super::mint_table::peer_core;
use crate::TrafficMessage;
use crate::filter::{ClaimFilter, FlowContext, FlowPipe};

/// State of a graceful shutdown: accepted requests end first, then one successor takes over the
/// ledgers.
#[derive(Debug, Default)]
pub(crate) struct DrainHandler(DrainPhase);

#[derive(Debug, Default)]
enum DrainPhase {
    #[default]
    Serving,
    Draining,
    HandingOver {
        successor: HomeAddress,
        unanswered: BTreeMap<HomeAddress, LedgerExport>,
        deadline: MonoTime,
    },
    Ended,
}

/// Progress of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainStep {
    /// The shutdown has not begun, is in progress, or its end has been reported already.
    Waiting,
    /// The shutdown is complete.
    Ended {
        /// Whether a successor has taken over the ledgers.
        handed_over: bool,
    },
}

impl DrainHandler {
    pub(crate) fn begin(&mut self) {
        if matches!(self.0, DrainPhase::Serving) {
            self.0 = DrainPhase::Draining;
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        !matches!(self.0, DrainPhase::Serving)
    }

    /// Continues the shutdown; called once all accepted requests have ended.
    pub(crate) fn finish(
        &mut self,
        context: &FlowContext<'_>,
        claim: &mut ClaimFilter,
        pipe: &mut FlowPipe<'_>,
    ) -> DrainStep {
        match &mut self.0 {
            DrainPhase::Draining => self.begin_hand_over(context, claim, pipe),
            DrainPhase::HandingOver { unanswered, deadline, .. } => {
                let handed_over = unanswered.is_empty();
                if !handed_over && context.now < *deadline {
                    return DrainStep::Waiting;
                }
                self.0 = DrainPhase::Ended;
                DrainStep::Ended { handed_over }
            }
            DrainPhase::Serving | DrainPhase::Ended => DrainStep::Waiting,
        }
    }

    fn begin_hand_over(
        &mut self,
        context: &FlowContext<'_>,
        claim: &mut ClaimFilter,
        pipe: &mut FlowPipe<'_>,
    ) -> DrainStep {
        let identity = context.identity;
        let serving = context.fleet.peers.values().filter(|peer| peer.serving);
        let Some(peer) = serving.min_by_key(|peer| peer.region != identity.region) else {
            self.0 = DrainPhase::Ended;
            return DrainStep::Ended { handed_over: false };
        };
        let successor = peer_core(peer, identity.address.shard);
        let exports = claim.hand_over(context.now, &successor);
        let unanswered = exports.into_iter().map(|export| (export.home.clone(), export)).collect();
        let deadline = context.now + context.options.hand_over_timeout;
        self.0 = DrainPhase::HandingOver { successor, unanswered, deadline };
        self.resend_ledgers(context, pipe);
        DrainStep::Waiting
    }

    /// Resends the ledgers that are not confirmed.
    ///
    /// They go to a single successor: a second one could grant a claim that the first has already
    /// granted.
    pub(crate) fn resend_ledgers(&mut self, context: &FlowContext<'_>, pipe: &mut FlowPipe<'_>) {
        let DrainPhase::HandingOver { successor, unanswered, .. } = &self.0 else {
            return;
        };
        for export in unanswered.values() {
            pipe.send(successor, TrafficMessage::Inherit { export: export.clone() });
        }
        pipe.timers.set(context.now + context.options.home_retry_interval, TimerKey::HandOver);
    }

    pub(crate) fn on_inherit_reply(&mut self, home: &HomeAddress) {
        if let DrainPhase::HandingOver { unanswered, .. } = &mut self.0 {
            unanswered.remove(home);
        }
    }
}
