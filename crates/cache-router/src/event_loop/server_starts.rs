//! Determines when each server process started, as a time on the router's monotonic clock.
//!
//! # Problem
//!
//! Discovery reports each process start as Unix time. This stamp identifies the process: another stamp for the same
//! server, earlier or later, means another process. The stamp alone does not tell the age of the process. The wall
//! clocks of this machine and of discovery may be wrong or may be stepped, by seconds or by hours, at any time.
//!
//! The age decides how much load a server gets. A server that started recently is cold: it takes only a part of its
//! normal load until its warm-up period is over. A cold server that is taken for a warm one is overloaded and
//! collapses. A warm server that is taken for a cold one only gets less load than it could serve. Where the evidence
//! leaves a choice, a server is therefore assumed to be as young as it can be.
//!
//! # Method
//!
//! These rules use the available evidence, from the strongest to the weakest:
//!
//! 1. **Bounds on the router's clock.** A process did not start later than the first list that has its stamp. If an
//!    earlier list had the same server with another stamp, the process did not start before that list either. Its start
//!    lies within these bounds, whatever the wall clocks say. While nothing changes, the empty lines of a watch confirm
//!    the list, so the bounds are close together.
//! 2. **The wall clock, within the bounds.** The stamp is converted to the router's clock by means of this machine's
//!    wall clock. If the result lies within the bounds, it is the start. It is exact if the wall clocks agree, even if
//!    discovery was down and its list arrives late.
//! 3. **The offset of discovery's clock.** Each start with bounds gives a range for the difference between discovery's
//!    clock and the router's. The ranges of successive starts are intersected. If they contradict each other, a clock
//!    was stepped in between, and only the latest range is kept. If the wall clock lies outside the range, the lowest
//!    offset of the range is used instead. With this offset every server appears younger than it is, by the shortest
//!    delay between a start and its list.
//! 4. **New servers.** A server that no earlier list had is usually new, but it may be an old process that is listed
//!    late. Its stamp is used if it lies after the last list, or if starts with bounds have shown that the wall clock
//!    agrees with discovery's. Otherwise the server is assumed to have started now. A new server never makes the router
//!    distrust its wall clock.
//! 5. **The first list.** The first list of this router process, and the cached list, whose age is not known, give no
//!    lower bound. To assume that all their servers are cold would take the whole fleet out of normal service at each
//!    start of a router. The wall clock is therefore used as far as possible. A stamp that it places in the future is
//!    impossible. The ages of such servers are counted relative to the newest of them, which is assumed to have started
//!    now. Thus a wall clock that is behind makes few servers cold, instead of all that started within its error. A
//!    wall clock that is ahead cannot be detected at that time. Once a range reveals it, the servers that were dated by
//!    the wall clock alone and are still warming up go back to slow start. Their start is then set no later than the
//!    time when this router first had them on its list.
//! 6. **Common shift.** The stamps of most servers may move by the same amount at once ([`CommonShift`]). If the bounds
//!    show that these cannot all be restarts, they are the same processes under a clock that was stepped, and all of
//!    them keep their ages.
//!
//! A stamp of 0 says only that the start was long ago. It does not mean a restart of a server whose start is known. The
//! first stamp of a server that had none is a restart.
//!
//! # Bounds on the error
//!
//! A change may arrive late, after a list or an empty line that was sent after the start. The server then appears
//! younger than it is, by that delay at the most.
//!
//! # Known limits
//!
//! The following cases are not covered:
//!
//! - A wall clock that is ahead when the router starts, until the next start with bounds.
//! - A wall clock that is wrong by less than the time since the last list or empty line.
//! - Servers that get new stamps one list after another, or that had all started within seconds of each other. They
//!   count as restarted and warm up once.

use std::collections::HashMap;

use routing_policy::{Micros, ServerId};

use super::clock_offset::{ClockOffset, OffsetRange};
use super::restamp::{CommonShift, StampChange};
use crate::clock::{Moment, UnixTime};

/// Stamps from the year 2169 on, in microseconds, are set by no clock. They give no information about other servers.
const MAX_CREDIBLE_STAMP: Micros = 200 * 365 * 24 * 3_600 * 1_000_000;
/// How long a server is remembered after it was removed from the list, in microseconds, since it may return.
const UNLISTED_RETENTION: Micros = 3_600 * 1_000_000;

/// The start of a server as stated in an endpoint list.
#[derive(Debug, Clone, Copy)]
pub struct ListedStart {
    /// The server.
    pub server: ServerId,
    /// Discovery's stamp; `None` if the start was long ago.
    pub stamp: Option<UnixTime>,
}

/// What is known about the start of a server.
#[derive(Debug, Clone, Copy)]
struct KnownStart {
    /// Discovery's stamp; `None` if the start was long ago.
    stamp: Option<UnixTime>,
    /// The start on the router's clock; 0 if it was long ago.
    started: Micros,
    /// When this stamp was first in a list.
    first_listed_at: Micros,
    /// Whether the start has no lower bound, so that it depends on the wall clock alone.
    lacks_lower_bound: bool,
    /// When the last list with this server was received or confirmed, if the current list does not have it.
    last_listed_at: Option<Micros>,
    /// When the server was first missing from a list, if the current list does not have it.
    unlisted_since: Option<Micros>,
}

