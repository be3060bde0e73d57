use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::block_on;
use http_types::{Method, StatusCode};
use kwg_clock::ClockHandle;
use kwg_http::CallClient;
use kwg_model::{InstanceKind, PoolName, PoolRow, TableSet, VersionMove, VersionName};
use kwg_settings::TableFiles;
use kwg_store::{
    ConfigStore, EditOutcome, EditRequest, InstanceClient, TableClient, TableSnapshot,
};
use kwg_telemetry::HybridClock;
use rand::random;
use snafu::ResultExt;

use crate::arguments::Arguments;
use crate::command_error::{
    CommandError, FileSnafu, IniSnafu, OutcomeUnknownSnafu, PlatformSnafu, SupersededSnafu, usage,
};

/// Time limit for a call to a service or a router.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

const HELP: &str = "\
Show and edit the two tables, routes and the pools that they name, and report their status.

USAGE: knapweedglade tables show   --tables ADDRESS [--dir DIR]
       knapweedglade tables put    --tables ADDRESS --routes FILE --pools FILE
                                   [--editor NAME] [--base REVISION]
       knapweedglade tables move   --tables ADDRESS --pool POOL --to VERSION --within-s N
                                   [--editor NAME]
       knapweedglade tables status --tables ADDRESS --instances ADDRESS

  show     print both tables, or write DIR/routes.ini and DIR/pools.ini
  put      replace both tables; with --base only if that revision is still current
  move     move a pool to another version by a deadline; the move is rolled back if the
           version proves bad or is not proved good by then
  status   the version moves, the accepted revision, and the state of each router

EXIT CODES: 4 if another edit was accepted first, 5 if the service did not answer
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.has_help_flag() {
        print!("{HELP}");
        return Ok(());
    }
    let command = arguments.subcommand()?;
    match command.as_deref() {
        Some("show") => show(arguments),
        Some("put") => put(arguments),
        Some("move") => start_move(arguments),
        Some("status") => status(arguments),
        _ => usage("unknown or missing subcommand: use 'show', 'put', 'move' or 'status'"),
    }
}

fn show(arguments: &mut Arguments) -> Result<(), CommandError> {
    let store = store(arguments.required("--tables")?);
    let dir: Option<PathBuf> = arguments.optional("--dir")?;
    arguments.finish()?;
    let tables = read(&store)?.tables;
    println!("# revision {} by '{}' at {}", tables.revision, tables.editor, edit_date(&tables));
    let (routes, pools) = (TableFiles::format_routes(&tables), TableFiles::format_pools(&tables));
    let Some(dir) = dir else {
        print!("# routes\n{routes}# pools\n{pools}");
        return Ok(());
    };
    for (name, text) in [("routes.ini", routes), ("pools.ini", pools)] {
        let path = dir.join(name);
        let shown = path.display().to_string();
        std::fs::write(&path, text).context(FileSnafu { path: &shown })?;
        println!("wrote {shown}");
    }
    Ok(())
}

fn put(arguments: &mut Arguments) -> Result<(), CommandError> {
    let store = store(arguments.required("--tables")?);
    let routes: PathBuf = arguments.required("--routes")?;
    let pools: PathBuf = arguments.required("--pools")?;
    let editor: Option<String> = arguments.optional("--editor")?;
    let base: Option<u64> = arguments.optional("--base")?;
    arguments.finish()?;
    let mut tables = TableFiles::load(routes, pools).context(IniSnafu)?;
    let snapshot = read(&store)?;
    // The files do not contain version moves; a pool that remains keeps its move.
    for (name, pool) in &mut tables.pools {
        let previous = snapshot.tables.pools.get(name);
        pool.version_move = previous.and_then(|previous| previous.version_move.clone());
    }
    if base.is_some_and(|base| base != snapshot.tables.revision) {
        return superseded(&snapshot.tables);
    }
    commit(&store, &snapshot, tables, editor)
}

fn start_move(arguments: &mut Arguments) -> Result<(), CommandError> {
    let store = store(arguments.required("--tables")?);
    let pool: PoolName = arguments.required("--pool")?;
    let to: VersionName = arguments.required("--to")?;
    let within_s: u64 = arguments.required("--within-s")?;
    let editor: Option<String> = arguments.optional("--editor")?;
    arguments.finish()?;
    if within_s == 0 {
        return usage("--within-s is 0, must be at least 1");
    }
    let snapshot = read(&store)?;
    let mut tables = snapshot.tables.clone();
    let Some(row) = tables.pools.get_mut(&pool) else {
        return usage(format!("unknown pool '{pool}'"));
    };
    if row.version == to {
        return usage(format!("pool '{pool}' already serves version '{to}'"));
    }
    if let Some(running) = row.version_move.as_ref().filter(|row| !row.has_ended()) {
        return usage(format!("pool '{pool}' is already being moved to '{}'", running.to));
    }
    let now = HybridClock::wall_millis();
    row.version_move = Some(VersionMove::stage(to, now, now + within_s * 1_000));
    commit(&store, &snapshot, tables, editor)
}

