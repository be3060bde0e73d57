use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use rand::Rng;

/// Ports to choose from. They are below the system's ephemeral range: an outgoing connection
/// could otherwise take a port after it was found free and before its user binds it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Ports that this process has tried already, free or not. A port looks free until its user binds
/// it, so this keeps it from being returned twice.
static TRIED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A local address whose port is free for TCP and UDP. No call returns the same one again.
pub(super) fn free_address() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let is_new = TRIED.lock().unwrap_or_else(PoisonError::into_inner).insert(port);
        if is_new && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
