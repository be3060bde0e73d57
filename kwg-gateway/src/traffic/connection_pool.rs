use std::collections::HashMap;
use std::time::Duration;

use kwg_gate::TargetKey;
use kwg_model::MonoTime;

use super::carried_requests::CarriedRequests;
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
    carried: CarriedRequests,
    since: MonoTime,
    /// Idle time after which the connection is not reused.
    limit: Duration,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is open, within its time limit, and has not carried an
    /// attempt of the same request. Closed or expired ones before it are dropped.
    ///
    /// For a request that must not be repeated, an open connection that has been idle for longer
    /// than [`FRESH_AGE`] or its time limit ends the search and stays in the pool.
    pub(crate) fn take(
        &mut self,
        target: TargetKey,
        request_id: &str,
        is_retryable: bool,
        now: MonoTime,
    ) -> Option<(ByteSocket, CarriedRequests)> {
        let idle = self.idle.get_mut(&target)?;
        for index in (0..idle.len()).rev() {
            let connection = &idle[index];
            let age = now.since(connection.since);
            if connection.carried.contains(request_id) && age < connection.limit {
                continue;
            }
            let is_quiet = connection.socket.is_quiet();
            if !is_retryable && age > FRESH_AGE.min(connection.limit) && is_quiet {
                return None;
            }
            let connection = idle.remove(index);
            if age < connection.limit && is_quiet {
                return Some((connection.socket, connection.carried));
            }
        }
        None
    }

    /// Adds a connection that has carried a complete answer. A full pool closes its oldest one; a connection that
    /// has carried many requests is closed.
    pub(crate) fn put(
        &mut self,
        target: TargetKey,
        (socket, carried): (ByteSocket, CarriedRequests),
        idle_timeout: Option<Duration>,
        now: MonoTime,
    ) {
        if carried.is_full() {
            return;
        }
        let limit =
            idle_timeout.map_or(DEFAULT_IDLE, |timeout| timeout.mul_f64(SAFE_IDLE_FRACTION));
        let idle = self.idle.entry(target).or_default();
        if idle.len() >= MAX_IDLE {
            idle.remove(0);
        }
        idle.push(IdleConnection { socket, carried, since: now, limit });
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

#[cfg(test)]
#[path = "../../tests/unit/connection_pool.rs"]
mod tests;
