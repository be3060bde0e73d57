use kwg_model::InstanceName;
use kwg_wire::PeerBody;

/// Receives the messages and faults of peer links.
pub trait LinkSink: Send + Sync + 'static {
    /// Handles a message from an instance whose certificate has been verified.
    fn deliver(&self, from: InstanceName, body: PeerBody);

    /// Counts a fault under `reason`.
    fn record_fault(&self, reason: &'static str);
}
