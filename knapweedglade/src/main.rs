//! The knapweedglade binary: runs routers and gateways, and the operators' commands.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod arguments;
mod command;
mod command_error;

use std::process::ExitCode;

use arguments::Arguments;
use command_error::CommandError;

/// The output of `knapweedglade --help`.
const HELP: &str = "\
knapweedglade - a request scheduler for heterogeneous engines

USAGE: knapweedglade <COMMAND> [OPTIONS]

COMMANDS:
  router    run a router
  gateway   run a gateway on the operators' platform
  check     check settings and tables without starting anything
  tables    show and edit the two tables, and report their status
  timeline  merge the events of all processes in causal order
  explain   show where a gateway would send a request, and why
  keys      generate the keys of routers and client accounts

Every command takes --help.

EXIT CODES: 0 success, 1 failure, 2 invalid command line, 3 invalid settings or tables,
            4 another edit was accepted first, so nothing was changed,
            5 unknown whether the edit was accepted
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

/// Installs a panic hook that aborts the process: with one thread missing, a router would hold
/// requests forever.
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
        Some("explain") => command::explain::run(arguments),
        Some("keys") => command::keys::run(arguments),
        Some(other) => command_error::usage(format!("unknown command '{other}', see --help")),
        None if arguments.has_help_flag() => {
            print!("{HELP}");
            Ok(())
        }
        None => command_error::usage("no command given, see --help"),
    }
}
