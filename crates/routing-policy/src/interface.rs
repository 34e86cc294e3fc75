//! The interface of the policy: settings, events that it takes, actions that it answers with.
//!
//! Times are microseconds of the caller's clock, which may start anywhere and only advances.

mod action;
mod attempt;
mod endpoint;
mod event;
mod settings;

pub use crate::identifiers::{Key, Micros, RequestId, ServerId};
pub use action::Action;
pub use attempt::{AttemptOutcome, AttemptStatus, CacheLookup, LoadReport};
pub use endpoint::{Endpoint, EndpointState, ListUpdate};
pub use event::{Event, Request};
pub use settings::{DeduplicationScope, Idempotency, LoadField, RequestClass, Settings, Tenant};
