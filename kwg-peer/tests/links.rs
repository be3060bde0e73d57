//! Links between routers: frames are delivered, impostors and malformed frames are rejected.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Sender, bounded};
use async_executor::Executor;
use async_io::block_on;
use kwg_clock::ClockHandle;
use kwg_flow::ControlMessage;
use kwg_model::InstanceName;
use kwg_peer::{
    FleetAuthority, IdentityFiles, LinkCommand, LinkOptions, LinkRuntime, LinkSink, PeerLink,
    TlsIdentity,
};
use kwg_telemetry::HybridClock;
use kwg_wire::PeerBody;
use quinn::{Endpoint, EndpointConfig};

#[derive(Debug, Default)]
struct TestSink {
    bodies: Mutex<Vec<(InstanceName, PeerBody)>>,
    faults: Mutex<Vec<&'static str>>,
}

impl LinkSink for TestSink {
    fn deliver(&self, from: InstanceName, body: PeerBody) {
        self.bodies.lock().expect("no panic").push((from, body));
    }

    fn record_fault(&self, reason: &'static str) {
        self.faults.lock().expect("no panic").push(reason);
    }
}

struct TestRouter {
    commands: Sender<LinkCommand>,
    sink: Arc<TestSink>,
}

fn name(text: &str) -> InstanceName {
    InstanceName::new(text).expect("valid")
}

fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port is free")
}

/// A temporary directory with an authority and keys for two routers, removed on drop.
struct KeyDir(PathBuf);

impl KeyDir {
    fn new(test: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("kwg-links-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("writable");
        let key_dir = Self(dir);
        let authority = FleetAuthority::generate().expect("keys can be made");
        key_dir.write("fleet.crt", authority.certificate());
        for router in ["r1", "r2"] {
            let issued = authority.issue(router).expect("keys can be made");
            key_dir.write(&format!("{router}.crt"), &issued.certificate);
            key_dir.write(&format!("{router}.key"), &issued.key);
        }
        key_dir
    }

    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.0.join(file), text).expect("writable");
    }

    fn path(&self, file: String) -> PathBuf {
        Path::join(&self.0, file)
    }

    /// Starts the links of a router named `own` that presents the certificate of `keys`.
    fn start(&self, own: &str, keys: &str, incarnation: u64, address: SocketAddr) -> TestRouter {
        let identity = TlsIdentity::load(IdentityFiles {
            authority: &self.path("fleet.crt".to_owned()),
            certificate: &self.path(format!("{keys}.crt")),
            key: &self.path(format!("{keys}.key")),
        });
        let options = LinkOptions {
            instance: name(own),
            incarnation,
            address,
            identity: identity.expect("valid keys"),
            clock: ClockHandle::system(),
            hybrid_clock: HybridClock::default(),
            backlog: 64,
        };
        let (sink, executor) = (Arc::new(TestSink::default()), Arc::new(Executor::new()));
        let (commands, receiver) = bounded(100);
        let (link_sink, sender) = (Arc::clone(&sink), commands.clone());
        let link = PeerLink::bind(options, Arc::clone(&executor), sender, link_sink).expect("free");
        thread::spawn(move || block_on(executor.run(link.run(receiver))));
        TestRouter { commands, sink }
    }
}

impl Drop for KeyDir {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

impl TestRouter {
    fn set_address(&self, router: &str, address: SocketAddr) {
        let addresses = HashMap::from([(name(router), address)]);
        self.commands.try_send(LinkCommand::Addresses(addresses)).expect("has capacity");
    }

    fn send(&self, to: &str) {
        let body = PeerBody::Control(ControlMessage::TablePull);
        self.commands.try_send(LinkCommand::Send { to: name(to), body }).expect("has capacity");
    }

