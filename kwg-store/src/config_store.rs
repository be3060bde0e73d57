use std::collections::BTreeSet;
use std::time::Duration;

use kwg_clock::ClockHandle;
use kwg_model::{MovePhase, PoolName, PoolRow, RouteRow, TableDelta, TableSet, VersionMove};
use serde::{Deserialize, Serialize};
use serde_json::{Value, to_value};
use snafu::ResultExt;

use crate::platform_error::RowSnafu;
use crate::{PlatformError, RowCheck, RowList, RowWrite, TableClient, TxnOutcome, TxnRequest};

/// Table that holds the routes, the pools, the revision and the recent changes.
const CONFIG_TABLE: &str = "config";
const META_KEY: &str = "meta";
const ROUTE_PREFIX: &str = "route/";
const POOL_PREFIX: &str = "pool/";
const CHANGE_PREFIX: &str = "change/";
/// How many revisions a change row is kept, so that an edit whose reply was lost can be looked up.
const CHANGE_RETENTION: u64 = 200;
/// Maximum number of attempts to commit an edit.
const COMMIT_ATTEMPTS: u32 = 5;
/// Pause between two attempts.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Reads and edits the route and pool tables, which share one revision in the table service.
///
/// An edit is one transaction that checks and updates the row of the revision, so that only one of
/// two concurrent edits is accepted. It also writes a change row of its own, which shows whether
/// the edit was accepted if the reply is lost.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    client: TableClient,
    clock: ClockHandle,
}

/// The tables as read, with the state that an edit based on them needs.
#[derive(Debug, Clone, PartialEq)]
pub struct TableSnapshot {
    /// The tables.
    pub tables: TableSet,
    meta_version: u64,
    /// Ids of the edits that still have a change row.
    change_ids: BTreeSet<String>,
    /// Keys of change rows that are older than the retention, which the next edit removes.
    expired: Vec<String>,
}

/// Metadata of an edit.
#[derive(Debug, Clone)]
pub struct EditRequest {
    /// Unique among all edits.
    pub change_id: String,
    /// Who makes the edit.
    pub editor: String,
    /// When it is made, in milliseconds since the Unix epoch.
    pub edited_at_ms: u64,
}

/// Outcome of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// The edit was accepted.
    Accepted {
        /// The revision that it created.
        revision: u64,
    },
    /// Another edit was accepted first; nothing was changed.
    Conflict {
        /// The current revision.
        revision: u64,
        /// Who made it.
        editor: String,
        /// When it was made, in milliseconds since the Unix epoch.
        edited_at_ms: u64,
    },
    /// No attempt gave a usable reply; the edit may or may not have been accepted.
    Unknown {
        /// The last error.
        reason: String,
    },
}

#[derive(Debug, Serialize, Deserialize)]
struct MetaRow {
    revision: u64,
    change_id: String,
    editor: String,
    edited_at_ms: u64,
}

impl ConfigStore {
    /// Creates a store on a client of the table service.
    #[must_use]
    pub fn new(client: TableClient, clock: ClockHandle) -> Self {
        Self { client, clock }
    }

    /// Reads both tables in one consistent snapshot.
    ///
    /// # Errors
    /// [`PlatformError`] if the call fails, the status is not 200, or the reply or a row does not
    /// decode.
    pub async fn read(&self) -> Result<TableSnapshot, PlatformError> {
        decode_snapshot(self.client.rows(CONFIG_TABLE).await?)
    }

    /// Replaces the tables in `base` with `tables`, unless they have been edited since.
    ///
    /// # Errors
    /// [`PlatformError::Row`] if a row does not encode, in which case nothing was sent. If every
    /// attempt fails, the result is not an error but [`EditOutcome::Unknown`].
    pub async fn edit(
        &self,
        base: &TableSnapshot,
        tables: TableSet,
        request: &EditRequest,
    ) -> Result<EditOutcome, PlatformError> {
        let revision = base.tables.revision + 1;
        let txn = edit_txn(base, tables, request, revision)?;
        let mut reason = String::new();
        for _ in 0..COMMIT_ATTEMPTS {
            // Resending the same transaction is safe: it takes effect at most once, because it
            // changes the revision that it checks.
            match self.client.commit(&txn).await {
                Ok(TxnOutcome::Committed) => return Ok(EditOutcome::Accepted { revision }),
                Ok(TxnOutcome::Conflict) => match self.read().await {
                    Ok(snapshot) => return Ok(resolve_outcome(&snapshot, request, revision)),
                    Err(error) => reason = error.to_string(),
                },
                Err(error) => reason = error.to_string(),
            }
            self.clock.sleep(COMMIT_RETRY_DELAY).await;
        }
        Ok(EditOutcome::Unknown { reason })
    }
}

