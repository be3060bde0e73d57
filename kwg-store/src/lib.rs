//! HTTP clients of the platform's services: the transactional table service, the object store and
//! the instance list, which lags behind the actual instances. The stores for configuration,
//! idempotency keys and the lease are built on the table service.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod config_store;
mod instance_client;
mod key_store;
mod lease_store;
mod object_client;
mod platform_error;
mod table_client;
mod table_row;

pub use config_store::{ConfigStore, EditOutcome, EditRequest, TableSnapshot};
pub use instance_client::{InstanceClient, InstanceList};
pub use key_store::KeyStore;
pub use lease_store::LeaseStore;
pub use object_client::ObjectClient;
pub use platform_error::PlatformError;
pub use table_client::{TableClient, TxnOutcome};
pub use table_row::{RowCheck, RowList, RowWrite, TableRow, TxnRequest};
