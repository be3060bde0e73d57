use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use kwg_gate::{AttemptEvidence, TargetKey};
use kwg_model::MonoTime;

use super::attempt_guard::AttemptGuard;
use super::carried_requests::CarriedRequests;
use super::traffic_state::TrafficState;
use crate::socket::ByteSocket;

/// Time limit for connecting to a target: ten round trips between regions. Another target serves the
/// request sooner than a lost packet is sent again, which takes a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// A slot at a target and a connection to it. The drop releases the slot.
#[derive(Debug)]
pub(crate) struct TargetLink {
    pub(crate) target: TargetKey,
    pub(crate) guard: AttemptGuard,
    pub(crate) socket: ByteSocket,
    /// The requests that the connection carries, this one included.
    pub(crate) carried: CarriedRequests,
    /// Whether the connection has carried a request before.
    pub(crate) is_reused: bool,
    /// When the slot was taken.
    pub(crate) since: MonoTime,
}

impl TargetLink {
    /// Takes a slot of the target, and an idle connection that may carry the request, or opens a
    /// new one. None carries two attempts of the same request.
    pub(crate) async fn open(
        state: &Rc<TrafficState>,
        target: TargetKey,
        request_id: &str,
        prompt_tokens: u64,
        is_retryable: bool,
    ) -> Result<Self, AttemptEvidence> {
        let guard = AttemptGuard::new(state, target, prompt_tokens);
        let since = state.clock.now();
        let idle_socket = state.pool.borrow_mut().take(target, request_id, is_retryable, since);
        let idle = state.pool.borrow().count(target);
        state.core.borrow_mut().targets_mut().record_idle_connections(target, idle);
        if let Some((socket, mut carried)) = idle_socket {
            carried.record(request_id);
            return Ok(Self { target, guard, socket, carried, is_reused: true, since });
        }
        let address = state.core.borrow().targets().entry(target).map(|entry| entry.address);
        let address = address.ok_or(AttemptEvidence::NotSent)?;
        state.metrics.record_connect();
        let socket = ByteSocket::connect(address, CONNECT_LIMIT).await.map_err(|error| {
            log::debug!("event=connect-failed address={address} error={error}");
            if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) {
                let now = state.clock.now();
                state.core.borrow_mut().targets_mut().record_break(target, now);
            }
            AttemptEvidence::NotSent
        })?;
        let mut carried = CarriedRequests::default();
        carried.record(request_id);
        Ok(Self { target, guard, socket, carried, is_reused: false, since })
    }

    /// Releases the slot and keeps the connection in the pool.
    pub(crate) fn keep(self, state: &TrafficState, idle_timeout: Option<Duration>) {
        let Self { target, guard, socket, carried, .. } = self;
        drop(guard);
        let mut pool = state.pool.borrow_mut();
        pool.put(target, (socket, carried), idle_timeout, state.clock.now());
        let idle = pool.count(target);
        state.core.borrow_mut().targets_mut().record_idle_connections(target, idle);
    }
}
