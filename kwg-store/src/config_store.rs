use std::collections::BTreeSet;
use std::time::Duration;

use kwg_clock::ClockHandle;
use kwg_model::{MovePhase, PoolName, PoolRow, RouteRow, TableDelta, TableSet, VersionMove};
use serde::{Deserialize, Serialize};
use serde_json::{Value, to_value};
use snafu::ResultExt;

use crate::platform_error::RowSnafu;
use crate::{PlatformError, RowCheck, RowList, RowWrite, TableClient, TxnOutcome, TxnRequest};

/// The table that holds routes, pools, the revision and recent changes.
const CONFIG_TABLE: &str = "config";
const META_KEY: &str = "meta";
const ROUTE_PREFIX: &str = "route/";
const POOL_PREFIX: &str = "pool/";
const CHANGE_PREFIX: &str = "change/";
/// How many recent changes stay known, so that a lost answer can be settled.
const CHANGES_KEPT: u64 = 200;
/// How often a commit without an answer is sent again.
const COMMIT_TRIES: u32 = 5;
/// Waiting time between these tries.
const COMMIT_PAUSE: Duration = Duration::from_millis(300);

/// The two tables in the table service, under one revision.
///
/// An edit is one transaction on the row of the revision, so that of two racing ones only one
/// is accepted. It also writes a row of its own, by which a lost answer is settled.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    client: TableClient,
    clock: ClockHandle,
}

/// The tables as read, with what an edit of them needs.
#[derive(Debug, Clone, PartialEq)]
pub struct TableReading {
    /// The tables.
    pub tables: TableSet,
    meta_version: u64,
    changes: BTreeSet<String>,
    /// Keys of changes that are too old to be asked about.
    expired: Vec<String>,
}

/// An edit: the tables as they are to be, on top of what was read.
#[derive(Debug, Clone)]
pub struct EditRequest {
    /// Unique among all edits.
    pub change_id: String,
    /// Who edits.
    pub editor: String,
    /// When, in milliseconds since the Unix epoch.
    pub edited_at_ms: u64,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EditOutcome {
    /// It was accepted under this revision.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// Another edit was accepted first; nothing was changed.
    Lost {
        /// The revision in place.
        revision: u64,
        /// Who made it.
        editor: String,
        /// When, in milliseconds since the Unix epoch.
        edited_at_ms: u64,
    },
    /// The service did not answer; the edit may or may not be accepted.
    Unsettled {
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
    /// The tables behind a client of the table service.
    #[must_use]
    pub fn new(client: TableClient, clock: ClockHandle) -> Self {
        Self { client, clock }
    }

    /// Reads both tables at one moment.
    ///
    /// # Errors
    /// [`PlatformError`] without a whole reply, or if a row is not ours.
    pub async fn read(&self) -> Result<TableReading, PlatformError> {
        decode_reading(self.client.rows(CONFIG_TABLE).await?)
    }

    /// Replaces what was read by `tables`, unless somebody else was faster.
    ///
    /// # Errors
    /// [`PlatformError`] if nothing was sent or a row does not encode: then nothing changed.
    pub async fn edit(
        &self,
        base: &TableReading,
        tables: TableSet,
        request: &EditRequest,
    ) -> Result<EditOutcome, PlatformError> {
        let revision = base.tables.revision + 1;
        let txn = edit_txn(base, tables, request, revision)?;
        let mut reason = String::new();
        for _ in 0..COMMIT_TRIES {
            // Sending the same transaction again is safe: it takes effect at most once, since
            // it moves the revision that it checks.
            match self.client.commit(&txn).await {
                Ok(TxnOutcome::Committed) => return Ok(EditOutcome::Accepted { revision }),
                Ok(TxnOutcome::Conflict) => match self.read().await {
                    Ok(reading) => return Ok(settle(&reading, request, revision)),
                    Err(error) => reason = error.to_string(),
                },
                Err(error) => reason = error.to_string(),
            }
            self.clock.sleep(COMMIT_PAUSE).await;
        }
        Ok(EditOutcome::Unsettled { reason })
    }
}

impl TableReading {
    /// The tables with a pool's move replaced, `None` if the move is not as expected.
    ///
    /// A move that is done changes the pool's version and that of its targets.
    #[must_use]
    pub fn with_move(
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

/// Tells from the tables as they are whether this edit, sent earlier, is among the accepted.
fn settle(reading: &TableReading, request: &EditRequest, revision: u64) -> EditOutcome {
    if reading.changes.contains(&request.change_id) {
        return EditOutcome::Accepted { revision };
    }
    let TableSet { revision, editor, edited_at_ms, .. } = &reading.tables;
    EditOutcome::Lost { revision: *revision, editor: editor.clone(), edited_at_ms: *edited_at_ms }
}

fn edit_txn(
    base: &TableReading,
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

fn decode_reading(list: RowList) -> Result<TableReading, PlatformError> {
    let mut tables = TableSet::default();
    let (mut meta_version, mut changes, mut dated) = (0, BTreeSet::new(), Vec::new());
    for row in list.rows {
        if row.key == META_KEY {
            let meta: MetaRow = decode(&row.key, row.value)?;
            meta_version = row.version;
            tables.revision = meta.revision;
            tables.change_id = meta.change_id;
            tables.editor = meta.editor;
            tables.edited_at_ms = meta.edited_at_ms;
        } else if let Some(id) = row.key.strip_prefix(CHANGE_PREFIX) {
            changes.insert(id.to_owned());
            dated.push((row.value.as_u64().unwrap_or(0), row.key));
        } else if row.key.starts_with(ROUTE_PREFIX) {
            let route: RouteRow = decode(&row.key, row.value)?;
            tables.routes.insert(route.name.clone(), route);
        } else if row.key.starts_with(POOL_PREFIX) {
            let pool: PoolRow = decode(&row.key, row.value)?;
            tables.pools.insert(pool.name.clone(), pool);
        }
    }
    let oldest_kept = tables.revision.saturating_sub(CHANGES_KEPT);
    let expired = dated.into_iter().filter(|(revision, _)| *revision < oldest_kept);
    let expired = expired.map(|(_, key)| key).collect();
    Ok(TableReading { tables, meta_version, changes, expired })
}
