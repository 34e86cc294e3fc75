//! The configuration of all programs: one schema ([`Config`]), read in layers ([`Layers`]: file, environment, flags),
//! and the logging that it sets up ([`logging`]). `docs/CONFIG.md` is its page.
//!
//! What a program is told by the platform (addresses, settings, seeds) stays in the platform's own file; this is what
//! an operator chooses beside it.

mod layers;
mod locate;
pub mod logging;
mod schema;
mod units;

pub use layers::{ConfigError, Layers, Place, read_toml};
pub use schema::{Config, Format, Level, Log, Node, Repeat};
pub use units::Span;
