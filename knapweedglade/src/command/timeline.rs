use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use async_io::block_on;
use kwg_clock::ClockHandle;
use kwg_http::CallClient;
use kwg_store::ObjectClient;
use kwg_telemetry::Timeline;
use snafu::ResultExt;

use crate::arguments::Arguments;
use crate::command_error::{CommandError, FileSnafu, LineSnafu, PlatformSnafu, usage};

/// Time limit for a call to the object store.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Prefix of the objects in which routers archive their events.
const EVENT_PREFIX: &str = "events/";

const HELP: &str = "\
Merge the events of all processes in an order that places every cause before its effects,
even if the clocks of the machines differ.

USAGE: knapweedglade timeline [--objects ADDRESS] [--match TEXT]... [FILE]...

OPTIONS:
  --objects ADDRESS   read the events that routers archived in the object store
  --match TEXT        only events that contain TEXT, for instance a ticket
  FILE                log files
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.has_help_flag() {
        print!("{HELP}");
        return Ok(());
    }
    let objects: Option<SocketAddr> = arguments.optional("--objects")?;
    let mut filters: Vec<String> = Vec::new();
    while let Some(text) = arguments.optional("--match")? {
        filters.push(text);
    }
    let files = arguments.files()?;
    if files.is_empty() && objects.is_none() {
        return usage("nothing to merge: name log files, or give --objects");
    }
    let mut timeline = Timeline::default();
    files.iter().try_for_each(|file| add_file(&mut timeline, file))?;
    if let Some(address) = objects {
        block_on(add_archive(&mut timeline, address))?;
    }
    filters.iter().for_each(|text| timeline.retain_matching(text));
    print!("{timeline}");
    Ok(())
}

fn add_file(timeline: &mut Timeline, path: &PathBuf) -> Result<(), CommandError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).context(FileSnafu { path: &shown })?;
    add_text(timeline, &shown, &text)
}

fn add_text(timeline: &mut Timeline, origin: &str, text: &str) -> Result<(), CommandError> {
    text.lines().try_for_each(|event| timeline.add(event).context(LineSnafu { path: origin }))
}

async fn add_archive(timeline: &mut Timeline, address: SocketAddr) -> Result<(), CommandError> {
    let client = CallClient::new(address, CALL_TIMEOUT, ClockHandle::system());
    let objects = ObjectClient::new(client);
    for key in objects.list(EVENT_PREFIX).await.context(PlatformSnafu)? {
        let bytes = objects.get(&key).await.context(PlatformSnafu)?;
        add_text(timeline, &key, &String::from_utf8_lossy(&bytes))?;
    }
    Ok(())
}
