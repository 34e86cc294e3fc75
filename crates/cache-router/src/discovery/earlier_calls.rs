//! Calls to discovery that were made before its address changed, or before the whole list was asked for again.
//!
//! They go on until a later call has brought a list: until then they are the only source of changes, and the later call
//! may have to wait for its answer, or may never get one.

use tokio::task::AbortHandle;

/// The most calls that go on. Each needs a connection, and later ones follow when configurations come in a row.
const MAX_EARLIER_CALLS: usize = 3;

/// A call of an earlier generation.
struct EarlierCall {
    generation: u64,
    task: AbortHandle,
}

/// The calls of earlier generations that go on, in the order in which they were made.
#[derive(Default)]
pub(super) struct EarlierCalls {
    calls: Vec<EarlierCall>,
}

impl EarlierCalls {
    /// Lets a call go on. If there are too many, it is aborted: those that were made before it are closer to their
    /// answer, or have brought the current list.
    pub(super) fn add(&mut self, generation: u64, task: AbortHandle) {
        self.calls.retain(|call| !call.task.is_finished());
        if self.calls.len() >= MAX_EARLIER_CALLS {
            task.abort();
            return;
        }
        self.calls.push(EarlierCall { generation, task });
    }

    /// Aborts the calls of generations before this one.
    pub(super) fn abort_before(&mut self, generation: u64) {
        self.calls.retain(|call| {
            let is_replaced = call.generation < generation;
            if is_replaced {
                call.task.abort();
            }
            !is_replaced
        });
    }
}