/// Commits an edit and prints its outcome.
fn commit(
    store: &ConfigStore,
    snapshot: &TableSnapshot,
    tables: TableSet,
    editor: Option<String>,
) -> Result<(), CommandError> {
    let editor = editor.or_else(|| std::env::var("USER").ok());
    let request = EditRequest {
        change_id: format!("{:016x}", random::<u64>()),
        editor: editor.unwrap_or_else(|| "unnamed".to_owned()),
        edited_at_ms: HybridClock::wall_millis(),
    };
    let outcome = block_on(store.edit(snapshot, tables, &request)).context(PlatformSnafu)?;
    match outcome {
        EditOutcome::Accepted { revision } => {
            println!("accepted as revision {revision}, change {}", request.change_id);
            Ok(())
        }
        EditOutcome::Conflict { revision, editor, edited_at_ms } => {
            superseded(&TableSet { revision, editor, edited_at_ms, ..TableSet::default() })
        }
        EditOutcome::Unknown { reason } => {
            OutcomeUnknownSnafu { change_id: request.change_id, reason }.fail()
        }
    }
}

fn status(arguments: &mut Arguments) -> Result<(), CommandError> {
    let store = store(arguments.required("--tables")?);
    let instances: SocketAddr = arguments.required("--instances")?;
    arguments.finish()?;
    let tables = read(&store)?.tables;
    println!(
        "accepted: revision {} by '{}' at {}",
        tables.revision,
        tables.editor,
        edit_date(&tables)
    );
    for pool in tables.pools.values() {
        if let Some(row) = &pool.version_move {
            println!("{}", move_line(pool, row));
        }
    }
    let list = InstanceClient::new(client(instances));
    let rows = block_on(list.read()).context(PlatformSnafu)?.rows;
    for row in rows.iter().filter(|row| row.kind == InstanceKind::Router) {
        let Some(admin) = row.admin else {
            println!("{}: the instance list has no admin address", row.name);
            continue;
        };
        match block_on(read_status(admin)) {
            Some(page) => println!("{}: {page}", row.name),
            None => println!("{}: no answer from {admin}", row.name),
        }
    }
    Ok(())
}

fn move_line(pool: &PoolRow, row: &VersionMove) -> String {
    let date =
        |millis: u64| humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(millis));
    let phase = format!("{:?}", row.phase).to_lowercase();
    let since = date(row.phase_since_ms);
    let (name, to, due) = (&pool.name, &row.to, date(row.due_ms));
    let line = format!("move of pool '{name}' to '{to}': {phase} since {since}, due {due}");
    match &row.verdict {
        Some(verdict) => format!("{line}; {} ({})", verdict.reason, verdict.evidence),
        None => line,
    }
}

async fn read_status(admin: SocketAddr) -> Option<String> {
    let client = client(admin);
    let request = client.request(Method::Get, "/status").ok()?;
    let reply = client.call(request).await.ok()?;
    (reply.status == StatusCode::Ok).then(|| String::from_utf8_lossy(&reply.body).into_owned())
}

fn superseded<T>(tables: &TableSet) -> Result<T, CommandError> {
    let (revision, editor) = (tables.revision, tables.editor.clone());
    SupersededSnafu { revision, editor, when: edit_date(tables) }.fail()
}

/// The time at which the tables were edited, in RFC 3339 format.
fn edit_date(tables: &TableSet) -> String {
    let at: SystemTime = UNIX_EPOCH + Duration::from_millis(tables.edited_at_ms);
    humantime::format_rfc3339_seconds(at).to_string()
}

fn client(address: SocketAddr) -> CallClient {
    CallClient::new(address, CALL_TIMEOUT, ClockHandle::system())
}

fn store(tables: SocketAddr) -> ConfigStore {
    ConfigStore::new(TableClient::new(client(tables)), ClockHandle::system())
}

fn read(store: &ConfigStore) -> Result<TableSnapshot, CommandError> {
    block_on(store.read()).context(PlatformSnafu)
}
