use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard, PoisonError};

use rand::Rng;

/// Ports to choose from. They are below the system's ephemeral range: an outgoing connection
/// could otherwise take a port after it was found free and before its user binds it.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Ports that this process has tried already, free or not. A port looks free until its user binds
/// it, so this keeps it from being returned twice.
static TRIED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// A local address whose port is free for TCP and UDP. No call returns the same one again.
pub(super) fn free_address() -> SocketAddr {
    let mut tried = lock_ports();
    loop {
        let port = rand::rng().random_range(PORTS);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if tried.insert(port)
            && TcpListener::bind(address).is_ok()
            && UdpSocket::bind(address).is_ok()
        {
            return address;
        }
    }
}

/// Starts a process while no port is probed: a new process holds a copy of each socket until it has
/// loaded its program, and the port of a probed socket would be in use for so long.
pub(super) fn start_process(command: &mut Command) -> io::Result<Child> {
    let tried = lock_ports();
    let child = command.spawn();
    drop(tried);
    child
}

fn lock_ports() -> MutexGuard<'static, BTreeSet<u16>> {
    TRIED.lock().unwrap_or_else(PoisonError::into_inner)
}
