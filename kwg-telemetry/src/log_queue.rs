use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::SystemTime;

use log::{LevelFilter, Log, Metadata, Record};
use snafu::ResultExt;

use crate::LogError;
use crate::log_sink::{ThreadSnafu, TwiceSnafu};

/// Lines that may wait for the writer, about two seconds of the worst load.
const LINES_WAITING: usize = 8_192;
/// Bytes that are written at once.
const BATCH_BYTES: usize = 32 << 10;

/// Logs that go to standard output by a thread of their own.
///
/// Whoever logs never waits for the output: lines beyond the queue are dropped, and the next
/// line that is written says how many.
#[derive(Debug)]
pub struct LogQueue {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Sets logging up for the whole process, from `level` on for this product's own lines.
    ///
    /// # Errors
    /// [`LogError`] if logging was set up before or the thread cannot be started.
    pub fn install(level: LevelFilter) -> Result<(), LogError> {
        let (lines, waiting) = sync_channel(LINES_WAITING);
        let dropped = Arc::new(AtomicU64::new(0));
        let queue = Self { lines, dropped: Arc::clone(&dropped) };
        let writer = thread::Builder::new().name("kwg-log".to_owned());
        writer.spawn(move || write_lines(&waiting, &dropped)).context(ThreadSnafu)?;
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
            .context(TwiceSnafu)
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

fn write_lines(waiting: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = waiting.recv() {
        let mut batch = first + "\n";
        while batch.len() < BATCH_BYTES
            && let Ok(line) = waiting.try_recv()
        {
            batch.push_str(&line);
            batch.push('\n');
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            batch.push_str(&format!("level=warn event=log-lines-dropped count={count}\n"));
        }
        // Without a reader of the output there is nobody to tell.
        if output.write_all(batch.as_bytes()).is_err() {
            return;
        }
    }
}
