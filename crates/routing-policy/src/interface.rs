//! The interface of the policy: its settings, the events that it takes, and the actions that it returns.
//!
//! Times are in microseconds of the caller's clock, which may start anywhere and never goes back.

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