    /// Waits until `count` messages have been delivered, calling `again` meanwhile to resend them,
    /// as the cores do.
    fn wait_for(&self, count: usize, mut again: impl FnMut()) {
        let start = Instant::now();
        while self.sink.bodies.lock().expect("no panic").len() < count {
            assert!(start.elapsed() < Duration::from_secs(30), "no message was delivered");
            again();
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn has_fault(&self, reason: &str) -> bool {
        self.sink.faults.lock().expect("no panic").contains(&reason)
    }
}

#[test]
fn messages_are_delivered_with_their_sender() {
    let key_dir = KeyDir::new("arrive");
    let (one, two) = (free_address(), free_address());
    let (first, second) = (key_dir.start("r1", "r1", 1, one), key_dir.start("r2", "r2", 1, two));
    first.set_address("r2", two);
    second.wait_for(1, || first.send("r2"));
    let bodies = second.sink.bodies.lock().expect("no panic");
    assert_eq!(bodies[0], (name("r1"), PeerBody::Control(ControlMessage::TablePull)));
}

#[test]
fn a_router_with_another_routers_certificate_is_rejected() {
    let key_dir = KeyDir::new("impostor");
    let (one, two) = (free_address(), free_address());
    let (first, second) = (key_dir.start("r1", "r2", 1, one), key_dir.start("r2", "r2", 1, two));
    first.set_address("r2", two);
    let start = Instant::now();
    while !second.has_fault("impostor") {
        assert!(start.elapsed() < Duration::from_secs(30), "the impostor was not rejected");
        first.send("r2");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(second.sink.bodies.lock().expect("no panic").is_empty());
}

#[test]
fn a_router_of_another_fleet_cannot_connect() {
    let (key_dir, other) = (KeyDir::new("fleet-a"), KeyDir::new("fleet-b"));
    let (one, two) = (free_address(), free_address());
    let (first, second) = (other.start("r1", "r1", 1, one), key_dir.start("r2", "r2", 1, two));
    first.set_address("r2", two);
    let start = Instant::now();
    while !first.has_fault("connect") {
        assert!(start.elapsed() < Duration::from_secs(30), "the handshake did not fail");
        first.send("r2");
        thread::sleep(Duration::from_millis(50));
    }
    assert!(second.sink.bodies.lock().expect("no panic").is_empty());
}

#[test]
fn a_message_to_a_router_without_an_address_is_counted() {
    let key_dir = KeyDir::new("no-address");
    let first = key_dir.start("r1", "r1", 1, free_address());
    first.send("r2");
    let start = Instant::now();
    while !first.has_fault("no-address") {
        assert!(start.elapsed() < Duration::from_secs(30));
        thread::sleep(Duration::from_millis(10));
    }
}

/// A peer with a valid certificate sends bytes that do not decode as a frame.
#[test]
fn a_malformed_frame_closes_the_link_and_is_counted() {
    let key_dir = KeyDir::new("garbage");
    let address = free_address();
    let victim = key_dir.start("r2", "r2", 1, address);
    let identity = TlsIdentity::load(IdentityFiles {
        authority: &key_dir.path("fleet.crt".to_owned()),
        certificate: &key_dir.path("r1.crt".to_owned()),
        key: &key_dir.path("r1.key".to_owned()),
    });
    let executor = Arc::new(Executor::new());
    let runtime = Arc::new(LinkRuntime::new(Arc::clone(&executor)));
    let socket = UdpSocket::bind(free_address()).expect("a port is free");
    let endpoint = Endpoint::new(EndpointConfig::default(), None, socket, runtime);
    let mut endpoint = endpoint.expect("a valid endpoint");
    endpoint.set_default_client_config(identity.expect("valid keys").client_config());
    let closed = block_on(executor.run(async {
        let connection = endpoint.connect(address, "r2").expect("a valid name").await;
        let connection = connection.expect("the keys are valid");
        let mut stream = connection.open_uni().await.expect("open");
        stream.write_all(&[3, 0, 0, 0, 0xff, 0xff, 0xff]).await.expect("the peer reads");
        connection.closed().await
    }));
    assert!(closed.to_string().contains("malformed-frame"), "{closed}");
    assert!(victim.has_fault("malformed-frame"));
    assert!(victim.sink.bodies.lock().expect("no panic").is_empty());
}
