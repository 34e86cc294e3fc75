//! Evaluates the delay until nodes were notified that a server is draining or removed, and the latest send to such a
//! server.

use super::findings::{Notification, NotificationDelay, SendAfterDrain};
use super::limits::COUNTS_AS_NOTIFIED_AFTER_US;
use super::recording::Recording;

/// The latest send to a server after its node was notified, or counted as notified, that the server is draining or
/// removed.
pub(super) fn latest_send_after_drain(recording: &Recording) -> Option<SendAfterDrain> {
    let mut worst: Option<SendAfterDrain> = None;
    for send in &recording.sends {
        let since_own_list = send
            .unready_since
            .map(|since| send.at.saturating_sub(since));
        // The first notification of any node shows when discovery had the change.
        let availability = &recording.availability;
        let first = availability.first_unready_notification(send.server, send.at);
        let since_counted_as_notified =
            first.and_then(|first| send.at.checked_sub(first + COUNTS_AS_NOTIFIED_AFTER_US));
        let Some(elapsed) = since_own_list.max(since_counted_as_notified) else {
            continue;
        };
        if worst.as_ref().is_none_or(|worst| elapsed > worst.elapsed) {
            worst = Some(SendAfterDrain {
                server: send.server,
                node: send.node,
                elapsed,
                in_own_list: since_own_list >= since_counted_as_notified,
            });
        }
    }
    worst
}

/// The longest delays until nodes were notified. A process that starts later gets no extra time: a change counts as
/// notified at the same time for all processes.
pub(super) fn evaluate(recording: &Recording) -> Notification {
    let mut found = Notification::default();
    for notification in &recording.unready_notifications {
        let (at, node) = (notification.at, notification.node);
        let first = recording
            .availability
            .first_unready_notification(notification.server, at)
            .map_or(at, |first| first.min(at));
        let (longest, since) = if notification.process_started < first + COUNTS_AS_NOTIFIED_AFTER_US
        {
            (&mut found.longest_delay, first)
        } else {
            (&mut found.longest_after_start, notification.process_started)
        };
        let delay = NotificationDelay {
            delay: at.saturating_sub(since),
            node,
        };
        *longest = (*longest).max(Some(delay));
    }
    found
}
