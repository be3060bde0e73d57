use kwg_model::InstanceName;
use kwg_wire::PeerBody;

/// Where a link delivers what comes in, and counts what goes wrong.
pub trait LinkSink: Send + Sync + 'static {
    /// Takes a message of a router whose certificate has been checked.
    fn deliver(&self, from: InstanceName, body: PeerBody);

    /// Counts a fault.
    fn note_fault(&self, reason: &'static str);
}
