//! The record of a case: one line for each thing that was sent, answered or run.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A shared record with a clock that starts with the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { start: Instant::now(), file })
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl Display) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{at:9.3} {text}").expect("the folder is writable");
        file.flush().expect("the folder is writable");
    }
}
