use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender, bounded};
use futures_lite::FutureExt;
use kwg_gate::{Admitted, GateCore, GateSession, QueuePosition, RegionBound, ServiceName};
use kwg_model::MonoTime;
use rand::random;

use super::traffic_state::TrafficState;

/// Suspends requests that wait for target capacity. The order in which they are woken comes from
/// the core's waiting list.
#[derive(Debug, Default)]
pub(crate) struct WaitNotifier {
    wakers: RefCell<HashMap<QueuePosition, WaitWaker>>,
}

/// Wakes a waiting request.
#[derive(Debug)]
struct WaitWaker {
    sender: Sender<()>,
    /// Where the request may run.
    regions: RegionBound,
}

/// A request's entry in the waiting list; dropping the guard removes it.
#[derive(Debug)]
struct WaitGuard<'a> {
    state: &'a Rc<TrafficState>,
    service: ServiceName,
    position: QueuePosition,
    woken: Receiver<()>,
}

impl WaitNotifier {
    /// Waits until the request is woken to try again, or until `limit`.
    pub(crate) async fn wait(
        state: &Rc<TrafficState>,
        session: &GateSession<Admitted>,
        limit: MonoTime,
    ) {
        let guard = WaitGuard::new(state, session);
        let timeout = async {
            state.clock.sleep_until(limit).await;
        };
        let woken = async {
            if guard.woken.recv().await.is_err() {
                log::debug!("event=wait-abandoned");
            }
        };
        woken.or(timeout).await;
    }

    /// Wakes up to `count` waiting requests of a service that have not run yet, and those that have
    /// and come before them. The latter may not use a slot at a target that they have tried, and one
    /// that finds no capacity must not keep the slot from the next request. Those that are bound to regions without a
    /// free slot are passed over.
    pub(crate) fn wake(state: &TrafficState, service: &ServiceName, count: u32) {
        let now = state.clock.now();
        let may_use = |core: &GateCore, waker: &WaitWaker| match waker.regions.names() {
            None => true,
            names => {
                let (targets, service) = (core.targets(), service.as_str());
                targets.free_slots_within(service, names, now) > 0
                    || targets.cold_room(service, names, now) > 0
            }
        };
        Self::wake_where(state, service, count, may_use);
    }

    fn wake_where(
        state: &TrafficState,
        service: &ServiceName,
        count: u32,
        may_use: impl Fn(&GateCore, &WaitWaker) -> bool,
    ) {
        // Few bounds differ, and there may be many requests with the same one.
        let mut known: Vec<(RegionBound, bool)> = Vec::new();
        {
            let core = state.core.borrow();
            for waker in state.wait_notifier.wakers.borrow().values() {
                if !known.iter().any(|(regions, _)| *regions == waker.regions) {
                    known.push((waker.regions.clone(), may_use(&core, waker)));
                }
            }
        }
        let can_use = |position: &QueuePosition| {
            let wakers = state.wait_notifier.wakers.borrow();
            wakers.get(position).is_none_or(|waker| {
                let of_bound = known.iter().find(|(regions, _)| *regions == waker.regions);
                of_bound.is_none_or(|(_, can_use)| *can_use)
            })
        };
        let mut woken = 0;
        while woken < count {
            let mut core = state.core.borrow_mut();
            let next = core.waiting().next_where(service, random(), can_use);
            let Some(position) = next else { return };
            // The request enters again if it finds no capacity.
            core.waiting_mut().leave(service, &position);
            woken += u32::from(position.is_first_run());
            if let Some(waker) = state.wait_notifier.wakers.borrow_mut().remove(&position)
                && waker.sender.try_send(()).is_err()
            {
                log::debug!("event=wait-already-called");
            }
        }
    }

    /// Wakes all waiting requests, because other limits of their wait apply.
    pub(crate) fn wake_all(state: &TrafficState) {
        let services: Vec<ServiceName> = {
            let core = state.core.borrow();
            core.waiting().counts().map(|(service, _)| service.clone()).collect()
        };
        services.iter().for_each(|service| Self::wake_where(state, service, u32::MAX, |_, _| true));
    }
}

impl<'a> WaitGuard<'a> {
    fn new(state: &'a Rc<TrafficState>, session: &GateSession<Admitted>) -> Self {
        let (sender, woken) = bounded(1);
        let waker = WaitWaker { sender, regions: session.regions().clone() };
        let service = session.service().clone();
        let position = session.enter_queue(state.core.borrow_mut().waiting_mut());
        state.wait_notifier.wakers.borrow_mut().insert(position, waker);
        Self { state, service, position, woken }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.state.core.borrow_mut().waiting_mut().leave(&self.service, &self.position);
        self.state.wait_notifier.wakers.borrow_mut().remove(&self.position);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/wait_notifier.rs"]
mod tests;
