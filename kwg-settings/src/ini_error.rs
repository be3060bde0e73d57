use std::fmt;
use std::path::PathBuf;

use snafu::Snafu;

/// The error for a settings or table file, with the line and key at fault.
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
    /// The file is no INI.
    #[snafu(display("{file}:{line}: {reason}"))]
    Syntax {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The cause.
        reason: String,
    },
    /// A section or key is not known.
    #[snafu(display("{file}:{line}: unknown {what}"))]
    Unknown {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The section or key.
        what: String,
    },
    /// A section or key stands twice.
    #[snafu(display("{file}:{line}: {what} stands twice"))]
    Twice {
        /// The file.
        file: String,
        /// The line.
        line: usize,
        /// The section or key.
        what: String,
    },
    /// A key is missing.
    #[snafu(display("{file}: section [{section}] lacks '{key}'"))]
    Missing {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// A value is not of its key's type or out of its bounds.
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
        /// What is wrong.
        reason: String,
    },
    /// The tables are well-formed and do not fit together.
    #[snafu(display("{source}"))]
    Tables {
        /// What does not fit.
        source: kwg_model::TableError,
    },
}

/// Names a key for an error.
pub(crate) fn key_of(section: &str, key: &str) -> impl fmt::Display {
    format!("key '{key}' in [{section}]")
}