/// The starts of the servers in the current endpoint list, and of those that were in it recently.
#[derive(Debug, Default)]
pub struct ServerStarts {
    servers: HashMap<ServerId, KnownStart>,
    /// When the last list from discovery was received or confirmed.
    last_list_at: Option<Micros>,
    /// When the list before that one was received or confirmed.
    list_before_at: Option<Micros>,
    /// The range of the offset of discovery's clock, if starts have shown one.
    offset: Option<OffsetRange>,
    /// When expired entries of unlisted servers are removed next.
    next_expiry_at: Micros,
}

impl ServerStarts {
    /// Returns when a server started, on the router's clock; 0 if that was long ago.
    pub fn started_at(&self, server: ServerId) -> Micros {
        self.servers.get(&server).map_or(0, |known| known.started)
    }

    /// Returns discovery's stamp of a server's start; `None` if the start was long ago.
    pub fn stamp(&self, server: ServerId) -> Option<UnixTime> {
        self.servers.get(&server)?.stamp
    }

    /// Records a list that was just received from discovery.
    pub fn record_list(&mut self, listed: &[ListedStart], moment: Moment) {
        self.record_cached_list(listed, moment);
        self.confirm_list(moment.at);
    }

    /// Records that the list recorded last, which may be the cached one, is still current.
    pub fn confirm_list(&mut self, now: Micros) {
        self.list_before_at = self.last_list_at.replace(now);
    }

    /// Records a cached list, whose age is not known.
    pub fn record_cached_list(&mut self, listed: &[ListedStart], moment: Moment) {
        self.expire_unlisted(moment.at);
        self.handle_common_shift(listed, moment);
        self.narrow_offset_by_restarts(listed, moment);
        let newest = newest_credible_stamp(listed);
        for start in listed {
            self.record_start(*start, newest, moment);
        }
    }

