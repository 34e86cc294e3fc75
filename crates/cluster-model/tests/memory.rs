//! The memory of a cache server: eviction by use and by age.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::Micros;
use cluster_model::memory::Memory;

const SECOND: Micros = 1_000_000;

#[test]
fn a_memory_evicts_the_least_recently_used_and_the_expired() {
    let mut memory = Memory::new(100, 10 * SECOND);
    for key in 1..=5 {
        memory.store(0, key, 20);
    }
    assert!(memory.get(1, 1), "used again");
    memory.store(2, 6, 30);
    assert_eq!(
        [1, 2, 3, 4, 5, 6].map(|key| memory.get(3, key)),
        [true, false, false, true, true, true]
    );
    assert_eq!((memory.used_bytes(), memory.len()), (90, 4));
    memory.store(4, 7, 101);
    assert!(!memory.get(4, 7), "larger than the whole memory");
    assert_eq!(memory.used_bytes(), 90);
    memory.store(5, 6, 10);
    assert_eq!(
        memory.used_bytes(),
        70,
        "a value takes the place of the old one"
    );
    assert!(!memory.get(10 * SECOND, 1), "expired");
    assert_eq!(memory.used_bytes(), 50);
    memory.remove(4);
    assert!(!memory.get(6, 4));
}
