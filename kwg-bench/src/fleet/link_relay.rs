use std::collections::{BTreeSet, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Read timeout of a relay's sockets, after which it checks whether to stop.
const STOP_CHECK: Duration = Duration::from_millis(50);
/// Longest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_536;

/// Relays the UDP links between routers, so that links can be cut while the routers run.
///
/// Each router has a relay of its own in front of it, which identifies the sending router by its
/// address.
#[derive(Debug)]
pub(super) struct LinkRelay {
    shared: Arc<RelayState>,
    addresses: Vec<SocketAddr>,
}

/// State that the relay's threads share.
#[derive(Debug)]
struct RelayState {
    /// Addresses on which the routers themselves listen.
    routers: Vec<SocketAddr>,
    /// Routers whose links are cut.
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
    /// Starts a relay in front of each router.
    pub(super) fn start(routers: Vec<SocketAddr>) -> Self {
        let count = routers.len();
        let shared = Arc::new(RelayState {
            routers,
            cut_off: Mutex::default(),
            is_stopping: AtomicBool::new(false),
        });
        let addresses = (0..count).map(|router| {
            let socket = bind_socket();
            let address = socket.local_addr().expect("a bound socket has an address");
            let shared = Arc::clone(&shared);
            thread::spawn(move || forward(&shared, router, &Arc::new(socket)));
            address
        });
        let addresses = addresses.collect();
        Self { shared, addresses }
    }

    /// Addresses of the relays, in the order of the routers.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Cuts or restores the links between a router and all others.
    pub(super) fn set_cut(&self, router: usize, is_cut: bool) {
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

/// A UDP socket on a free port, with the read timeout `STOP_CHECK`.
fn bind_socket() -> UdpSocket {
    let socket = UdpSocket::bind(super::free_port::free_address()).expect("a port is free");
    socket.set_read_timeout(Some(STOP_CHECK)).expect("a valid timeout");
    socket
}

/// Forwards datagrams to a router from a socket of its own for each sender, so that replies can
/// be returned to the sender.
fn forward(shared: &Arc<RelayState>, router: usize, listener: &Arc<UdpSocket>) {
    let mut upstreams: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while !shared.is_stopping() {
        let Ok((length, from)) = listener.recv_from(&mut buffer) else { continue };
        let sender = shared.routers.iter().position(|address| *address == from);
        if shared.is_cut(router) || sender.is_some_and(|sender| shared.is_cut(sender)) {
            continue;
        }
        let upstream = upstreams.entry(from).or_insert_with(|| {
            let upstream = Arc::new(bind_socket());
            let (shared, listener, source) =
                (Arc::clone(shared), Arc::clone(listener), Arc::clone(&upstream));
            thread::spawn(move || {
                return_replies(&shared, (router, sender), &listener, &source, from)
            });
            upstream
        });
        drop(upstream.send_to(&buffer[..length], shared.routers[router]));
    }
}

/// Returns a router's replies to one sender, unless the link between the two is cut.
fn return_replies(
    shared: &RelayState,
    (router, sender): (usize, Option<usize>),
    listener: &UdpSocket,
    upstream: &UdpSocket,
    to: SocketAddr,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while !shared.is_stopping() {
        let Ok((length, _)) = upstream.recv_from(&mut buffer) else { continue };
        if !shared.is_cut(router) && !sender.is_some_and(|sender| shared.is_cut(sender)) {
            drop(listener.send_to(&buffer[..length], to));
        }
    }
}
