//! The origin: faults, rejections, and the collapse under sustained saturation.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use cluster_model::machine::{JobId, MachineConfig};
use cluster_model::origin::{Admission, Fault, FaultInjection, Origin, OriginConfig, Response};
use cluster_model::{CompletedJob, Micros, random_stream};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

const UNPROCESSED: Admission = Admission::Answered(Response::Unprocessed);

fn completed(job: JobId, response: Response) -> CompletedJob<Response> {
    CompletedJob { job, response }
}

#[test]
fn calls_fail_after_processing_or_on_arrival_and_accepted_calls_are_completed() {
    let machine = MachineConfig {
        cores: 2.0,
        slots: 2,
        queue_capacity: 1,
        ..MachineConfig::default()
    };
    let config = OriginConfig {
        machine,
        ..OriginConfig::default()
    };
    let mut origin = Origin::new(config, 0);
    let mut random = random_stream(1, 1);
    let mut submit = |origin: &mut Origin, job| origin.submit(0, job, 10_000.0, &mut random);
    let all_fail = |fault| Some(FaultInjection { fault, share: 1.0 });
    origin.set_fault(all_fail(Fault::FailAfterProcessing));
    assert_eq!(submit(&mut origin, 1), Admission::Accepted);
    origin.set_fault(all_fail(Fault::RejectOnArrival));
    assert_eq!(submit(&mut origin, 2), UNPROCESSED);
    origin.set_fault(None);
    assert_eq!(submit(&mut origin, 3), Admission::Accepted);
    assert_eq!(submit(&mut origin, 4), Admission::Accepted, "queued");
    assert_eq!(submit(&mut origin, 5), UNPROCESSED, "the queue is full");
    assert_eq!(origin.next_event_at(), Some(10 * MILLISECOND));
    assert_eq!(
        origin.take_completed(10 * MILLISECOND),
        [completed(1, Response::Failed), completed(3, Response::Done)]
    );
    assert_eq!(
        origin.take_completed(20 * MILLISECOND),
        [completed(4, Response::Done)]
    );
}

#[test]
fn an_origin_that_stays_saturated_collapses_and_recovers_and_a_time_without_rejections_ends_saturation()
 {
    let machine = MachineConfig {
        cores: 1.0,
        slots: 1,
        queue_capacity: 0,
        ..MachineConfig::default()
    };
    let config = OriginConfig {
        machine,
        collapse_after: SECOND,
        saturation_end_delay: 200 * MILLISECOND,
        restart_delay: 2 * SECOND,
    };
    let mut origin = Origin::new(config, 0);
    let mut random = random_stream(1, 1);
    let mut submit =
        |origin: &mut Origin, at, job| origin.submit(at, job, 10_000_000.0, &mut random);
    assert_eq!(submit(&mut origin, 0, 1), Admission::Accepted);
    // It rejects calls from 0.1 to 0.9 s and none in the next 0.3 s, which ends the first period of saturation.
    for tenth in (1..=9).chain(12..=21) {
        let at = tenth * 100 * MILLISECOND;
        assert_eq!(submit(&mut origin, at, 10 + tenth), UNPROCESSED);
    }
    assert_eq!(
        submit(&mut origin, 2_200 * MILLISECOND, 99),
        Admission::Collapsed(vec![1])
    );
    assert_eq!((origin.collapses(), origin.next_event_at()), (1, None));
    let refused = Admission::Answered(Response::Refused);
    assert_eq!(submit(&mut origin, 4_199 * MILLISECOND, 100), refused);
    assert_eq!(
        submit(&mut origin, 4_200 * MILLISECOND, 101),
        Admission::Accepted
    );
}
