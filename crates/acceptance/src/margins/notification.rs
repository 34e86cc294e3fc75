//! How late nodes were notified that a server is draining or removed, and the latest send to one.

use super::findings::{NotificationDelay, SendAfterDrain};
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
        let first = recording.first_unready_notification(send.server, send.at);
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

/// The longest that a node was not notified.
pub(super) fn longest_delay(recording: &Recording) -> Option<NotificationDelay> {
    let delays = recording.notifications.iter().map(|notification| {
        let at = notification.at;
        let first = recording
            .first_unready_notification(notification.server, at)
            .unwrap_or(at);
        let due_since = first.max(notification.process_started).min(at);
        NotificationDelay {
            delay: at - due_since,
            node: notification.node,
        }
    });
    delays.max()
}
