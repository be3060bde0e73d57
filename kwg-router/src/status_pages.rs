use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use kwg_flow::ControlCore;
use kwg_front::AdminPages;

use crate::router_pipes::RouterPipes;

/// Serves the admin endpoints from the control core and the metrics.
pub(crate) struct StatusPages {
    pub(crate) core: Rc<RefCell<ControlCore>>,
    pub(crate) pipes: RouterPipes,
}

impl AdminPages for StatusPages {
    fn is_ready(&self) -> bool {
        self.pipes.ready.load(Ordering::Relaxed)
    }

    fn metrics(&self) -> String {
        self.pipes.metrics.render()
    }

    fn status(&self) -> String {
        serde_json::to_string(&self.core.borrow().status())
            .expect("a struct of names and numbers serializes")
    }
}
