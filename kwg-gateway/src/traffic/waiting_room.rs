use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender, bounded};
use futures_lite::FutureExt;
use kwg_gate::{Admitted, GateSession, ServiceName, WaitTicket};
use kwg_model::MonoTime;
use rand::random;

use super::traffic_hub::TrafficHub;

/// Wakes requests that wait for room, in the order that the decisions' list gives.
#[derive(Debug, Default)]
pub(crate) struct WaitingRoom {
    calls: RefCell<HashMap<WaitTicket, Sender<()>>>,
}

/// A request's place in the list; it is given up when the request goes.
#[derive(Debug)]
struct WaitGuard<'a> {
    hub: &'a Rc<TrafficHub>,
    service: ServiceName,
    ticket: WaitTicket,
    called: Receiver<()>,
}

impl WaitingRoom {
    /// Waits until it is the request's turn to try, or until `limit`.
    pub(crate) async fn wait(
        hub: &Rc<TrafficHub>,
        session: &GateSession<Admitted>,
        limit: MonoTime,
    ) {
        let guard = WaitGuard::new(hub, session);
        let timeout = async {
            hub.clock.sleep_until(limit).await;
        };
        let called = async {
            if guard.called.recv().await.is_err() {
                log::debug!("event=wait-abandoned");
            }
        };
        called.or(timeout).await;
    }

    /// Lets up to `count` waiting requests of a service try again.
    pub(crate) fn call(hub: &TrafficHub, service: &ServiceName, count: u32) {
        for _ in 0..count {
            let mut core = hub.core.borrow_mut();
            let Some(ticket) = core.waiting().next(service, random()) else { return };
            // It enters anew if it finds no room.
            core.waiting_mut().leave(service, &ticket);
            if let Some(call) = hub.waiting_room.calls.borrow_mut().remove(&ticket)
                && call.try_send(()).is_err()
            {
                log::debug!("event=wait-already-called");
            }
        }
    }
}

impl<'a> WaitGuard<'a> {
    fn new(hub: &'a Rc<TrafficHub>, session: &GateSession<Admitted>) -> Self {
        let (call, called) = bounded(1);
        let service = session.service().clone();
        let arrived = session.facts().arrived;
        let ticket = hub.core.borrow_mut().waiting_mut().enter(&service, session.rank(), arrived);
        hub.waiting_room.calls.borrow_mut().insert(ticket, call);
        Self { hub, service, ticket, called }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.hub.core.borrow_mut().waiting_mut().leave(&self.service, &self.ticket);
        self.hub.waiting_room.calls.borrow_mut().remove(&self.ticket);
    }
}
