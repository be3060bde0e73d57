use kwg_router::RouterProcess;
use kwg_settings::RouterSettings;
use snafu::{ResultExt, ensure};

use crate::arguments::Arguments;
use crate::command_error::{CommandError, IniSnafu, LogSnafu, NotDrainedSnafu, RouterSnafu};

const HELP: &str = "\
Run a router until SIGTERM or SIGINT; then finish accepted requests, hand the ticket ledgers
over to another router and exit. A second signal stops at once.

USAGE: knapweedglade router --settings FILE

OPTIONS:
  --settings FILE   the router's settings, in INI (see docs/OPERATORS.md)
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.has_help_flag() {
        print!("{HELP}");
        return Ok(());
    }
    let file: String = arguments.required("--settings")?;
    arguments.finish()?;
    let settings = RouterSettings::load(file).context(IniSnafu)?;
    settings.log.install().context(LogSnafu)?;
    let outcome = RouterProcess::run(settings).context(RouterSnafu)?;
    ensure!(outcome.drained, NotDrainedSnafu);
    Ok(())
}
