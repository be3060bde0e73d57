use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

use rand::Rng;

/// Ports below those that the system gives to outgoing connections, which would take a port
/// between its being found free and its being used.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Ports that this process has given out: a port is free until its user listens, and must not
/// be given to two.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// An address on this machine whose port is free for TCP and UDP, given out once.
pub(super) fn free_address() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let is_new = GIVEN.lock().unwrap_or_else(PoisonError::into_inner).insert(port);
        if is_new && TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
