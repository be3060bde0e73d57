use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// Error in a settings or table file, with the line and key where known.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum IniError {
    /// The file cannot be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not valid INI.
    #[snafu(display("{file}:{line}: {reason}"))]
    Syntax {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The cause.
        reason: String,
    },
    /// A section or key is unknown.
    #[snafu(display("{file}:{line}: unknown {what}"))]
    Unknown {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The section or key.
        what: String,
    },
    /// A section or key is duplicated.
    #[snafu(display("{file}:{line}: {what} stands twice"))]
    Duplicate {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The section or key.
        what: String,
    },
    /// A required key is missing.
    #[snafu(display("{file}: section [{section}] lacks '{key}'"))]
    Missing {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value has the wrong type or is out of bounds.
    #[snafu(display("{file}:{line}: '{key}' in [{section}]: {reason}"))]
    BadValue {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// The tables are well-formed but inconsistent with each other.
    #[snafu(display("{source}"))]
    Tables {
        /// The inconsistency.
        source: kwg_model::TableError,
    },
}

/// Formats a key and its section for an error message.
pub(crate) fn key_of(section: &str, key: &str) -> impl fmt::Display {
    format!("key '{key}' in [{section}]")
}
