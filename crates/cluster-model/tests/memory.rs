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
fn least_recently_used_and_expired_values_are_evicted() {
    let mut memory = Memory::new(100, 10 * SECOND);
    for key in 1..=5 {
        memory.store(0, key, 20);
    }
    assert!(memory.get(1, 1), "key 1 becomes the most recently used");
    memory.store(2, 6, 30);
    assert_eq!(
        [1, 2, 3, 4, 5, 6].map(|key| memory.get(3, key)),
        [true, false, false, true, true, true]
    );
    assert_eq!((memory.used_bytes(), memory.len()), (90, 4));
    memory.store(4, 7, 101);
    assert!(
        !memory.get(4, 7),
        "the value is larger than the whole memory"
    );
    assert_eq!(memory.used_bytes(), 90);
    memory.store(5, 6, 10);
    assert_eq!(
        memory.used_bytes(),
        70,
        "a value replaces the previous value of its key"
    );
    assert!(!memory.get(10 * SECOND, 1), "expired");
    assert_eq!(memory.used_bytes(), 50);
    memory.remove(4);
    assert!(!memory.get(6, 4));
}
