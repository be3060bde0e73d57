use std::collections::BTreeMap;

use kwg_model::{CallSubmission, DispatchTicket};

use crate::{CallerKey, TrafficOutput};

/// Submissions with an idempotency key whose ticket is not known yet.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    submissions: BTreeMap<u64, KeyedSubmission>,
    next_request: u64,
}

/// A submission waiting for its ticket.
#[derive(Debug)]
pub(crate) struct KeyedSubmission {
    pub(crate) caller: CallerKey,
    pub(crate) submission: CallSubmission,
}

impl KeyTable {
    /// Stores a submission and returns its request number.
    pub(crate) fn insert(&mut self, caller: CallerKey, submission: CallSubmission) -> u64 {
        self.next_request += 1;
        self.submissions.insert(self.next_request, KeyedSubmission { caller, submission });
        self.next_request
    }

    /// Returns the output that binds the key of a stored submission to a ticket minted for it.
    pub(crate) fn bind(&self, request: u64, ticket: DispatchTicket) -> Option<TrafficOutput> {
        let key = self.submissions.get(&request)?.submission.idempotency_key.clone()?;
        Some(TrafficOutput::BindKey { request, key, ticket })
    }

    pub(crate) fn take(&mut self, request: u64) -> Option<KeyedSubmission> {
        self.submissions.remove(&request)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.submissions.is_empty()
    }
}
