//! The operators' standing fleet test, seen from this side: whether it has been played and passed on the sources as
//! they are ([`duty`]), and how far a play stayed from the limits of the rules ([`margins`]). Reads journals and
//! logs, changes nothing, and needs neither the bench nor a node.

pub mod duty;
pub mod journal;
pub mod margins;
pub mod sources;
pub mod trace;
