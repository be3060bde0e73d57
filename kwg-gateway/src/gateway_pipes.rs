use std::sync::Arc;

use async_channel::{Receiver, Sender, bounded, unbounded};
use kwg_gate::{
    EndRecord, EvacuatedDomains, ExplainQuery, Explanation, GateDigest, GateOptions, InstanceMap,
    MoveDecision, MovePhase, RouteTable, TargetRegistry, VersionOrder,
};
use kwg_model::MonoTime;

/// Capacity of the channel to the control thread. It is small because a later report replaces
/// an earlier one.
const MAX_QUEUED_REPORTS: usize = 4;

/// A message from the control thread to the traffic thread.
#[derive(Debug, Clone)]
pub(crate) enum TrafficInput {
    /// The route table in force, and the revision of its row in the orders table.
    Table(Arc<RouteTable>, u64),
    /// The registered targets.
    Registry(Arc<TargetRegistry>),
    /// The name of a peer or failure domain, and its digest.
    Digest(String, Box<GateDigest>),
    /// The name of a peer or failure domain, and ends of targets that it knows of.
    Ends(String, Vec<EndRecord>),
    /// The evacuated failure domains.
    Evacuated(EvacuatedDomains),
    /// An order of a version move, and the phase in its status row once that is known.
    Order(VersionOrder, Option<MovePhase>),
    /// Changed options, of which the retry budget and the quota tolerances are applied.
    Options(GateOptions),
    /// The instances of the fleet.
    Instances(InstanceMap),
    /// Explain where a request would go, without sending it.
    Explain(ExplainQuery, Sender<Explanation>),
    /// Report not ready and drain: finish accepted requests and keep no connection alive. Every
    /// request must have its outcome by the given time, since the process exits soon after it.
    Stop(MonoTime),
    /// The instance has received what its peers know, or has no peers.
    Joined,
    /// Stop accepting callers and close idle connections.
    CloseIdle,
}

/// The periodic message of the traffic thread to the control thread.
#[derive(Debug, Clone)]
pub(crate) struct TrafficReport {
    pub(crate) digest: GateDigest,
    /// Phases that version moves have reached.
    pub(crate) decisions: Vec<MoveDecision>,
}

/// The channels between the control thread and the traffic thread.
#[derive(Debug, Clone)]
pub(crate) struct GatewayPipes {
    /// Held by the control thread and the signal loop.
    pub(crate) to_traffic: Sender<TrafficInput>,
    /// Held by the traffic thread.
    pub(crate) from_control: Receiver<TrafficInput>,
    /// Held by the traffic thread.
    pub(crate) to_control: Sender<TrafficReport>,
    /// Held by the control thread.
    pub(crate) from_traffic: Receiver<TrafficReport>,
}

impl GatewayPipes {
    /// Creates the channels. The one to the traffic thread is unbounded; the message rates of the
    /// store and the peers bound its length.
    pub(crate) fn new() -> Self {
        let (to_traffic, from_control) = unbounded();
        let (to_control, from_traffic) = bounded(MAX_QUEUED_REPORTS);
        Self { to_traffic, from_control, to_control, from_traffic }
    }
}
