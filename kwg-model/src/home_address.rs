use std::fmt;

use serde::{Deserialize, Serialize};

use crate::InstanceName;

/// Address of one traffic core in one run of a router instance.
///
/// The incarnation is drawn at random at each start, so that a restarted instance has a different
/// address: it has no record of what the previous run decided.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HomeAddress {
    /// The router instance.
    pub instance: InstanceName,
    /// The random number of this run of the instance.
    pub incarnation: u64,
    /// The index of the traffic core within the process.
    pub shard: u16,
}

impl fmt::Display for HomeAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}/{}", self.instance, self.incarnation, self.shard)
    }
}

impl fmt::Debug for HomeAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
