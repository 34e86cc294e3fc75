//! Requests during the shutdown of the router.

use cache_router::event_loop::timers::Timer;
use cache_router::lifecycle::{
    FINAL_WRITE_TIME, KILL_GRACE_PERIOD, MAX_KILL_DEADLINE, ShutdownStep,
};
use cache_router::message::{Reply, RouterEvent};

use crate::harness::{Harness, read_request};

#[tokio::test]
async fn a_request_after_sigterm_is_replied_to_before_the_router_exits_or_may_be_killed() {
    let mut harness = Harness::new().await;
    let terminated_at = harness.clock.now();
    harness.handle(RouterEvent::Terminate);
    let request = harness.request("2d");
    let now = harness.clock.now();
    let deadline = harness.in_flight().request(request).unwrap().deadline();
    assert!(deadline > now);
    assert!(deadline + FINAL_WRITE_TIME <= now + MAX_KILL_DEADLINE + KILL_GRACE_PERIOD);
    let reply_by = harness.event_loop.lifecycle().reply_by().unwrap();
    let end_by = harness.event_loop.lifecycle().end_by().unwrap();
    assert!(reply_by >= terminated_at && reply_by < end_by);
}

#[tokio::test]
async fn a_request_from_before_sigterm_has_its_reply_although_the_router_ends_before_its_deadline()
{
    let mut harness = Harness::new().await;
    let in_service = harness.request("1d");
    let mut stream = harness.accept().await;
    harness.step().await; // The connection is established.
    read_request(&mut stream, "1d").await;
    harness.handle(RouterEvent::Terminate);
    let reply_by = harness.event_loop.lifecycle().reply_by().unwrap();
    assert!(harness.in_flight().request(in_service).unwrap().deadline() > reply_by);
    harness.handle_timer(Timer::Shutdown(ShutdownStep::Close), reply_by);
    let reply = harness.replies.try_recv().unwrap();
    assert_eq!(
        (reply.sequence, reply.reply),
        (in_service, Reply::Encoded("-ERR failed\r\n".into()))
    );
    assert!(harness.in_flight().all_complete());
}
