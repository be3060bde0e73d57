use std::collections::BTreeMap;

use kwg_model::{CallSubmission, DispatchTicket};

use crate::{CallerKey, TrafficOutput};

/// Submissions with an idempotency key that wait to learn their ticket.
#[derive(Debug, Default)]
pub(crate) struct KeyDesk {
    waits: BTreeMap<u64, KeyWait>,
    next_request: u64,
}

/// A submission that waits for its ticket.
#[derive(Debug)]
pub(crate) struct KeyWait {
    pub(crate) caller: CallerKey,
    pub(crate) submission: CallSubmission,
}

impl KeyDesk {
    /// Parks a submission; the number names it.
    pub(crate) fn park(&mut self, caller: CallerKey, submission: CallSubmission) -> u64 {
        self.next_request += 1;
        self.waits.insert(self.next_request, KeyWait { caller, submission });
        self.next_request
    }

    /// Asks to bind the key of a parked submission to a ticket that was minted for it.
    pub(crate) fn bind(&self, request: u64, ticket: DispatchTicket) -> Option<TrafficOutput> {
        let key = self.waits.get(&request)?.submission.idempotency_key.clone()?;
        Some(TrafficOutput::BindKey { request, key, ticket })
    }

    pub(crate) fn take(&mut self, request: u64) -> Option<KeyWait> {
        self.waits.remove(&request)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }
}
