use std::collections::HashMap;
use std::time::Duration;

use kwg_gate::TargetKey;
use kwg_model::MonoTime;

use crate::socket::ByteSocket;

/// Part of a target's idle timeout during which a connection is used again.
const SAFE_PART: f64 = 0.7;
/// Idle time after which a connection is dropped if the target states no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Idle time up to which a connection may carry a request that must not be repeated: it has
/// carried an answer a moment ago, so it is alive.
const FRESH: Duration = Duration::from_millis(1_500);
/// Most idle connections that are kept to one target.
const MAX_IDLE: usize = 24;

/// Kept connections to targets, the newest first.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<TargetKey, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    socket: ByteSocket,
    since: MonoTime,
    limit: Duration,
}

impl ConnectionPool {
    /// Takes a connection that is fit for use. Those that are not are closed.
    pub(crate) fn take(
        &mut self,
        target: TargetKey,
        is_repeatable: bool,
        now: MonoTime,
    ) -> Option<ByteSocket> {
        let idle = self.idle.get_mut(&target)?;
        while let Some(connection) = idle.pop() {
            let age = now.since(connection.since);
            if !is_repeatable && age > FRESH.min(connection.limit) && connection.socket.is_quiet() {
                idle.push(connection);
                return None;
            }
            if age < connection.limit && connection.socket.is_quiet() {
                return Some(connection.socket);
            }
        }
        None
    }

    /// Keeps a connection that has carried a whole answer.
    pub(crate) fn put(
        &mut self,
        target: TargetKey,
        socket: ByteSocket,
        idle_timeout: Option<Duration>,
        now: MonoTime,
    ) {
        let limit = idle_timeout.map_or(DEFAULT_IDLE, |timeout| timeout.mul_f64(SAFE_PART));
        let idle = self.idle.entry(target).or_default();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(IdleConnection { socket, since: now, limit });
    }

    /// How many connections to a target are idle.
    pub(crate) fn count(&self, target: TargetKey) -> usize {
        self.idle.get(&target).map_or(0, Vec::len)
    }

    /// Closes the connections to a target that is gone.
    pub(crate) fn forget(&mut self, target: TargetKey) {
        self.idle.remove(&target);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&mut self, now: MonoTime) {
        for idle in self.idle.values_mut() {
            idle.retain(|connection| now.since(connection.since) < connection.limit);
        }
    }
}
