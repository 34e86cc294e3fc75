//! The emulated services that nodes call: cache servers in RESP, the origin and discovery in HTTP, as in the platform's
//! protocol. They report what they receive to the cluster's state and write the replies that it returns; they make no
//! decisions.
//!
//! Tasks: the run's driver owns one task for each listener. A listener's task owns its connections, which end with it.

pub mod cache_server;
pub mod discovery;
pub mod origin;

use cluster_model::Micros;

/// Parses the remaining deadline from the fields of an attempt, such as `c=read,d=250`. The field is in milliseconds.
fn remaining_deadline(fields: &str) -> Option<Micros> {
    let mut fields = fields.split(',');
    let remaining_ms = fields.find_map(|field| field.strip_prefix("d="))?;
    Some(remaining_ms.parse::<Micros>().ok()?.saturating_mul(1_000))
}

/// The bytes that are sent in place of a reply when it is to be corrupt.
const CORRUPT_REPLY: &str = "?!";
