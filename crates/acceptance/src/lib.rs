//! Evaluates recorded runs of the operators' fleet test: [`check`] decides whether the test was run and passed on the
//! current sources, and [`margins`] reports how far a run stayed from the limits of the test's rules.
//!
//! The crate only reads journals and logs. It requires neither the test program nor a running node.

pub mod check;
pub mod journal;
pub mod margins;
pub mod sources;
pub mod trace;
