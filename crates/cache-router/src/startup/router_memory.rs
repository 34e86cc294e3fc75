//! The memory that the tasks of a router share: budgets, usage and the task that watches both.

use std::sync::Arc;

use crate::memory_budget::MemoryBudget;
use crate::memory_monitor::MemoryMonitor;
use crate::memory_plan::{BYTES_PER_MB, Capacity};
use crate::memory_usage::MemoryUsage;

/// The memory that the tasks of a router share.
pub(super) struct RouterMemory {
    pub(super) requests: MemoryBudget,
    pub(super) replies: MemoryBudget,
    /// What is held without a reservation.
    pub(super) usage: Arc<MemoryUsage>,
}

impl RouterMemory {
    /// Divides the memory of a router, and starts the task that watches it.
    pub(super) fn start(capacity: &Capacity) -> Self {
        let memory = RouterMemory {
            requests: MemoryBudget::new(capacity.budget_bytes()),
            replies: MemoryBudget::new(capacity.budget_bytes()),
            usage: Arc::default(),
        };
        let monitor = MemoryMonitor {
            limit: capacity.memory_mb * BYTES_PER_MB,
            request_memory: memory.requests.clone(),
            reply_memory: memory.replies.clone(),
            usage: memory.usage.clone(),
        };
        tokio::spawn(monitor.run());
        memory
    }
}
