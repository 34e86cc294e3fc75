//! Evaluates the time until restarted processes were ready.

use super::findings::{Readiness, ReadinessDelay};
use super::limits::{READY_TIME_LIMIT_AT_DAY_END_US, READY_TIME_LIMIT_US};
use super::recording::{RecordedProcess, Recording};
use crate::trace::Micros;

/// Evaluates the restarted processes, which are those whose node had an earlier process.
pub(super) fn evaluate(recording: &Recording) -> Readiness {
    let end_of_day = recording.end_of_day();
    let mut found = Readiness::default();
    let restarted = recording
        .processes
        .iter()
        .filter(|process| process.is_restart);
    for process in restarted {
        let delay = readiness_delay(process, end_of_day);
        match is_in_time(delay, end_of_day.saturating_sub(process.launched)) {
            Some(in_time) => {
                found.judged += 1;
                found.late += u64::from(!in_time);
            }
            None => found.undetermined += 1,
        }
        let is_slowest = found
            .slowest
            .is_none_or(|slowest| delay.delay > slowest.delay);
        if is_slowest {
            found.slowest = Some(delay);
        }
    }
    found
}

/// Time until a process was ready, or for which process ran without becoming ready.
fn readiness_delay(process: &RecordedProcess, end_of_day: Micros) -> ReadinessDelay {
    let has_ended =
        process.is_replaced || process.has_exited || process.shutdown_requested_at.is_some();
    let ran_until = if has_ended {
        process.last_line
    } else {
        end_of_day
    };
    ReadinessDelay {
        node: process.node,
        delay: process
            .ready_at
            .unwrap_or(ran_until)
            .saturating_sub(process.launched),
        became_ready: process.ready_at.is_some(),
    }
}

/// Whether a process was ready in time, if the recording shows that. `rest_of_day` is the time from its launch to the
/// end of the day.
fn is_in_time(delay: ReadinessDelay, rest_of_day: Micros) -> Option<bool> {
    let limit = if rest_of_day >= READY_TIME_LIMIT_US {
        READY_TIME_LIMIT_US
    } else {
        READY_TIME_LIMIT_AT_DAY_END_US
    };
    if delay.became_ready {
        Some(delay.delay <= limit)
    } else if delay.delay > limit {
        Some(false)
    } else {
        None
    }
}
