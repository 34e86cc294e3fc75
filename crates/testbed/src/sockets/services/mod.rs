//! The emulated services that nodes talk to: cache servers in RESP, the origin and discovery in HTTP, as the platform's
//! protocol has them. They pass on to the cluster's state what they receive and write what it replies; they decide
//! nothing.
//!
//! Tasks: the run's driver owns one task for each listener. A listener's task owns its connections, which end with it.

pub mod cache_server;
pub mod discovery;
pub mod origin;

use cluster_model::Micros;

/// The time that is left by the fields of an attempt, as in `c=read,d=250`; they have it in milliseconds.
fn remaining_deadline(fields: &str) -> Option<Micros> {
    let mut fields = fields.split(',');
    let remaining_ms = fields.find_map(|field| field.strip_prefix("d="))?;
    Some(remaining_ms.parse::<Micros>().ok()?.saturating_mul(1_000))
}

/// What a party sends instead of a reply when it is to be corrupt.
const CORRUPT_REPLY: &str = "?!";
