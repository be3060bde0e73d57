use kwg_model::MonoTime;
use slotmap::new_key_type;

use crate::{RouteLabel, ServiceName};

new_key_type! {
    /// Identifies an attempt at a version that takes part in a move.
    pub struct OpenAnswerKey;
}

/// An attempt that has been sent and has not ended.
#[derive(Debug, Clone)]
pub(super) struct OpenAnswer {
    pub(super) service: ServiceName,
    /// Revision of the order of the move.
    pub(super) revision: u64,
    pub(super) route: RouteLabel,
    pub(super) is_new: bool,
    pub(super) started: MonoTime,
}
