use std::fmt::Display;
use std::path::PathBuf;
use std::str::FromStr;

use crate::CommandError;
use crate::command_error::{UsageSnafu, usage};

/// The command line. Commands take their options from it one by one; [`Self::finish`] reports an
/// error for the words left over.
#[derive(Debug)]
pub(crate) struct Arguments(pico_args::Arguments);

impl Arguments {
    pub(crate) fn from_env() -> Self {
        Self(pico_args::Arguments::from_env())
    }

    /// Takes the next word, unless it is an option.
    pub(crate) fn subcommand(&mut self) -> Result<Option<String>, CommandError> {
        self.0.subcommand().map_err(invalid)
    }

    /// Takes `-h` or `--help`; returns whether it was given.
    pub(crate) fn has_help_flag(&mut self) -> bool {
        self.0.contains(["-h", "--help"])
    }

    /// Takes an option without a value; returns whether it was given.
    pub(crate) fn has_flag(&mut self, name: &'static str) -> bool {
        self.0.contains(name)
    }

    /// Takes the value of a required option.
    pub(crate) fn required<T: FromStr>(&mut self, name: &'static str) -> Result<T, CommandError>
    where
        T::Err: Display,
    {
        self.0.value_from_str(name).map_err(invalid)
    }

    /// Takes the value of an optional option.
    pub(crate) fn optional<T: FromStr>(
        &mut self,
        name: &'static str,
    ) -> Result<Option<T>, CommandError>
    where
        T::Err: Display,
    {
        self.0.opt_value_from_str(name).map_err(invalid)
    }

    /// Takes all remaining words as file names. An option among them is an error.
    pub(crate) fn files(&mut self) -> Result<Vec<PathBuf>, CommandError> {
        let rest = std::mem::replace(&mut self.0, pico_args::Arguments::from_vec(Vec::new()));
        let rest = rest.finish();
        match rest.iter().find(|word| word.to_string_lossy().starts_with('-')) {
            Some(option) => usage(format!("unknown option {}", option.to_string_lossy())),
            None => Ok(rest.into_iter().map(PathBuf::from).collect()),
        }
    }

    /// Checks that no word is left.
    pub(crate) fn finish(&mut self) -> Result<(), CommandError> {
        match self.files()?.first() {
            Some(word) => usage(format!("unexpected '{}'", word.display())),
            None => Ok(()),
        }
    }
}

fn invalid(error: impl Display) -> CommandError {
    UsageSnafu { reason: error.to_string() }.build()
}
