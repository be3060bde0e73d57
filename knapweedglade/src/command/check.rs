use kwg_settings::{GatewaySettings, RouterSettings, TableFiles};
use snafu::ResultExt;

use crate::arguments::Arguments;
use crate::command_error::{CommandError, IniSnafu, usage};

const HELP: &str = "\
Validate settings or tables; nothing is started or changed.

USAGE: knapweedglade check [--settings FILE] [--gateway FILE] [--routes FILE --pools FILE]

OPTIONS:
  --settings FILE   a router's settings
  --gateway FILE    a gateway's settings
  --routes FILE     the route table
  --pools FILE      the pool table
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.has_help_flag() {
        print!("{HELP}");
        return Ok(());
    }
    let settings: Option<String> = arguments.optional("--settings")?;
    let gateway: Option<String> = arguments.optional("--gateway")?;
    let routes: Option<String> = arguments.optional("--routes")?;
    let pools: Option<String> = arguments.optional("--pools")?;
    arguments.finish()?;
    if let Some(file) = &settings {
        let settings = RouterSettings::load(file).context(IniSnafu)?;
        println!("{file}: settings of router '{}' are valid", settings.name);
    }
    if let Some(file) = &gateway {
        let settings = GatewaySettings::load(file).context(IniSnafu)?;
        println!("{file}: settings of gateway '{}' are valid", settings.name);
    }
    match (routes, pools) {
        (Some(routes), Some(pools)) => {
            let tables = TableFiles::load(routes, pools).context(IniSnafu)?;
            let (routes, pools) = (tables.routes.len(), tables.pools.len());
            println!("tables are valid: {routes} routes, {pools} pools");
            Ok(())
        }
        (None, None) if settings.is_some() || gateway.is_some() => Ok(()),
        (None, None) => {
            usage("nothing to check: give --settings, --gateway, or --routes and --pools")
        }
        _ => usage("give both --routes and --pools: they are checked together"),
    }
}
