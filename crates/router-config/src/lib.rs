//! The configuration of all programs: one schema ([`Config`]), read in layers ([`Layers`]: file, environment, flags),
//! and the logging that it sets up ([`logging`]). `docs/CONFIG.md` is its page.
//!
//! Addresses, settings and seeds come from the platform, in a file of its own; this crate covers what an operator
//! chooses beside it.

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
pub use units::Span;
