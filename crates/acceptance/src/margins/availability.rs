//! Derives the periods in which each server was not ready from the notifications of all nodes.
//!
//! Lists may arrive late: a node may receive that a server is ready after another node was notified that it is not. A
//! notification that is older than the known state, by the server's start and the list's version, is ignored.

use std::collections::HashMap;

use crate::trace::Micros;

/// A state of a server that a node was notified of.
#[derive(Debug, Clone, Copy)]
pub(super) struct StateNotification {
    pub(super) at: Micros,
    /// Version of the list.
    pub(super) version: u64,
    /// Start time of the server in the list.
    pub(super) started: Micros,
    pub(super) is_ready: bool,
}

impl StateNotification {
    /// Whether this is older than the known state: its list is not newer and its server start is earlier. A server that
    /// is not ready does not become ready again through the same or an older list unless it has restarted.
    fn is_outdated(&self, known: &KnownState) -> bool {
        let of_earlier_start = if self.is_ready {
            self.started <= known.started
        } else {
            self.started < known.started
        };
        of_earlier_start && self.version <= known.version
    }
}

/// State of a server according to the notifications up to a point in time.
#[derive(Debug, Clone, Copy)]
struct KnownState {
    /// Latest version of a list that contains the server.
    version: u64,
    /// Latest known start of the server.
    started: Micros,
    is_ready: bool,
}

/// A period in which a server was not ready.
#[derive(Debug, Clone, Copy)]
struct UnreadyPeriod {
    /// Time at which the first node was notified that the server is not ready.
    first_notified: Micros,
    /// Time at which the first node was notified that the server is ready again.
    until: Option<Micros>,
}

/// The notifications of all servers, and the periods derived from them.
#[derive(Debug, Default)]
pub(super) struct Availability {
    notifications: HashMap<u32, Vec<StateNotification>>,
    unready_periods: HashMap<u32, Vec<UnreadyPeriod>>,
}

impl Availability {
    /// Adds a notification. The order does not matter.
    pub(super) fn add(&mut self, server: u32, notification: StateNotification) {
        let notifications = self.notifications.entry(server).or_default();
        notifications.push(notification);
    }

    /// Computes the periods after all notifications were added.
    pub(super) fn find_periods(&mut self) {
        for (server, mut notifications) in self.notifications.drain() {
            notifications.sort_by_key(|notification| notification.at);
            let periods = unready_periods(&notifications);
            self.unready_periods.insert(server, periods);
        }
    }

    /// Time at which the first node was notified that a server is not ready, for the period that contains `at`.
    pub(super) fn first_unready_notification(&self, server: u32, at: Micros) -> Option<Micros> {
        let periods = self.unready_periods.get(&server)?;
        let begun = periods.partition_point(|period| period.first_notified <= at);
        let last = periods[..begun].last()?;
        let is_over = last.until.is_some_and(|until| until <= at);
        (!is_over).then_some(last.first_notified)
    }
}

/// The periods of one server, from its notifications sorted by time.
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
