//! Domain types shared by all crates: names, times, tickets, the route and pool tables, and the
//! outcomes reported to callers.
//!
//! This crate does no I/O and reads no clock.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod account_grant;
mod byte_chunk;
mod call_outcome;
mod call_submission;
mod claim_id;
mod claim_verdict;
mod dispatch_ticket;
mod fleet_snapshot;
mod home_address;
mod instance_row;
mod ledger_export;
mod mono_time;
mod names;
mod peer_view;
mod pool_kind;
mod pool_row;
mod resume_token;
mod revoke_verdict;
mod route_row;
mod seal_key;
mod sealed_text;
mod service_tier;
mod table_delta;
mod table_set;
mod target_row;
mod ticket_key;
mod version_move;

pub use account_grant::AccountGrant;
pub use byte_chunk::ByteChunk;
pub use call_outcome::{CallOutcome, NotRunReason, UnknownReason};
pub use call_submission::CallSubmission;
pub use claim_id::ClaimId;
pub use claim_verdict::ClaimVerdict;
pub use dispatch_ticket::{DispatchTicket, TicketError};
pub use fleet_snapshot::FleetSnapshot;
pub use home_address::HomeAddress;
pub use instance_row::{InstanceKind, InstanceRow};
pub use ledger_export::{LedgerExport, TicketState};
pub use mono_time::MonoTime;
pub use names::{
    AccountName, DomainName, InstanceName, NameError, PoolName, RegionName, RouteName, TargetName,
    VersionName,
};
pub use peer_view::PeerView;
pub use pool_kind::PoolKind;
pub use pool_row::PoolRow;
pub use resume_token::ResumeToken;
pub use revoke_verdict::RevokeVerdict;
pub use route_row::RouteRow;
pub use seal_key::SealKey;
pub use service_tier::ServiceTier;
pub use table_delta::TableDelta;
pub use table_set::{TableError, TableSet};
pub use target_row::TargetRow;
pub use ticket_key::TicketKey;
pub use version_move::{MovePhase, MoveVerdict, VersionMove};
