//! When each server took requests and when not, as the notifications of all nodes together show it.
//!
//! Lists come late: one node may still receive that a server is ready after another was notified that it is not. A
//! notification that is older than what is known already, by the server's start or the list's version, changes nothing.

use std::collections::HashMap;

use crate::trace::Micros;

/// What a node was notified of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct StateNotification {
    pub(super) at: Micros,
    /// Version of the list.
    pub(super) version: u64,
    /// The server's start as the list has it.
    pub(super) started: Micros,
    pub(super) is_ready: bool,
}

impl StateNotification {
    /// Whether this is older than what is known: no later list, and of an earlier start. A server that was not ready
    /// does not become so again in the same start by the same list or an earlier one, either.
    fn is_outdated(&self, known: &KnownState) -> bool {
        let of_earlier_start = if self.is_ready {
            self.started <= known.started
        } else {
            self.started < known.started
        };
        of_earlier_start && self.version <= known.version
    }
}

/// The state of a server, as the notifications until some time show it.
#[derive(Debug, Clone, Copy)]
struct KnownState {
    /// The latest version of a list that has it.
    version: u64,
    /// The latest start that was heard of.
    started: Micros,
    is_ready: bool,
}

/// A time in which a server took no requests.
#[derive(Debug, Clone, Copy)]
struct UnreadyPeriod {
    /// When the first node was notified.
    first_notified: Micros,
    /// When the first node was notified that the server is back.
    until: Option<Micros>,
}

/// The notifications of all servers and the periods that they amount to.
#[derive(Debug, Default)]
pub(super) struct Availability {
    notifications: HashMap<u32, Vec<StateNotification>>,
    unready_periods: HashMap<u32, Vec<UnreadyPeriod>>,
}

impl Availability {
    /// Takes a notification, in any order.
    pub(super) fn add(&mut self, server: u32, notification: StateNotification) {
        let notifications = self.notifications.entry(server).or_default();
        notifications.push(notification);
    }

    /// Finds the periods, once all notifications are there.
    pub(super) fn find_periods(&mut self) {
        for (server, mut notifications) in self.notifications.drain() {
            notifications.sort_by_key(|notification| notification.at);
            let periods = unready_periods(&notifications);
            self.unready_periods.insert(server, periods);
        }
    }

    /// When the first node was notified that a server is not ready, of the period that a time is in.
    pub(super) fn first_unready_notification(&self, server: u32, at: Micros) -> Option<Micros> {
        let periods = self.unready_periods.get(&server)?;
        let begun = periods.partition_point(|period| period.first_notified <= at);
        let last = periods[..begun].last()?;
        let is_over = last.until.is_some_and(|until| until <= at);
        (!is_over).then_some(last.first_notified)
    }
}

/// The periods of one server, from its notifications by time.
fn unready_periods(notifications: &[StateNotification]) -> Vec<UnreadyPeriod> {
    let mut periods: Vec<UnreadyPeriod> = Vec::new();
    let mut known = KnownState {
        version: 0,
        started: 0,
        is_ready: true,
    };
    for notification in notifications {
        if notification.is_outdated(&known) {
            continue;
        }
        match (known.is_ready, notification.is_ready) {
            (true, false) => periods.push(UnreadyPeriod {
                first_notified: notification.at,
                until: None,
            }),
            (false, true) => {
                if let Some(period) = periods.last_mut() {
                    period.until = Some(notification.at);
                }
            }
            _ => {}
        }
        known = KnownState {
            version: known.version.max(notification.version),
            started: known.started.max(notification.started),
            is_ready: notification.is_ready,
        };
    }
    periods
}
