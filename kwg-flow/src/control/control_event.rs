use kwg_decide::PeerState;
use kwg_model::{HomeAddress, InstanceName};

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
            Self::LedgerMoved { .. } => "ledger-moved",
        }
    }
}
