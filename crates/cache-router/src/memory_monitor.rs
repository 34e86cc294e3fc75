//! Logs which holders the memory of the process is used by whenever its peak has grown by a step, so that the log of a
//! process that was killed for its memory tells what held it.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use tracing::info;

use crate::memory_budget::MemoryBudget;
use crate::memory_usage::{Holder, MemoryUsage};

/// How often the memory of the process is looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// A line is logged each time that the peak has grown by one part in this many of the limit.
const STEPS_OF_LIMIT: usize = 16;
/// Where the kernel states the memory of the process.
const STATUS_PATH: &str = "/proc/self/status";
/// Bytes in a KiB, the unit of the kernel's figures and of the log.
const BYTES_PER_KIB: usize = 1024;

/// The memory of the process, as the kernel counts it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessMemory {
    /// The most that has been resident so far, in KiB.
    pub peak_kib: usize,
    /// What is resident, in KiB.
    pub resident_kib: usize,
    /// The part of it that belongs to files, which is the program itself, in KiB.
    pub program_kib: usize,
}

impl ProcessMemory {
    /// Parses the text of `/proc/self/status`; `None` if a figure is missing.
    pub fn parse(status: &str) -> Option<Self> {
        Some(ProcessMemory {
            peak_kib: status_field(status, "VmHWM:")?,
            resident_kib: status_field(status, "VmRSS:")?,
            program_kib: status_field(status, "RssFile:")?,
        })
    }
}

/// The figure behind a name, in KiB.
fn status_field(status: &str, name: &str) -> Option<usize> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Watches the memory of the process.
pub struct MemoryMonitor {
    /// The limit on the memory of the process, in bytes.
    pub limit: usize,
    /// The memory for requests.
    pub request_memory: MemoryBudget,
    /// The memory for replies.
    pub reply_memory: MemoryBudget,
    /// What is held without a reservation.
    pub usage: Arc<MemoryUsage>,
}

impl MemoryMonitor {
    /// Logs the memory of the process each time that its peak has grown by a step. Never returns.
    pub async fn run(self) {
        let mut logged_steps = 0;
        loop {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let status = fs::read_to_string(STATUS_PATH).unwrap_or_default();
            let Some(process) = ProcessMemory::parse(&status) else {
                continue;
            };
            let steps = process.peak_kib * STEPS_OF_LIMIT * BYTES_PER_KIB / self.limit.max(1);
            if steps > logged_steps {
                logged_steps = steps;
                self.log(process);
            }
        }
    }

    fn log(&self, process: ProcessMemory) {
        let held_kib = |holder| self.usage.bytes(holder) / BYTES_PER_KIB;
        let reserved = self.request_memory.reserved_bytes() + self.reply_memory.reserved_bytes();
        let accounted_kib = process.program_kib + (reserved + self.usage.total()) / BYTES_PER_KIB;
        info!(
            limit_kib = self.limit / BYTES_PER_KIB,
            peak_kib = process.peak_kib,
            resident_kib = process.resident_kib,
            program_kib = process.program_kib,
            reserved_for_requests_kib = self.request_memory.reserved_bytes() / BYTES_PER_KIB,
            reserved_for_replies_kib = self.reply_memory.reserved_bytes() / BYTES_PER_KIB,
            client_connections_kib = held_kib(Holder::ClientConnections),
            client_input_kib = held_kib(Holder::ClientInput),
            client_replies_kib = held_kib(Holder::ClientReplies),
            server_connections_kib = held_kib(Holder::ServerConnections),
            server_responses_kib = held_kib(Holder::ServerResponses),
            unaccounted_kib = process.resident_kib.saturating_sub(accounted_kib),
            "the memory of the process has grown"
        );
    }
}
