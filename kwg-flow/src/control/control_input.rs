use kwg_model::{HomeAddress, InstanceName, InstanceRow, TableSet};

use super::ControlMessage;

/// What comes into a control core.
#[derive(Debug)]
pub enum ControlInput {
    /// The tables as the platform has them; `None` if it did not answer.
    TablesRead(Option<TableSet>),
    /// The platform's instance list with its version; `None` if it did not answer.
    InstancesRead(Option<(u64, Vec<InstanceRow>)>),
    /// A message of another router.
    Peer {
        /// The sender.
        from: InstanceName,
        /// The message.
        message: ControlMessage,
    },
    /// A traffic core of this router carries on with another one's ledger.
    Inherited {
        /// The home whose ledger it was.
        home: HomeAddress,
        /// The core that has it now.
        successor: HomeAddress,
    },
    /// A graceful shutdown begins.
    Drain,
    /// Time has passed.
    Tick,
}
