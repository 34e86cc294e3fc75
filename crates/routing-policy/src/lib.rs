//! Decisions of a router in front of fleets of cache servers, as a pure and deterministic state machine.
//!
//! A [`Policy`] takes an event at one router ([`Event`]) with the time, and returns what to do ([`Action`]). It
//! has no clock, no threads and no I/O: the program that embeds it owns the sockets.
//!
//! All decisions are in `policy` and its modules, one for each concern. `state` contains records, containers
//! and estimators, which make no decisions.
//!
//! ```
//! use routing_policy::{
//!     Action, Endpoint, EndpointState, Event, ListUpdate, Policy, Request, Settings,
//! };
//!
//! let seed = 42;
//! let mut policy = Policy::new(Settings::default(), seed);
//! let mut actions = Vec::new();
//!
//! // The router starts at some clock value (microseconds) with the endpoint list that it had cached.
//! let endpoints = vec![
//!     Endpoint { id: 7, state: EndpointState::Ready, ..Endpoint::default() },
//!     Endpoint { id: 9, state: EndpointState::Ready, ..Endpoint::default() },
//! ];
//! let list = Event::EndpointList { update: ListUpdate::Cached, endpoints };
//! policy.handle(1_000_000, list, &mut actions);
//!
//! // A client reads a key; the policy names the cache server for the first attempt.
//! let request = Request { id: 1, key: 0xfeed, remaining_deadline: 500_000, ..Request::default() };
//! policy.handle(1_000_100, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 1, server: 7 | 9, .. })));
//! ```

mod identifiers;
pub mod interface;
mod log_event;
mod policy;
pub mod settings;
mod state;

pub use interface::*;
pub use log_event::LogEvent;
pub use policy::Policy;
