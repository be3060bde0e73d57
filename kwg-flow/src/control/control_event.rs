use kwg_decide::PeerState;
use kwg_model::{HomeAddress, InstanceName, PoolName, VersionMove, VersionName};

/// An event that concerns the whole router, for logs and the timeline.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEvent {
    /// New tables are active at this router.
    TablesInForce {
        /// Revision of the tables.
        revision: u64,
        /// Id of the change.
        change_id: String,
        /// Source of the tables: `platform` or the name of a router.
        source: String,
    },
    /// The state of another router changed.
    PeerChanged {
        /// Name of the router.
        instance: InstanceName,
        /// Incarnation of the router.
        incarnation: u64,
        /// State of the router.
        state: PeerState,
    },
    /// A target or router is about to stop.
    InstanceLeaving {
        /// Name of the instance.
        name: String,
    },
    /// The platform did not answer.
    PlatformDown {
        /// Kind of the read: `tables` or `instances`.
        request: &'static str,
    },
    /// The platform answers again.
    PlatformUp {
        /// Kind of the read: `tables` or `instances`.
        request: &'static str,
    },
    /// This router has tables and accepts requests.
    Ready,
    /// This router became or ceased to be the leader of version moves.
    Leadership {
        /// Fencing number, if this router leads.
        fence: Option<u64>,
    },
    /// A version gets no more traffic.
    Braked {
        /// Pool of the version.
        pool: PoolName,
        /// Braked version.
        version: VersionName,
        /// Evidence for the decision.
        evidence: String,
    },
    /// A version move changed its phase in the active tables.
    MoveStep {
        /// Pool of the move.
        pool: PoolName,
        /// State of the move.
        row: Box<VersionMove>,
    },
    /// A request is refused from now on because it crashed its targets.
    Poisoned {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// A ledger has moved to another core.
    LedgerMoved {
        /// Home whose ledger moved.
        home: HomeAddress,
        /// Core that keeps the ledger now.
        successor: HomeAddress,
    },
}

impl ControlEvent {
    /// Returns the event's name in logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::TablesInForce { .. } => "tables-in-force",
            Self::PeerChanged { .. } => "peer-changed",
            Self::InstanceLeaving { .. } => "instance-leaving",
            Self::PlatformDown { .. } => "platform-down",
            Self::PlatformUp { .. } => "platform-up",
            Self::Ready => "ready",
            Self::Leadership { fence: Some(_) } => "leads",
            Self::Leadership { fence: None } => "leads-no-longer",
            Self::Braked { .. } => "braked",
            Self::MoveStep { .. } => "move-step",
            Self::Poisoned { .. } => "poisoned",
            Self::LedgerMoved { .. } => "ledger-moved",
        }
    }
}
