//! Errors of the adapter. Each error prints as one line that names the batch and, if possible, the record.
//! Record names in messages are those of the simulator's protocol, such as `census` for an endpoint list and
//! `roster_change` for the notification of one.

use std::io;

use routing_policy::settings::SettingsError;

/// An error that stops the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input ended within a batch header.
    #[error("truncated frame: input ended within a batch header")]
    TruncatedHeader,
    /// The input ended before the length that a header gives.
    #[error("truncated frame: batch {batch} ended after {received} bytes")]
    TruncatedBody {
        /// Number of the batch.
        batch: u32,
        /// Bytes of its body that were received.
        received: usize,
    },
    /// A header announces more records than fit into its length.
    #[error("batch {batch}: records exceed the frame's length")]
    TooManyRecords {
        /// Number of the batch.
        batch: u32,
    },
    /// An event record cannot be decoded.
    #[error("batch {batch}, record {index}: {source}")]
    MalformedRecord {
        /// Number of the batch.
        batch: u32,
        /// Index of the record in the batch, from 0.
        index: usize,
        /// Why it cannot be decoded.
        source: DecodeError,
    },
    /// An event is inconsistent with earlier records.
    #[error("batch {batch}: {source}")]
    RejectedEvent {
        /// Number of the batch.
        batch: u32,
        /// Why it is inconsistent.
        source: HostError,
    },
    /// Reading the input failed.
    #[error("reading the input failed: {0}")]
    Input(io::Error),
    /// Writing a reply failed.
    #[error("writing the reply failed: {0}")]
    Output(io::Error),
}

/// Why an event record cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The protocol has no event with this code.
    #[error("unknown event code {code}")]
    UnknownEvent {
        /// The code.
        code: u8,
    },
    /// The protocol has no attempt status with this code.
    #[error("unknown outcome {status}")]
    UnknownStatus {
        /// The status.
        status: u16,
    },
    /// The protocol has no endpoint list update of this kind.
    #[error("roster_change of unknown kind {kind}")]
    UnknownListUpdate {
        /// The kind.
        kind: u8,
    },
    /// The protocol has no endpoint state with this code.
    #[error("census line with unknown condition {state}")]
    UnknownEndpointState {
        /// The state.
        state: u8,
    },
    /// A record refers to bytes outside its batch's tail.
    #[error("event code {code}: tail offset {offset} and count {count} are outside the frame")]
    OutsideTail {
        /// The record's code.
        code: u8,
        /// Offset in the tail, in bytes.
        offset: usize,
        /// Number of items.
        count: usize,
    },
}

/// Why an event is inconsistent with the running instances or the lists received.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The settings of a new instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A stop record names an instance that is not running.
    #[error("shutdown of unknown instance {instance}")]
    UnknownInstanceStopped {
        /// Its number.
        instance: u16,
    },
    /// An event is addressed to an instance that is not running.
    #[error("event for unknown instance {instance}")]
    UnknownInstance {
        /// Its number.
        instance: u16,
    },
    /// The number of an endpoint list is out of range.
    #[error("census with list number {number} out of range")]
    ListNumberTooHigh {
        /// Its number.
        number: u16,
    },
    /// An instance is notified of a list that has not been received.
    #[error("roster_change names unknown list {number}")]
    UnknownList {
        /// Its number.
        number: u16,
    },
    /// A request has a class that the instance's settings do not define.
    #[error("request of class {class}, which the settings do not define")]
    UnknownClass {
        /// Index of the class.
        class: usize,
    },
    /// A request has a tenant that the instance's settings do not define.
    #[error("request of tenant {tenant}, which the settings do not define")]
    UnknownTenant {
        /// Index of the tenant.
        tenant: usize,
    },
}
