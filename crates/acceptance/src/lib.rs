//! The operators' fleet test, read from what it leaves behind: whether it was run and passed on the sources as they
//! are ([`check`]), and how far a run stayed from the limits of the rules ([`margins`]).
//!
//! The crate reads journals and logs and changes nothing. It needs neither the test itself nor a node.

pub mod check;
pub mod journal;
pub mod margins;
pub mod sources;
pub mod trace;
