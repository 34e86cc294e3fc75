//! The codes of event records, and the offsets of their fields in bytes.

/// Event codes of the protocol.
pub mod code {
    pub const CLIENT_GONE: u8 = 1;
    pub const TIMER: u8 = 2;
    pub const ATTEMPT_OUTCOME: u8 = 3;
    pub const REQUEST: u8 = 4;
    pub const START: u8 = 5;
    pub const HEALTH_CHECKED: u8 = 6;
    pub const STOP: u8 = 7;
    pub const RESPONSE_STARTED: u8 = 8;
    pub const ENDPOINT_LIST: u8 = 9;
    pub const LIST_UPDATE: u8 = 10;
    pub const PEER_MESSAGE: u8 = 11;
}

/// Offsets in a batch header.
pub mod header {
    pub const NOW: usize = 0;
    pub const LENGTH: usize = 8;
    pub const RECORDS: usize = 12;
    pub const NUMBER: usize = 16;
}

/// Offset in the record of a client disconnect.
pub mod client_gone {
    pub const REQUEST: usize = 3;
}

/// Offset in the record of a timer.
pub mod timer {
    pub const TOKEN: usize = 3;
}

/// Offsets in the record of an attempt's outcome.
pub mod outcome {
    pub const REQUEST: usize = 3;
    pub const CACHE_LOOKUP: usize = 11;
    pub const ELAPSED: usize = 15;
    pub const ATTEMPT: usize = 19;
    pub const REQUEST_COMPLETE: usize = 21;
    pub const STATUS: usize = 22;
    pub const SERVER: usize = 24;
    pub const LOAD: usize = 28;
}

/// Offsets in the record of a request, and the flags in it.
pub mod request {
    pub const ID: usize = 3;
    pub const TENANT: usize = 11;
    pub const FLAGS: usize = 13;
    pub const CLASS: usize = 14;
    pub const COST: usize = 15;
    pub const KEY: usize = 19;
    pub const VALUE_SIZE: usize = 27;
    pub const REMAINING_DEADLINE: usize = 31;

    /// The cost field is valid.
    pub const FLAG_HAS_COST: u8 = 1;
    /// The request is a retry by the client.
    pub const FLAG_IS_RETRY: u8 = 2;
    /// The request is a write.
    pub const FLAG_WRITE: u8 = 4;
}

/// Offsets in the record that starts an instance.
pub mod start {
    pub const SEED: usize = 3;
    pub const SETTINGS: usize = 11;
}

/// Offsets in the record of a health check's outcome, and the status that means healthy.
pub mod health {
    pub const STATUS: usize = 3;
    pub const ELAPSED: usize = 5;
    pub const SERVER: usize = 9;
    pub const LOAD: usize = 13;

    pub const STATUS_HEALTHY: u16 = 200;
}

/// Offsets in the record of a response that has started.
pub mod response_started {
    pub const REQUEST: usize = 3;
    pub const ATTEMPT: usize = 15;
}

/// Offsets in the record of a numbered endpoint list. The list number takes the place of the instance number.
pub mod endpoint_list {
    pub const NUMBER: usize = crate::wire::INSTANCE;
    pub const ENDPOINTS: usize = 3;
}

/// Offsets in the record that notifies an instance of an endpoint list.
pub mod list_update {
    pub const NUMBER: usize = 3;
    pub const KIND: usize = 9;
}

/// Offsets in the record of a message from another instance.
pub mod peer_message {
    pub const FROM: usize = 3;
    pub const BYTES: usize = 7;
}

/// Offsets in the record of an endpoint in the tail, and its size.
pub mod endpoint {
    pub const ZONE: usize = 0;
    pub const STARTED: usize = 1;
    pub const STATE: usize = 9;
    pub const ID: usize = 10;
    pub const CELL: usize = 14;
    pub const KIND: usize = 16;
    pub const WEIGHT: usize = 18;

    pub const SIZE: usize = 22;
}

/// Offsets in a load report, the size of a value, and the maximum number of values.
pub mod load {
    pub const COUNT: usize = 0;
    pub const VALUES: usize = 1;

    pub const VALUE_SIZE: usize = 4;
    pub const MAX_VALUES: u8 = 4;
}

/// Offsets in a reference to a range of the tail.
pub mod tail_reference {
    pub const OFFSET: usize = 0;
    pub const COUNT: usize = 4;
}
