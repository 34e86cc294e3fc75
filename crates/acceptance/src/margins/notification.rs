//! How late nodes were notified that a server is draining or removed, and the latest send to one.

use super::findings::{Notification, NotificationDelay, SendAfterDrain};
use super::limits::NOTIFIED_AFTER;
use super::recording::Recording;

/// The latest send to a server that its node was notified, or counts as notified, is draining or removed.
pub(super) fn latest_send_after_drain(recording: &Recording) -> Option<SendAfterDrain> {
    let mut worst: Option<SendAfterDrain> = None;
    for send in &recording.sends {
        let since_own_list = send
            .unready_since
            .map(|since| send.at.saturating_sub(since));
        // The first node to be notified shows when discovery had it.
        let availability = &recording.availability;
        let first = availability.first_unready_notification(send.server, send.at);
        let since_counted_as_notified =
            first.and_then(|first| send.at.checked_sub(first + NOTIFIED_AFTER));
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

/// The longest that nodes were not notified. A new process gets no new time: the change counts as notified when it
/// does for all.
pub(super) fn evaluate(recording: &Recording) -> Notification {
    let mut found = Notification::default();
    for notification in &recording.unready_notifications {
        let (at, node) = (notification.at, notification.node);
        let first = recording
            .availability
            .first_unready_notification(notification.server, at)
            .map_or(at, |first| first.min(at));
        let (longest, since) = if notification.process_started < first + NOTIFIED_AFTER {
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
