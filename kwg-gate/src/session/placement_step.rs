use kwg_model::MonoTime;

use crate::{FinalOutcome, Placement};

/// Decision about an admitted request that needs a target.
pub(crate) enum PlacementStep {
    /// Send it to this target.
    Send(Placement),
    /// Let it wait for capacity, at most until the given time.
    Wait(MonoTime),
    /// End it with this outcome.
    Refuse(FinalOutcome),
}
