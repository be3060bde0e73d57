use std::path::PathBuf;
use std::time::SystemTime;

use log::LevelFilter;
use snafu::{ResultExt, Snafu};

/// The destination and level of log lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSink {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// The log file; standard error if there is none.
    pub file: Option<PathBuf>,
}

/// Error while installing the logger.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LogError {
    /// The log file cannot be opened.
    #[snafu(display("cannot open the log file {}", path.display()))]
    Open {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The log thread cannot be spawned.
    #[snafu(display("cannot start the log thread"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
    /// A logger is already installed.
    #[snafu(display("a logger is already installed"))]
    AlreadyInstalled {
        /// The cause.
        source: log::SetLoggerError,
    },
}

impl LogSink {
    /// Installs the process-wide logger. The level applies to the crates `kwg_router`,
    /// `kwg_standin` and `kwg_telemetry`; other crates are logged from `warn` on.
    ///
    /// # Errors
    /// [`LogError`] if the file cannot be opened or a logger is already installed.
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
        dispatch.apply().context(AlreadyInstalledSnafu)
    }
}