    /// Records that the list recorded last no longer has a server. The server's next process may have started before
    /// that list, but not before the last list that had the server.
    pub fn remove(&mut self, server: ServerId, now: Micros) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.last_listed_at = Some(self.list_before_at.unwrap_or(0));
            known.unlisted_since = Some(now);
        }
    }

    /// Corrects the starts of servers that counted as warm according to a wall clock that has proven wrong: they return
    /// to slow start. Returns these servers.
    pub fn revise(&mut self, warm_up_period: Micros, moment: Moment) -> Vec<ServerId> {
        let wall_clock = ClockOffset::of_wall_clock(moment);
        let Some(range) = self.offset.filter(|range| !range.contains(wall_clock)) else {
            return Vec::new();
        };
        let offset = range.estimate(wall_clock);
        let mut revised = Vec::new();
        for (server, known) in &mut self.servers {
            let Some(stamp) = known.stamp.filter(|_| known.lacks_lower_bound) else {
                continue;
            };
            let started = offset.router_time(stamp).min(known.first_listed_at);
            let is_warming_up = started.saturating_add(warm_up_period) > moment.at;
            if started > known.started && is_warming_up {
                known.started = started;
                revised.push(*server);
            }
        }
        revised.sort_unstable();
        revised
    }

    fn record_start(&mut self, start: ListedStart, newest: Option<UnixTime>, moment: Moment) {
        let known = self.servers.get(&start.server).copied();
        let lacks_lower_bound = self.last_list_at.is_none();
        let started = match (known, start.stamp) {
            (Some(known), stamp) if stamp.is_none() || stamp == known.stamp => {
                let listed_again = KnownStart {
                    last_listed_at: None,
                    unlisted_since: None,
                    ..known
                };
                self.servers.insert(start.server, listed_again);
                return;
            }
            (_, None) => 0,
            (None, Some(stamp)) if lacks_lower_bound => {
                self.start_without_lower_bound(stamp, newest, moment)
            }
            (None, Some(stamp)) => self.start_of_new_server(stamp, moment),
            (Some(known), Some(stamp)) => self.start_of_restart(&known, stamp, moment),
        };
        let known = KnownStart {
            stamp: start.stamp,
            started,
            first_listed_at: moment.at,
            lacks_lower_bound,
            last_listed_at: None,
            unlisted_since: None,
        };
        self.servers.insert(start.server, known);
    }

    /// Returns the start of a server in the first list.
    fn start_without_lower_bound(
        &self,
        stamp: UnixTime,
        newest: Option<UnixTime>,
        moment: Moment,
    ) -> Micros {
        let started = self.estimated_offset(moment).router_time(stamp);
        if started <= moment.at {
            return started;
        }
        // The age is counted relative to the newest server. Only a stamp that no clock can have given lies after that
        // one.
        let age_difference =
            newest.map_or(0, |newest| newest.micros().saturating_sub(stamp.micros()));
        moment.at.saturating_sub(age_difference).max(1)
    }

    /// Returns the start of a server that no earlier list had.
    fn start_of_new_server(&mut self, stamp: UnixTime, moment: Moment) -> Micros {
        let not_before = self.last_list_at.unwrap_or(0);
        let started = self.estimated_offset(moment).router_time(stamp);
        if started > moment.at {
            return moment.at;
        }
        if started >= not_before {
            let range = OffsetRange::of_start(stamp, not_before, moment.at);
            self.offset = match self.offset {
                Some(known) => known.intersection(range).or(Some(known)),
                None => Some(range),
            };
            return started;
        }
        if self.wall_clock_agrees(moment) {
            started
        } else {
            moment.at
        }
    }

    /// Returns the start of a process that replaced another process of the same server.
    fn start_of_restart(&self, before: &KnownStart, stamp: UnixTime, moment: Moment) -> Micros {
        let started = self.estimated_offset(moment).router_time(stamp);
        if (self.earliest_restart(before)..=moment.at).contains(&started) {
            started
        } else {
            moment.at
        }
    }

    /// Returns the earliest time at which a process that replaced another one can have started.
    fn earliest_restart(&self, before: &KnownStart) -> Micros {
        let last_listed_at = before.last_listed_at.or(self.last_list_at).unwrap_or(0);
        last_listed_at.max(before.started + 1)
    }

    /// Narrows the offset range of discovery's clock by the restarts in a list.
    fn narrow_offset_by_restarts(&mut self, listed: &[ListedStart], moment: Moment) {
        if self.last_list_at.is_none() {
            return;
        }
        for start in listed {
            let Some((before, stamp)) = self.changed_stamp(*start) else {
                continue;
            };
            let not_before = self.earliest_restart(before).min(moment.at);
            let range = OffsetRange::of_start(stamp, not_before, moment.at);
            let narrowed = self.offset.and_then(|known| known.intersection(range));
            self.offset = Some(narrowed.unwrap_or(range));
        }
    }

    /// Detects stamps that have moved by a common shift, and keeps the starts of their servers.
    fn handle_common_shift(&mut self, listed: &[ListedStart], moment: Moment) {
        let mut changes = Vec::new();
        let mut all_may_have_restarted = true;
        for start in listed {
            let Some((before, after)) = self.changed_stamp(*start) else {
                continue;
            };
            if let Some(stamp) = before.stamp {
                let change = StampChange {
                    before: stamp,
                    after,
                };
                changes.push((start.server, change));
                let started = self.estimated_offset(moment).router_time(after);
                let possible = self.earliest_restart(before)..=moment.at;
                all_may_have_restarted &= possible.contains(&started);
            }
        }
        if all_may_have_restarted {
            return;
        }
        let stamped = self.servers.values().filter(|known| known.is_stamped());
        let stamped = stamped.count();
        let only_changes: Vec<_> = changes.iter().map(|(_, change)| *change).collect();
        let Some(shift) = CommonShift::find(&only_changes, stamped) else {
            return;
        };
        for (server, change) in changes {
            if let Some(known) = self
                .servers
                .get_mut(&server)
                .filter(|_| shift.explains(change))
            {
                known.stamp = Some(change.after);
                known.lacks_lower_bound = false; // Its start is kept: its new stamp comes from the stepped clock.
            }
        }
        self.offset = None;
    }

    /// Returns what was known about a server and its new stamp, if the stamp has changed.
    fn changed_stamp(&self, start: ListedStart) -> Option<(&KnownStart, UnixTime)> {
        let before = self.servers.get(&start.server)?;
        let stamp = start.stamp.filter(|_| before.stamp != start.stamp)?;
        Some((before, stamp))
    }

    /// Returns the best estimate of the offset of discovery's clock.
    fn estimated_offset(&self, moment: Moment) -> ClockOffset {
        let wall_clock = ClockOffset::of_wall_clock(moment);
        self.offset
            .map_or(wall_clock, |range| range.estimate(wall_clock))
    }

    /// Returns whether the observed starts are consistent with the wall clock.
    fn wall_clock_agrees(&self, moment: Moment) -> bool {
        let wall_clock = ClockOffset::of_wall_clock(moment);
        self.offset.is_some_and(|range| range.contains(wall_clock))
    }

    fn expire_unlisted(&mut self, now: Micros) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now.saturating_add(UNLISTED_RETENTION);
        self.servers.retain(|_, known| {
            let unlisted_since = known.unlisted_since.unwrap_or(now);
            now.saturating_sub(unlisted_since) < UNLISTED_RETENTION
        });
    }
}

impl KnownStart {
    fn is_stamped(&self) -> bool {
        self.stamp.is_some() && self.unlisted_since.is_none()
    }
}

/// Returns the newest stamp of a list that a clock may have given, even a wrong one.
fn newest_credible_stamp(listed: &[ListedStart]) -> Option<UnixTime> {
    let stamps = listed.iter().filter_map(|start| start.stamp);
    stamps
        .filter(|stamp| stamp.micros() < MAX_CREDIBLE_STAMP)
        .max()
}
