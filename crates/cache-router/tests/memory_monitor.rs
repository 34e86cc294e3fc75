//! What the log tells of the memory of a process.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::sync::Arc;

use cache_router::memory_monitor::ProcessMemory;
use cache_router::memory_usage::{HeldBytes, Holder, MemoryUsage};

#[test]
fn bytes_are_counted_by_holder_until_they_are_given_back() {
    let usage = Arc::<MemoryUsage>::default();
    let mut input = HeldBytes::new(usage.clone(), Holder::ClientInput, 100);
    let replies = HeldBytes::new(usage.clone(), Holder::ClientReplies, 30);
    input.set(40);
    assert_eq!(usage.bytes(Holder::ClientInput), 40);
    assert_eq!(usage.total(), 70);
    drop(input);
    assert_eq!(usage.total(), 30);
    drop(replies);
    assert_eq!(usage.total(), 0);
}

#[test]
fn the_figures_of_the_kernel_are_read() {
    let status = "Name:\trouter\nVmHWM:\t   33000 kB\nVmRSS:\t   32000 kB\nRssFile:\t    3000 kB\n";
    let expected = ProcessMemory {
        peak_kib: 33_000,
        resident_kib: 32_000,
        program_kib: 3_000,
    };
    assert_eq!(ProcessMemory::parse(status), Some(expected));
    assert_eq!(ProcessMemory::parse("VmHWM:\tmuch\n"), None);
}
