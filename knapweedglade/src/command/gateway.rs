use kwg_gateway::GatewayProcess;
use kwg_settings::GatewaySettings;
use kwg_telemetry::LogQueue;
use snafu::{OptionExt, ResultExt, ensure};

use crate::arguments::Arguments;
use crate::command_error::{
    CommandError, GatewaySnafu, IniSnafu, LogSnafu, NotDrainedSnafu, UsageSnafu,
};

const HELP: &str = "\
Run a gateway until SIGTERM or SIGINT; then finish accepted requests and exit.

USAGE: knapweedglade gateway (--settings FILE | --settings-from NAME)

OPTIONS:
  --settings FILE        the gateway's settings, in INI (see docs/OPERATIONS.md)
  --settings-from NAME   the environment variable that holds the file's path
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.has_help_flag() {
        print!("{HELP}");
        return Ok(());
    }
    let file: Option<String> = arguments.optional("--settings")?;
    let variable: Option<String> = arguments.optional("--settings-from")?;
    arguments.finish()?;
    let from_variable = variable.and_then(|name| std::env::var(name).ok());
    let reason = "give --settings, or --settings-from with an environment variable that is set";
    let file = file.or(from_variable).context(UsageSnafu { reason })?;
    let settings = GatewaySettings::load(&file).context(IniSnafu)?;
    LogQueue::install(settings.log_level).context(LogSnafu)?;
    let outcome =
        GatewayProcess::run(settings, || GatewaySettings::load(&file)).context(GatewaySnafu)?;
    ensure!(outcome.drained, NotDrainedSnafu);
    Ok(())
}
