use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a relay looks whether it is to stop.
const STOP_CHECK: Duration = Duration::from_millis(50);
/// Longest datagram.
const DATAGRAM_BYTES: usize = 65_536;

/// Relays of the links between routers, which can be cut while the processes live.
///
/// Every router is reached through a relay of its own, so the relays see who talks to whom.
#[derive(Debug)]
pub(super) struct LinkRelay {
    shared: Arc<RelayState>,
    addresses: Vec<SocketAddr>,
}

#[derive(Debug)]
struct RelayState {
    /// Where the routers themselves listen.
    routers: Vec<SocketAddr>,
    cut_off: Mutex<BTreeSet<usize>>,
    is_stopping: AtomicBool,
}

impl RelayState {
    fn is_cut(&self, router: usize) -> bool {
        self.cut_off.lock().unwrap_or_else(PoisonError::into_inner).contains(&router)
    }

    fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

impl LinkRelay {
    /// Starts a relay before each router.
    pub(super) fn start(routers: Vec<SocketAddr>) -> Self {
        let count = routers.len();
        let shared = Arc::new(RelayState {
            routers,
            cut_off: Mutex::default(),
            is_stopping: AtomicBool::new(false),
        });
        let addresses = (0..count).map(|router| {
            let socket = socket();
            let address = socket.local_addr().expect("a bound socket has an address");
            let shared = Arc::clone(&shared);
            thread::spawn(move || relay(&shared, router, &Arc::new(socket)));
            address
        });
        let addresses = addresses.collect();
        Self { shared, addresses }
    }

    /// Where the routers are reached.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Cuts a router off from all others, or joins it again.
    pub(super) fn cut(&self, router: usize, is_cut: bool) {
        let mut cut_off = self.shared.cut_off.lock().unwrap_or_else(PoisonError::into_inner);
        if is_cut {
            cut_off.insert(router);
        } else {
            cut_off.remove(&router);
        }
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
    }
}

fn socket() -> UdpSocket {
    let socket = UdpSocket::bind(super::free_port::free_address()).expect("a port is free");
    socket.set_read_timeout(Some(STOP_CHECK)).expect("a valid timeout");
    socket
}

/// Passes datagrams to a router, and its answers back to whoever sent them.
fn relay(shared: &Arc<RelayState>, router: usize, front: &Arc<UdpSocket>) {
    let mut ways: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while !shared.is_stopping() {
        let Ok((length, from)) = front.recv_from(&mut buffer) else { continue };
        let sender = shared.routers.iter().position(|address| *address == from);
        if shared.is_cut(router) || sender.is_some_and(|sender| shared.is_cut(sender)) {
            continue;
        }
        let way = ways.entry(from).or_insert_with(|| {
            let way = Arc::new(socket());
            let (shared, front, back) = (Arc::clone(shared), Arc::clone(front), Arc::clone(&way));
            thread::spawn(move || answer(&shared, (router, sender), &front, &back, from));
            way
        });
        drop(way.send_to(&buffer[..length], shared.routers[router]));
    }
}

fn answer(
    shared: &RelayState,
    (router, sender): (usize, Option<usize>),
    front: &UdpSocket,
    back: &UdpSocket,
    to: SocketAddr,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while !shared.is_stopping() {
        let Ok((length, _)) = back.recv_from(&mut buffer) else { continue };
        if !shared.is_cut(router) && !sender.is_some_and(|sender| shared.is_cut(sender)) {
            drop(front.send_to(&buffer[..length], to));
        }
    }
}
