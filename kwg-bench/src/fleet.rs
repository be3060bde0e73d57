//! A small fleet of local processes: routers, and stand-ins for targets and the platform.

mod fleet_harness;
mod fleet_plan;
mod fleet_process;
mod free_port;
mod link_relay;
mod ticket_log;

pub use fleet_harness::FleetHarness;
pub use fleet_plan::FleetPlan;
pub use fleet_process::FleetProcess;
pub use ticket_log::TicketLog;
