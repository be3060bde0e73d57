use kwg_model::{BurnVerdict, ClaimVerdict, HomeAddress, LedgerExport};

/// A message on its way. It may be delivered late, out of order, twice or never.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct WorldMessage {
    pub(crate) from: HomeAddress,
    pub(crate) to: HomeAddress,
    pub(crate) body: MessageBody,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum MessageBody {
    Claim { ticket: usize, attempt: u64 },
    ClaimReply { ticket: usize, attempt: u64, verdict: ClaimVerdict },
    Burn { ticket: usize, attempt: u64 },
    BurnReply { ticket: usize, attempt: u64, verdict: BurnVerdict },
    Inherit { export: LedgerExport },
}
