//! The subcommands, one module each.

pub(crate) mod check;
pub(crate) mod explain;
pub(crate) mod gateway;
pub(crate) mod keys;
pub(crate) mod router;
pub(crate) mod tables;
pub(crate) mod timeline;
