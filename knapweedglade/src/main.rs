//! The command line of knapweedglade: one binary for routers, operators and keys.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod arguments;
mod command;
mod command_error;

use std::process::ExitCode;

use arguments::Arguments;
use command_error::CommandError;

/// What `knapweedglade --help` prints.
const HELP: &str = "\
knapweedglade - a request scheduler for unlike engines

USAGE: knapweedglade <COMMAND> [OPTIONS]

COMMANDS:
  router    run a router
  gateway   run a gateway on the operators' platform
  check     check settings and tables without starting anything
  tables    show, edit and follow the two tables
  timeline  merge the events of all processes into one order
  keys      make the keys of routers and client accounts

Every command takes --help.

EXIT CODES: 0 done, 1 failed, 2 wrong use, 3 wrong settings or tables,
            4 somebody else's edit was accepted first, 5 outcome unknown
";

fn main() -> ExitCode {
    abort_on_panic();
    let mut arguments = Arguments::from_env();
    match run(&mut arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("knapweedglade: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

/// A router whose thread panics ends as a whole: half a router would hold requests for ever.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}

fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    match arguments.subcommand()?.as_deref() {
        Some("gateway") => command::gateway::run(arguments),
        Some("router") => command::router::run(arguments),
        Some("check") => command::check::run(arguments),
        Some("tables") => command::tables::run(arguments),
        Some("timeline") => command::timeline::run(arguments),
        Some("keys") => command::keys::run(arguments),
        Some(other) => command_error::usage(format!("unknown command '{other}', see --help")),
        None if arguments.wants_help() => {
            print!("{HELP}");
            Ok(())
        }
        None => command_error::usage("no command given, see --help"),
    }
}
