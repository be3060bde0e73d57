use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::SystemTime;

use log::{LevelFilter, Log, Metadata, Record};
use snafu::ResultExt;

use crate::LogError;
use crate::log_sink::{AlreadyInstalledSnafu, ThreadSnafu};

/// Capacity of the queue, in lines: about two seconds of the highest load.
const QUEUE_LINES: usize = 8_192;
/// Size at which a batch is written, in bytes.
const BATCH_BYTES: usize = 32 << 10;

/// A logger whose own thread writes to standard output.
///
/// Logging never blocks on the output: lines that exceed the queue are dropped, and their count
/// is logged with the next batch.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Installs the process-wide logger. `level` applies to the crates `kwg_gateway` and
    /// `kwg_telemetry`; other crates are logged from `warn` on.
    ///
    /// # Errors
    /// [`LogError`] if a logger is already installed or the thread cannot be spawned.
    pub fn install(level: LevelFilter) -> Result<(), LogError> {
        let (lines, queued) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let queue = Self { lines, dropped: Arc::clone(&dropped) };
        let writer = thread::Builder::new().name("kwg-log".to_owned());
        writer.spawn(move || write_lines(&queued, &dropped)).context(ThreadSnafu)?;
        fern::Dispatch::new()
            .format(|out, message, record| {
                let time = humantime::format_rfc3339_millis(SystemTime::now());
                let level = record.level().as_str().to_ascii_lowercase();
                out.finish(format_args!("time={time} level={level} {message}"));
            })
            .level(LevelFilter::Warn)
            .level_for("kwg_gateway", level)
            .level_for("kwg_telemetry", level)
            .chain(Box::new(queue) as Box<dyn Log>)
            .apply()
            .context(AlreadyInstalledSnafu)
    }
}

impl Log for LogQueue {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if self.lines.try_send(record.args().to_string()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn write_lines(queued: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = queued.recv() {
        let mut batch = first + "\n";
        while batch.len() < BATCH_BYTES
            && let Ok(line) = queued.try_recv()
        {
            batch.push_str(&line);
            batch.push('\n');
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.push_str(&format!("level=warn event=log-lines-dropped count={count}\n"));
        }
        // Standard output cannot be written: there is nowhere to report that.
        if output.write_all(batch.as_bytes()).is_err() {
            return;
        }
    }
}
