//! Decisions of a gateway that serves requests at the instance where they arrive.
//!
//! This crate uses no sockets, clocks or wire formats: it takes the time and the details of a
//! request as inputs and returns a decision. A request passes through the filters as a
//! [`GateSession`] whose type parameter encodes its state; the permit to send it exists once.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod gate_core;
mod gate_options;
mod limit;
mod moves;
mod peer;
mod poison;
mod registry;
mod replica;
mod session;
mod stable_hash;
mod table;
mod target;
mod text_key;

pub use gate_core::GateCore;
pub use gate_options::GateOptions;
pub use limit::{
    CallerBytes, CallerGuard, CallerKey, CallerLedger, CallerOptions, CallerPhase, FleetView,
    QueuePosition, QuotaOptions, QuotaTracker, RetryBudget, RetryBudgetOptions, WaitQueue,
    WaitTracker,
};
pub use moves::{
    AnswerOutcome, MoveDecision, MoveEvidence, MoveOptions, MovePhase, MoveReport, MoveStage,
    MoveTracker, OpenAnswerKey, PaceHistogram, PastMove, RampPlan, ReportSource, RouteTally,
    VersionOrder, VersionPresence, VersionTally,
};
pub use peer::{
    AccountUsage, DigestDelta, DigestExchange, DigestHistory, DigestMirror, DigestSource,
    DomainListing, DomainView, FleetRoster, GateDigest, InstanceMap, PeerTracker, RelayElection,
    TargetCode, TargetReport,
};
pub use poison::{
    EndFeed, EndKey, EndRecord, EndSource, RefusedGroup, ReleaseCause, SeenEnd, SuspectEvent,
    SuspectKey, SuspectTracker, TargetRun,
};
pub use registry::{DomainDistance, DomainMap, TargetEntry, TargetRegistry};
pub use replica::{
    AppliedChanges, CallFailure, Calling, CheckPlan, FeedCall, Pausing, PeerRuns, PullReply,
    ReadPurpose, RowChanges, StoreFeed, StoreRow, StoreWitness, TableCopy, TableLag, TableMirror,
    TableReading, TableReplica, Waiting,
};
pub use session::{
    Admitted, AttemptEvidence, AttemptPermit, AttemptVerdict, Dispatched, FinalOutcome,
    GateSession, HandingOver, OpenAttempt, Placed, PlacementOutcome, PromptPart, Received,
    RefusalReason, RequestDetails, ReservedTarget, SessionStep, SharedAttempt, TokenCount,
    UnknownReason,
};
pub use table::{
    AccountRule, CallerLimits, EngineRule, QuotaRule, RegionBound, RequestKind, RouteMatch,
    RoutePool, RouteRule, RouteTable, ServiceRule, StreamPromise,
};
pub use target::{
    AttemptSample, ColdChange, ColdNotice, ColdOptions, ColdRule, CostTerms, EvacuatedDomains,
    ExplainQuery, ExplainedTarget, Explanation, LONGEST_PAUSE, Placement, PlacementDecision,
    PlacementQuery, SpeedReading, StandingSource, StandingState, TargetKey, TargetTracker,
    TargetWord, VersionFilter,
};
pub use text_key::{AccountLabel, RouteLabel, ServiceName, TargetId, is_usable_name};
