//! The configuration of all programs: one schema ([`Config`]), read in layers ([`Layers`]: file, environment variables
//! and flags), and the logging that it configures ([`logging`]). `docs/CONFIG.md` documents the keys.
//!
//! This crate covers the options that an operator sets. Addresses, routing settings and seeds are set by the deployment
//! platform in a separate file.

mod environment;
mod error;
mod layers;
pub mod logging;
mod schema;
mod toml_file;
mod toml_position;
mod units;

pub use environment::{DeprecatedVariable, DeprecatedVariables};
pub use error::{ConfigError, InvalidValue, ValueSource};
pub use layers::{Layers, read_toml};
pub use schema::{Config, Format, Level, Log, Node, Repeat};
pub use toml_position::Position;
pub use units::HumanDuration;
