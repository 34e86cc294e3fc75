//! Why a configuration is rejected, and where the offending value stands.

use std::fmt::{self, Display, Formatter};
use std::path::PathBuf;

use crate::toml_position::Position;

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ValueSource {
    /// A configuration file.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Where in the file, if that is known.
        position: Option<Position>,
    },
    /// An environment variable, by the name that the operator wrote.
    Variable(String),
    /// A command line flag, by the key that it sets.
    Flag(String),
    /// The built-in defaults: a bug in the program itself.
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

/// Why a configuration is rejected. No part of a rejected configuration is used.
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
    /// The file's bytes cannot be a configuration.
    #[error("{}: {reason}", path.display())]
    NotText {
        /// Path of the file.
        path: PathBuf,
        /// What the file is instead.
        reason: &'static str,
    },
    /// A value, a key or the TOML syntax is invalid.
    #[error("{value_source}: {message}")]
    Invalid {
        /// Where the offending text stands.
        value_source: ValueSource,
        /// What was found, and what would be accepted.
        message: String,
    },
}

/// A value of the right type that is still not acceptable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidValue {
    /// The key, with dots.
    pub key: String,
    /// What was found, and what would be accepted.
    pub message: String,
}

impl From<(String, String)> for InvalidValue {
    /// From a key and a message.
    fn from((key, message): (String, String)) -> InvalidValue {
        InvalidValue { key, message }
    }
}
