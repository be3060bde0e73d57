use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use async_io::block_on;
use kwg_clock::ClockHandle;
use kwg_http::CallClient;
use kwg_store::ObjectClient;
use kwg_telemetry::TimeLine;
use snafu::ResultExt;

use crate::arguments::Arguments;
use crate::command_error::{CommandError, FileSnafu, LineSnafu, PlatformSnafu, usage};

/// How long one call to the object store may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Where routers archive their events.
const EVENT_PREFIX: &str = "events/";

const HELP: &str = "\
Merge the events of all processes into one order that keeps every cause before its effects,
though the clocks of the machines differ.

USAGE: knapweedglade timeline [--objects ADDRESS] [--match TEXT]... [FILE]...

OPTIONS:
  --objects ADDRESS   read the events that routers archived in the object store
  --match TEXT        only events that contain TEXT, for instance a ticket
  FILE                log files
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.wants_help() {
        print!("{HELP}");
        return Ok(());
    }
    let objects: Option<SocketAddr> = arguments.optional("--objects")?;
    let mut wanted: Vec<String> = Vec::new();
    while let Some(text) = arguments.optional("--match")? {
        wanted.push(text);
    }
    let files = arguments.files()?;
    if files.is_empty() && objects.is_none() {
        return usage("nothing to merge: name log files, or give --objects");
    }
    let mut line = TimeLine::default();
    files.iter().try_for_each(|file| add_file(&mut line, file))?;
    if let Some(address) = objects {
        block_on(add_archive(&mut line, address))?;
    }
    wanted.iter().for_each(|text| line.retain_matching(text));
    print!("{line}");
    Ok(())
}

fn add_file(line: &mut TimeLine, path: &PathBuf) -> Result<(), CommandError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).context(FileSnafu { path: &shown })?;
    add_text(line, &shown, &text)
}

fn add_text(line: &mut TimeLine, origin: &str, text: &str) -> Result<(), CommandError> {
    text.lines().try_for_each(|event| line.add(event).context(LineSnafu { path: origin }))
}

async fn add_archive(line: &mut TimeLine, address: SocketAddr) -> Result<(), CommandError> {
    let client = CallClient::new(address, CALL_TIMEOUT, ClockHandle::system());
    let objects = ObjectClient::new(client);
    for key in objects.list(EVENT_PREFIX).await.context(PlatformSnafu)? {
        let bytes = objects.get(&key).await.context(PlatformSnafu)?;
        add_text(line, &key, &String::from_utf8_lossy(&bytes))?;
    }
    Ok(())
}
