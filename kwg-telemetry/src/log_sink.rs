use std::path::PathBuf;
use std::time::SystemTime;

use log::LevelFilter;
use snafu::{ResultExt, Snafu};

/// Where logs go and which.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSink {
    /// The least important level that is written.
    pub level: LevelFilter,
    /// A file, or standard error.
    pub file: Option<PathBuf>,
}

/// The error for logs that cannot be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The file cannot be opened.
    #[snafu(display("the log file {} cannot be opened", path.display()))]
    Open {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The thread that writes cannot be started.
    #[snafu(display("the log thread cannot be started"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
    /// Logs are set up already.
    #[snafu(display("logs are set up already"))]
    Twice {
        /// The cause.
        source: log::SetLoggerError,
    },
}

impl LogSink {
    /// Sets logging up for the whole process.
    ///
    /// # Errors
    /// [`LogError`] if the file cannot be opened or logging was set up before.
    pub fn install(&self) -> Result<(), LogError> {
        let dispatch = fern::Dispatch::new()
            .format(|out, message, record| {
                let time = humantime::format_rfc3339_millis(SystemTime::now());
                let level = record.level().as_str().to_ascii_lowercase();
                out.finish(format_args!("time={time} level={level} {message}"));
            })
            .level(LevelFilter::Warn)
            .level_for("kwg_telemetry", self.level)
            .level_for("kwg_router", self.level)
            .level_for("kwg_standin", self.level);
        let dispatch = match &self.file {
            Some(path) => dispatch.chain(fern::log_file(path).context(OpenSnafu { path })?),
            None => dispatch.chain(std::io::stderr()),
        };
        dispatch.apply().context(TwiceSnafu)
    }
}
