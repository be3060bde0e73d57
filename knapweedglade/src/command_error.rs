use kwg_gateway::GatewayError;
use kwg_peer::KeyError;
use kwg_router::RouterError;
use kwg_settings::IniError;
use kwg_store::PlatformError;
use kwg_telemetry::{LogError, TimeLineError};
use snafu::Snafu;

/// The error of a command, with the exit code that goes with it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// The command line is wrong.
    #[snafu(display("{reason}"))]
    Usage { reason: String },
    /// Settings or tables are wrong.
    #[snafu(display("{source}"))]
    Ini { source: IniError },
    /// Logs cannot be set up.
    #[snafu(display("{source}"))]
    Log { source: LogError },
    /// The router cannot start or go on.
    #[snafu(display("{source}"))]
    Router { source: RouterError },
    /// The gateway cannot start or go on.
    #[snafu(display("{source}"))]
    Gateway { source: GatewayError },
    /// The router was stopped before what it accepted had ended.
    #[snafu(display("stopped before everything accepted had ended"))]
    CutShort,
    /// The platform does not do its part.
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    /// Somebody else's edit was accepted first.
    #[snafu(display(
        "nothing was changed: revision {revision} was accepted from '{editor}' at {when}"
    ))]
    Lost { revision: u64, editor: String, when: String },
    /// The table service did not answer.
    #[snafu(display("change {change_id} may or may not be accepted: {reason}"))]
    Unsettled { change_id: String, reason: String },
    /// Keys cannot be made.
    #[snafu(display("{source}"))]
    Key { source: KeyError },
    /// A file cannot be read or written.
    #[snafu(display("{path}: {source}"))]
    File { path: String, source: std::io::Error },
    /// A log has a line that cannot be placed.
    #[snafu(display("{path}: {source}"))]
    Line { path: String, source: TimeLineError },
}

impl CommandError {
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } => 2,
            Self::Ini { .. } => 3,
            Self::Lost { .. } => 4,
            Self::Unsettled { .. } => 5,
            _ => 1,
        }
    }
}

/// An error of the command line.
pub(crate) fn usage<T>(reason: impl Into<String>) -> Result<T, CommandError> {
    UsageSnafu { reason: reason.into() }.fail()
}
