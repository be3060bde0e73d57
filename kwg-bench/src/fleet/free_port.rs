use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// An address on this machine whose port is free for TCP and UDP just now.
pub(super) fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