impl TableSnapshot {
    /// Returns the tables with a pool's version move changed from `from` to `to`, or `None` if the
    /// current move is not `from`.
    ///
    /// If `to` is done, the pool and all its targets get the new version.
    #[must_use]
    pub fn replace_move(
        &self,
        pool: &PoolName,
        from: &VersionMove,
        to: &VersionMove,
    ) -> Option<TableSet> {
        let mut tables = self.tables.clone();
        let row = tables.pools.get_mut(pool)?;
        if row.version_move.as_ref() != Some(from) {
            return None;
        }
        if to.phase == MovePhase::Done {
            row.version = to.to.clone();
            row.targets.iter_mut().for_each(|target| target.version = to.to.clone());
        }
        row.version_move = Some(to.clone());
        Some(tables)
    }
}

/// Determines from freshly read tables whether an edit sent earlier was accepted.
fn resolve_outcome(snapshot: &TableSnapshot, request: &EditRequest, revision: u64) -> EditOutcome {
    if snapshot.change_ids.contains(&request.change_id) {
        return EditOutcome::Accepted { revision };
    }
    let TableSet { revision, editor, edited_at_ms, .. } = &snapshot.tables;
    EditOutcome::Conflict {
        revision: *revision,
        editor: editor.clone(),
        edited_at_ms: *edited_at_ms,
    }
}

fn edit_txn(
    base: &TableSnapshot,
    tables: TableSet,
    request: &EditRequest,
    revision: u64,
) -> Result<TxnRequest, PlatformError> {
    let EditRequest { change_id, editor, edited_at_ms } = request;
    let (change_id, editor, edited_at_ms) = (change_id.clone(), editor.clone(), *edited_at_ms);
    let delta = TableDelta::between(&base.tables, &tables);
    let change_key = format!("{CHANGE_PREFIX}{change_id}");
    let meta = MetaRow { revision, change_id, editor, edited_at_ms };
    let meta = encode(META_KEY, &meta)?;
    let mut writes = vec![write(META_KEY, Some(meta)), write(&change_key, Some(revision.into()))];
    for (name, row) in &delta.routes {
        let key = format!("{ROUTE_PREFIX}{name}");
        let value = row.as_ref().map(|row| encode(&key, row)).transpose()?;
        writes.push(write(&key, value));
    }
    for (name, row) in &delta.pools {
        let key = format!("{POOL_PREFIX}{name}");
        let value = row.as_ref().map(|row| encode(&key, row)).transpose()?;
        writes.push(write(&key, value));
    }
    let check = RowCheck {
        table: CONFIG_TABLE.to_owned(),
        key: META_KEY.to_owned(),
        version: base.meta_version,
    };
    writes.extend(base.expired.iter().map(|key| write(key, None)));
    Ok(TxnRequest { checks: vec![check], writes })
}

fn encode(key: &str, row: &impl Serialize) -> Result<Value, PlatformError> {
    to_value(row).context(RowSnafu { key })
}

fn write(key: &str, value: Option<Value>) -> RowWrite {
    RowWrite { table: CONFIG_TABLE.to_owned(), key: key.to_owned(), value }
}

fn decode<R: for<'de> Deserialize<'de>>(key: &str, value: Value) -> Result<R, PlatformError> {
    serde_json::from_value(value).context(RowSnafu { key })
}

fn decode_snapshot(list: RowList) -> Result<TableSnapshot, PlatformError> {
    let mut tables = TableSet::default();
    let (mut meta_version, mut change_ids, mut change_rows) = (0, BTreeSet::new(), Vec::new());
    for row in list.rows {
        if row.key == META_KEY {
            let meta: MetaRow = decode(&row.key, row.value)?;
            meta_version = row.version;
            tables.revision = meta.revision;
            tables.change_id = meta.change_id;
            tables.editor = meta.editor;
            tables.edited_at_ms = meta.edited_at_ms;
        } else if let Some(id) = row.key.strip_prefix(CHANGE_PREFIX) {
            change_ids.insert(id.to_owned());
            change_rows.push((row.value.as_u64().unwrap_or(0), row.key));
        } else if row.key.starts_with(ROUTE_PREFIX) {
            let route: RouteRow = decode(&row.key, row.value)?;
            tables.routes.insert(route.name.clone(), route);
        } else if row.key.starts_with(POOL_PREFIX) {
            let pool: PoolRow = decode(&row.key, row.value)?;
            tables.pools.insert(pool.name.clone(), pool);
        }
    }
    let oldest_kept = tables.revision.saturating_sub(CHANGE_RETENTION);
    let expired = change_rows.into_iter().filter(|(revision, _)| *revision < oldest_kept);
    let expired = expired.map(|(_, key)| key).collect();
    Ok(TableSnapshot { tables, meta_version, change_ids, expired })
}
