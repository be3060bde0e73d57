use kwg_gateway::GatewayError;
use kwg_peer::KeyError;
use kwg_router::RouterError;
use kwg_settings::IniError;
use kwg_store::PlatformError;
use kwg_telemetry::{LogError, TimelineError};
use snafu::Snafu;

/// Error of a command; it determines the exit code.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// The command line is invalid.
    #[snafu(display("{reason}"))]
    Usage { reason: String },
    /// Settings or tables are invalid.
    #[snafu(display("{source}"))]
    Ini { source: IniError },
    /// The logger cannot be installed.
    #[snafu(display("{source}"))]
    Log { source: LogError },
    /// The router cannot start or run.
    #[snafu(display("{source}"))]
    Router { source: RouterError },
    /// The gateway cannot start or run.
    #[snafu(display("{source}"))]
    Gateway { source: GatewayError },
    /// The process stopped before all accepted requests had ended.
    #[snafu(display("stopped before all accepted requests had ended"))]
    NotDrained,
    /// A call to one of the platform's services failed.
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    /// Another edit was accepted first.
    #[snafu(display(
        "nothing was changed: revision {revision} was accepted from '{editor}' at {when}"
    ))]
    Superseded { revision: u64, editor: String, when: String },
    /// No attempt to commit an edit gave a usable reply, so its outcome is unknown.
    #[snafu(display("change {change_id} may or may not have been accepted: {reason}"))]
    OutcomeUnknown { change_id: String, reason: String },
    /// Keys cannot be generated.
    #[snafu(display("{source}"))]
    Key { source: KeyError },
    /// A file cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// A log line has an invalid stamp.
    #[snafu(display("{path}: {source}"))]
    Line { path: String, source: TimelineError },
}

impl CommandError {
    /// The exit code of the process, as `knapweedglade --help` lists them.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Ini { .. } => 3,
            Self::Superseded { .. } => 4,
            Self::OutcomeUnknown { .. } => 5,
            _ => 1,
        }
    }
}

/// Returns a [`CommandError::Usage`].
pub(crate) fn usage<T>(reason: impl Into<String>) -> Result<T, CommandError> {
    UsageSnafu { reason: reason.into() }.fail()
}
