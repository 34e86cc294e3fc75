//! What is wrong with an input. Each error prints as one line that names the batch and, where it can, the record.

use std::io;

use routing_policy::settings::SettingsError;

/// Why the adapter stops.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// The input ended within a batch header.
    #[error("truncated frame: input ended within it")]
    TruncatedHeader,
    /// The input ended before the length that a header gives.
    #[error("truncated frame: batch {batch} ended after {received} bytes")]
    TruncatedBody {
        /// Number of the batch.
        batch: u32,
        /// Bytes of its body that were received.
        received: usize,
    },
    /// A header gives more records than fit its length.
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
        /// What is wrong with it.
        source: DecodeError,
    },
    /// An event does not fit what was sent before it.
    #[error("batch {batch}: {source}")]
    RejectedEvent {
        /// Number of the batch.
        batch: u32,
        /// Why it does not fit.
        source: HostError,
    },
    /// Reading the input failed.
    #[error("reading the input failed: {0}")]
    Input(io::Error),
    /// Writing a reply failed.
    #[error("writing failed: {0}")]
    Output(io::Error),
}

/// What is wrong with an event record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The record's code is none of the protocol's.
    #[error("unknown event code {code}")]
    UnknownEvent {
        /// The code.
        code: u8,
    },
    /// The status of an attempt is none of the protocol's.
    #[error("unknown outcome {status}")]
    UnknownStatus {
        /// The status.
        status: u16,
    },
    /// The update of an endpoint list is of a kind that is none of the protocol's.
    #[error("roster_change of unknown kind {kind}")]
    UnknownListUpdate {
        /// The kind.
        kind: u8,
    },
    /// The state of an endpoint is none of the protocol's.
    #[error("census line with unknown condition {state}")]
    UnknownEndpointState {
        /// The state.
        state: u8,
    },
    /// A record refers to bytes outside its batch's tail.
    #[error("event code {code}: tail offset {offset} and count {count} leave the frame")]
    OutsideTail {
        /// The record's code.
        code: u8,
        /// Offset in the tail, in bytes.
        offset: usize,
        /// Number of items.
        count: usize,
    },
}

/// Why an event does not fit the instances and lists that there are.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The settings of a new instance cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An instance is stopped that does not run.
    #[error("shutdown of unknown instance {instance}")]
    UnknownInstanceStopped {
        /// Its number.
        instance: u16,
    },
    /// An event is for an instance that does not run.
    #[error("event for unknown instance {instance}")]
    UnknownInstance {
        /// Its number.
        instance: u16,
    },
    /// A list has a number that is too high.
    #[error("census with list number {number} out of range")]
    ListNumberTooHigh {
        /// Its number.
        number: u16,
    },
    /// An instance is notified of a list that was not sent.
    #[error("roster_change names unknown list {number}")]
    UnknownList {
        /// Its number.
        number: u16,
    },
    /// A request is of a class that the instance's settings do not have.
    #[error("request of class {class} that the settings do not have")]
    UnknownClass {
        /// Index of the class.
        class: usize,
    },
    /// A request is of a tenant that the instance's settings do not have.
    #[error("request of tenant {tenant} that the settings do not have")]
    UnknownTenant {
        /// Index of the tenant.
        tenant: usize,
    },
}
