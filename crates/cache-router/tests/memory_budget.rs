//! Reservations of memory.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::time::Duration;

use bytes::Bytes;
use cache_router::memory_budget::MemoryBudget;

#[tokio::test]
async fn memory_is_given_back_with_the_last_reference_to_its_content() {
    let budget = MemoryBudget::new(100);
    let mut reservation = budget.try_reserve(60).unwrap();
    assert!(budget.try_reserve(41).is_none());
    reservation.merge(budget.try_reserve(30).unwrap());
    assert!(budget.is_short());
    reservation.shrink_to(50);
    assert_eq!((reservation.bytes(), budget.free_bytes()), (50, 50));
    let content = reservation.attach_to(Bytes::from_static(b"content"));
    let part = content.slice(1..3);
    drop(content);
    assert_eq!((&part[..], budget.free_bytes()), (&b"on"[..], 50));
    drop(part);
    assert_eq!(budget.free_bytes(), 100);
}

#[tokio::test(start_paused = true)]
async fn who_waits_for_memory_gets_it_in_order_and_more_than_there_is_is_cut() {
    let budget = MemoryBudget::new(100);
    let held = budget.reserve(1_000).await;
    assert_eq!(held.bytes(), 100);
    let waits = budget.reserve(10);
    assert!(
        tokio::time::timeout(Duration::from_secs(1), waits)
            .await
            .is_err()
    );
    drop(held);
    assert_eq!(budget.reserve(10).await.bytes(), 10);
}
