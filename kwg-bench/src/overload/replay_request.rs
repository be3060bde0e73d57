use kwg_gate::{Dispatched, GateSession, TargetKey, TokenCount};

/// A request of a caller, which may come back once.
#[derive(Debug)]
pub(super) struct ReplayRequest {
    pub(super) class: usize,
    pub(super) tokens: TokenCount,
    pub(super) work_ms: f64,
    pub(super) arrived_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) has_returned: bool,
    pub(super) is_counted: bool,
}

/// An attempt that a target works on.
#[derive(Debug)]
pub(super) struct OpenReplay {
    pub(super) request: usize,
    pub(super) node: usize,
    pub(super) target: usize,
    pub(super) key: TargetKey,
    pub(super) session: GateSession<Dispatched>,
    pub(super) started_ms: u64,
    pub(super) first_ms: Option<u64>,
}
