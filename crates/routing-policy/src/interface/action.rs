//! Actions that the policy requests from its caller.

use crate::identifiers::{Micros, RequestId, ServerId};
use crate::log_event::LogEvent;

/// An action for the caller to carry out. Actions are carried out in the order given.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time after which the attempt is given up; 0 for the client's deadline.
        give_up_after: Micros,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Retry-After for the client; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed, and it may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Send [`Event::Timer`](super::Event::Timer) after a time.
    Timer {
        /// The time from now.
        after: Micros,
        /// Returned with the event.
        token: u32,
    },
    /// Open (or close) a watch of the endpoint list.
    Subscribe(bool),
    /// Fetch the whole endpoint list once.
    FetchEndpoints,
    /// Check the health of a server.
    CheckHealth(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// Send at most 256 bytes to one router, or to all.
    SendToPeer {
        /// Index of the router; `None` for all.
        to: Option<u32>,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// An event for the log.
    Log(LogEvent),
    /// The policy cannot continue.
    Fault(String),
}
