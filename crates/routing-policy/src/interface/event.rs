//! Events at a router that are passed to its policy.

use super::attempt::{AttemptOutcome, LoadReport};
use super::endpoint::{Endpoint, ListUpdate};
use crate::identifiers::{Key, Micros, RequestId, ServerId};

/// A client's request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position of its class in [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Position of its tenant in [`Settings::tenants`](super::Settings::tenants); 0 where there are none.
    pub tenant: usize,
    /// Its key, 0 for none.
    pub key: Key,
    /// Whether it is a write, which goes to the origin.
    pub write: bool,
    /// Whether the client has marked it as a retry.
    pub is_retry: bool,
    /// Time until the client gives up.
    pub remaining_deadline: Micros,
    /// Expected service time, if known.
    pub cost: Option<Micros>,
    /// Size of the value in bytes, 0 where unknown.
    pub value_size: f32,
}

/// An event at this router.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it.
    EndpointList {
        /// How it relates to the list in force.
        update: ListUpdate,
        /// Its endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A client's request arrived. From now on it must get exactly one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptOutcome(AttemptOutcome),
    /// An attempt waits for a connection (`established` is false), or has it and is being written. Without this
    /// event, an attempt counts as written when it is sent.
    Connection {
        /// Its request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u16,
        /// Whether it has its connection.
        established: bool,
    },
    /// A streamed response began; no further answer is due for the request.
    ResponseStarted {
        /// Its request.
        request: RequestId,
        /// The attempt that it belongs to.
        attempt: u16,
    },
    /// The client disconnected, or the request ended otherwise; no further answer is due.
    ClientGone(RequestId),
    /// A timer set by [`Action::Timer`](super::Action::Timer) has fired.
    Timer(u32),
    /// The outcome of a health check. With `healthy`, it also stands for a connection that was established
    /// after the attempts that waited for it had given up, which shows the same.
    HealthChecked {
        /// The server checked.
        server: ServerId,
        /// Whether it is healthy.
        healthy: bool,
        /// Time from sending to this outcome.
        elapsed: Micros,
        /// Load report of the server, empty if there was none.
        load: LoadReport,
    },
    /// A message of another router.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        /// Its bytes.
        bytes: Vec<u8>,
    },
}
