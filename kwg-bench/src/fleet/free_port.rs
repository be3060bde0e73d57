use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

use rand::Rng;

/// Ports below those that the system gives to outgoing connections, which would take a port
/// between its being found free and its being used.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// An address on this machine whose port is free for TCP and UDP just now.
pub(super) fn free_address() -> SocketAddr {
    loop {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
