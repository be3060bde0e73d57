use kwg_decide::PeerState;
use kwg_model::{HomeAddress, InstanceName, PoolName, VersionMove, VersionName};

/// Something that changed for the whole router, for logs and the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlEvent {
    /// Tables came into force here.
    TablesInForce {
        /// Their revision.
        revision: u64,
        /// The change.
        change_id: String,
        /// Where they came from: `platform` or a router.
        source: String,
    },
    /// Another router's state changed.
    PeerChanged {
        /// The router.
        instance: InstanceName,
        /// Its run.
        incarnation: u64,
        /// Its state.
        state: PeerState,
    },
    /// A target or router is about to stop.
    InstanceLeaving {
        /// Its name.
        name: String,
    },
    /// The platform did not answer.
    PlatformDown {
        /// What was asked.
        request: &'static str,
    },
    /// The platform answers again.
    PlatformUp {
        /// What was asked.
        request: &'static str,
    },
    /// This router knows the tables and takes requests.
    Ready,
    /// This router leads version moves now, or no longer.
    Leadership {
        /// The fencing number, if it leads.
        fence: Option<u64>,
    },
    /// A version gets no more traffic.
    Braked {
        /// The pool.
        pool: PoolName,
        /// The version.
        version: VersionName,
        /// On which evidence.
        evidence: String,
    },
    /// A move took a step, by the tables in force.
    MoveStep {
        /// The pool.
        pool: PoolName,
        /// The move.
        row: Box<VersionMove>,
    },
    /// A request is refused from now on: it crashed its targets.
    Poisoned {
        /// Its fingerprint.
        fingerprint: u64,
    },
    /// A ledger is kept by another core now.
    LedgerMoved {
        /// The home.
        home: HomeAddress,
        /// The core that keeps its ledger.
        successor: HomeAddress,
    },
}

impl ControlEvent {
    /// The event's name in logs.
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
