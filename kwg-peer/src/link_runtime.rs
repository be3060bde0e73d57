use std::fmt;
use std::future::Future;
use std::io;
use std::net::UdpSocket;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Instant;

use async_executor::Executor;
use quinn::{AsyncTimer, AsyncUdpSocket, Runtime, SmolRuntime};

/// Runs QUIC tasks on a given executor, with async-io's timers and sockets.
#[derive(Clone)]
pub struct LinkRuntime(Arc<Executor<'static>>);

impl LinkRuntime {
    /// Creates a runtime that spawns tasks on `executor`.
    #[must_use]
    pub fn new(executor: Arc<Executor<'static>>) -> Self {
        Self(executor)
    }
}

impl fmt::Debug for LinkRuntime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkRuntime")
    }
}

impl Runtime for LinkRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.0.spawn(future).detach();
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}
