use kwg_model::{ClaimVerdict, HomeAddress, LedgerExport, RevokeVerdict};

/// A message in flight. It may be delivered late, out of order, twice or never.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ModelMessage {
    pub(crate) from: HomeAddress,
    pub(crate) to: HomeAddress,
    pub(crate) body: MessageBody,
}

/// Content of a message; `ticket` is the index of the ticket in the model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum MessageBody {
    Claim { ticket: usize, attempt: u64 },
    ClaimReply { ticket: usize, attempt: u64, verdict: ClaimVerdict },
    Revoke { ticket: usize, attempt: u64 },
    RevokeReply { ticket: usize, attempt: u64, verdict: RevokeVerdict },
    Inherit { export: LedgerExport },
}
