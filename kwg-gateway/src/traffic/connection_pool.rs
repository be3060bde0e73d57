use std::collections::HashMap;
use std::time::Duration;

use kwg_gate::TargetKey;
use kwg_model::MonoTime;

use crate::socket::ByteSocket;

/// Fraction of a target's idle timeout within which a connection is reused.
const SAFE_IDLE_FRACTION: f64 = 0.7;
/// Idle time limit of a connection if the target states no timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Idle time up to which a connection may carry a request that must not be repeated. It has
/// carried an answer so recently that it can be assumed open.
const FRESH_AGE: Duration = Duration::from_millis(1_500);
/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 24;

/// Idle connections to targets, reused most recent first.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<TargetKey, Vec<IdleConnection>>,
}

#[derive(Debug)]
struct IdleConnection {
    socket: ByteSocket,
    since: MonoTime,
    /// Idle time after which the connection is not reused.
    limit: Duration,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is open and within its time limit. Closed or
    /// expired ones before it are dropped.
    ///
    /// For a request that must not be repeated, an open connection that has been idle for longer
    /// than [`FRESH_AGE`] or its time limit ends the search and stays in the pool.
    pub(crate) fn take(
        &mut self,
        target: TargetKey,
        is_retryable: bool,
        now: MonoTime,
    ) -> Option<ByteSocket> {
        let idle = self.idle.get_mut(&target)?;
        while let Some(connection) = idle.pop() {
            let age = now.since(connection.since);
            if !is_retryable
                && age > FRESH_AGE.min(connection.limit)
                && connection.socket.is_quiet()
            {
                idle.push(connection);
                return None;
            }
            if age < connection.limit && connection.socket.is_quiet() {
                return Some(connection.socket);
            }
        }
        None
    }

    /// Adds a connection that has carried a complete answer. A full pool closes its oldest one.
    pub(crate) fn put(
        &mut self,
        target: TargetKey,
        socket: ByteSocket,
        idle_timeout: Option<Duration>,
        now: MonoTime,
    ) {
        let limit =
            idle_timeout.map_or(DEFAULT_IDLE, |timeout| timeout.mul_f64(SAFE_IDLE_FRACTION));
        let idle = self.idle.entry(target).or_default();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(IdleConnection { socket, since: now, limit });
    }

    /// The number of idle connections to a target.
    pub(crate) fn count(&self, target: TargetKey) -> usize {
        self.idle.get(&target).map_or(0, Vec::len)
    }

    /// Closes the connections to a removed target.
    pub(crate) fn remove_target(&mut self, target: TargetKey) {
        self.idle.remove(&target);
    }

    /// Closes connections whose idle time limit has passed.
    pub(crate) fn close_expired(&mut self, now: MonoTime) {
        for idle in self.idle.values_mut() {
            idle.retain(|connection| now.since(connection.since) < connection.limit);
        }
    }
}
