//! Errors for rejected configurations, with the source of the invalid value.

use std::fmt::{self, Display, Formatter};
use std::path::PathBuf;

use crate::toml_position::Position;

/// The source of a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ValueSource {
    /// A configuration file.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Position in the file, if known.
        position: Option<Position>,
    },
    /// An environment variable, by its full name.
    Variable(String),
    /// A command-line flag, by the key that it sets.
    Flag(String),
    /// The built-in defaults. An invalid default is a bug in the program.
    Defaults,
}

impl Display for ValueSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ValueSource::File {
                path,
                position: Some(position),
            } => write!(f, "{}:{position}", path.display()),
            ValueSource::File {
                path,
                position: None,
            } => write!(f, "{}", path.display()),
            ValueSource::Variable(name) => write!(f, "variable {name}"),
            ValueSource::Flag(key) => write!(f, "--set {key}"),
            ValueSource::Defaults => write!(f, "defaults"),
        }
    }
}

/// The reason why a configuration is rejected. No part of a rejected configuration is used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is too long or is not UTF-8 text.
    #[error("{}: {reason}", path.display())]
    InvalidFile {
        /// Path of the file.
        path: PathBuf,
        /// Why the file is rejected.
        reason: &'static str,
    },
    /// A value, a key or the TOML syntax is invalid.
    #[error("{value_source}: {message}")]
    Invalid {
        /// Source of the invalid value.
        value_source: ValueSource,
        /// What was found and what is accepted.
        message: String,
    },
}

/// A value that has the right type but is not acceptable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// The dotted key.
    pub key: String,
    /// What was found and what is accepted.
    pub message: String,
}

impl From<(String, String)> for InvalidValue {
    /// Converts a pair of a key and a message.
    fn from((key, message): (String, String)) -> InvalidValue {
        InvalidValue { key, message }
    }
}
