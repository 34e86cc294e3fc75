//! When the servers' processes started, on the router's clock.
//!
//! Discovery stamps each start with Unix time. The stamp names a process: another stamp, earlier or later, is another
//! process. How old the process is can't be read from it alone, since the wall clocks of this machine and of discovery's
//! may be wrong or stepped, by seconds or by hours, at any time. A cold server taken for a warm one is overloaded and
//! collapses, a warm one taken for cold only gets less than it could serve: where nothing else decides, a server is as
//! young as it can be. From the strongest evidence to the weakest:
//!
//! 1. **Bounds on the router's clock.** A process has not started later than a list first had its stamp, nor, if an
//!    earlier list had the same server with another stamp, before that list. The start lies within, whatever clocks say.
//!    While nothing changes, the empty lines of a watch confirm the list, so that the bounds are close.
//! 2. **Unix time where it agrees.** Within the bounds the stamp, put on the router's clock by the wall clock, is the
//!    start. With clocks that agree it is exact, also when discovery was down and its list comes late.
//! 3. **The offset of discovery's clock.** Each start with bounds gives a range for the difference between the clocks;
//!    the ranges of successive starts are intersected, and the latest one stands alone if they contradict each other (a
//!    clock was stepped since). Where the wall clock lies outside the range it is not believed. The least offset of the
//!    range takes its place: the least delay between a start and its list then counts as part of the age of none.
//! 4. **A server that no list had before** is usually new, but may be an old process that is listed late. Its stamp is
//!    believed if it lies after the last list, or if starts with bounds have shown that the wall clock agrees; else it
//!    has started now. It never makes the router doubt its clock.
//! 5. **The first list of this process** (and the cached one, whose age is not known) bounds nothing from below. To take
//!    all of it for cold at each start of a router would cost the service of the whole fleet, so the wall clock is
//!    believed as far as it is possible. What it puts into the future can't be: those servers count relative to the
//!    newest of them, which has started now, so that a wall clock that is behind makes few servers cold and not all that
//!    started within its error. A wall clock that is ahead can't be told at that time. Once a range shows it, servers
//!    known by it alone that are still warming up are taken back to their slow start, from when this router first had
//!    them on its list at the latest.
//! 6. **Stamps that move alike** on most servers at once ([`CommonShift`]) and can't be restarts by the bounds are the
//!    same processes under a clock that was stepped. All keep their ages.
//!
//! A stamp of 0 says only that the start was long ago: it is no restart of a server whose start is known. The first stamp of
//! a server that had none is a restart. A change that comes late, behind a list or an empty line that was sent after the
//! start, makes a server younger than it is by that delay at the most.
//!
//! What is not covered: a wall clock that is ahead when the router starts, until the next start with bounds; one that is
//! wrong by less than the time since the last list or empty line; servers stamped anew one list after another, or that had
//! all started within seconds of each other, which count as restarted and warm up once.

use std::collections::HashMap;

use routing_policy::{Micros, ServerId};

use super::clock_offset::{ClockOffset, OffsetRange};
use super::restamp::{CommonShift, StampChange};
use crate::clock::{Moment, UnixTime};

/// No clock says the year 2169, in microseconds: a stamp from then on says nothing about other servers.
const LATEST_STAMP: Micros = 200 * 365 * 24 * 3_600 * 1_000_000;
/// A server that is not listed any more is remembered for this long, in microseconds, as it may return.
const REMEMBERED_FOR: Micros = 3_600 * 1_000_000;

/// The start of a server as a list has it.
#[derive(Debug, Clone, Copy)]
pub struct ListedStart {
    /// The server.
    pub server: ServerId,
    /// Discovery's stamp; `None` for long ago.
    pub stamp: Option<UnixTime>,
}

/// What is known of the start of a server.
#[derive(Debug, Clone, Copy)]
struct KnownStart {
    /// Discovery's stamp; `None` for long ago.
    stamp: Option<UnixTime>,
    /// The start on the router's clock; 0 for long ago.
    started: Micros,
    /// When a list first had this stamp.
    first_listed_at: Micros,
    /// Whether it rests on the wall clock alone.
    has_no_bound: bool,
    /// When the last list that had it came, if the present one has it no more.
    last_listed_at: Option<Micros>,
    /// When a list first did not have it, if the present one has it no more.
    unlisted_since: Option<Micros>,
}

/// The starts of the servers of the endpoint list in force, and of those that were on it lately.
#[derive(Debug, Default)]
pub struct ServerStarts {
    servers: HashMap<ServerId, KnownStart>,
    /// When a list last came from discovery.
    last_list_at: Option<Micros>,
    /// When the list before that one came.
    list_before_at: Option<Micros>,
    /// The offset of discovery's clock, as far as starts have shown it.
    offset: Option<OffsetRange>,
    /// When servers that returned to no list are forgotten next.
    forget_at: Micros,
}

impl ServerStarts {
    /// When a server started, on the router's clock; 0 for long ago.
    pub fn started_at(&self, server: ServerId) -> Micros {
        self.servers.get(&server).map_or(0, |known| known.started)
    }

    /// Discovery's stamp of a server's start; `None` for long ago.
    pub fn stamp(&self, server: ServerId) -> Option<UnixTime> {
        self.servers.get(&server)?.stamp
    }

    /// Takes a list that has just come from discovery.
    pub fn record_list(&mut self, listed: &[ListedStart], moment: Moment) {
        self.record_cached_list(listed, moment);
        self.confirm_list(moment.at);
    }

    /// The list that was taken last, be it the cached one, is still in force.
    pub fn confirm_list(&mut self, now: Micros) {
        self.list_before_at = self.last_list_at.replace(now);
    }

    /// Takes a list that was kept from an earlier time, nobody knows which.
    pub fn record_cached_list(&mut self, listed: &[ListedStart], moment: Moment) {
        self.forget_unlisted(moment.at);
        self.follow_restamp(listed, moment);
        self.observe_restarts(listed, moment);
        let newest = newest_possible(listed);
        for start in listed {
            self.record_start(*start, newest, moment);
        }
    }

    /// The list that was just taken does not have a server any more. Its next process may have started before that list,
    /// but not before the last one that had it.
    pub fn remove(&mut self, server: ServerId, now: Micros) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.last_listed_at = Some(self.list_before_at.unwrap_or(0));
            known.unlisted_since = Some(now);
        }
    }

    /// Takes back to their slow start the servers that passed for warm by a wall clock that has proven wrong, and
    /// returns them.
    pub fn revise(&mut self, warm_up_period: Micros, moment: Moment) -> Vec<ServerId> {
        let wall_clock = ClockOffset::of_wall_clock(moment);
        let Some(range) = self.offset.filter(|range| !range.contains(wall_clock)) else {
            return Vec::new();
        };
        let offset = range.estimate(wall_clock);
        let mut revised = Vec::new();
        for (server, known) in &mut self.servers {
            let Some(stamp) = known.stamp.filter(|_| known.has_no_bound) else {
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
        let has_no_bound = self.last_list_at.is_none();
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
            (None, Some(stamp)) if has_no_bound => self.unbounded_start(stamp, newest, moment),
            (None, Some(stamp)) => self.start_of_unlisted(stamp, moment),
            (Some(known), Some(stamp)) => self.start_after(&known, stamp, moment),
        };
        let known = KnownStart {
            stamp: start.stamp,
            started,
            first_listed_at: moment.at,
            has_no_bound,
            last_listed_at: None,
            unlisted_since: None,
        };
        self.servers.insert(start.server, known);
    }

    /// The start of a server in the first list.
    fn unbounded_start(&self, stamp: UnixTime, newest: Option<UnixTime>, moment: Moment) -> Micros {
        let started = self.estimated_offset(moment).router_time(stamp);
        if started <= moment.at {
            return started;
        }
        // Relative to the newest; none is newer but by a stamp that says nothing.
        let newer = newest.map_or(0, |newest| newest.micros().saturating_sub(stamp.micros()));
        moment.at.saturating_sub(newer).max(1)
    }

    /// The start of a server that no list had before.
    fn start_of_unlisted(&mut self, stamp: UnixTime, moment: Moment) -> Micros {
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

    /// The start of a server's process that came after another one.
    fn start_after(&self, before: &KnownStart, stamp: UnixTime, moment: Moment) -> Micros {
        let started = self.estimated_offset(moment).router_time(stamp);
        if (self.earliest_restart(before)..=moment.at).contains(&started) {
            started
        } else {
            moment.at
        }
    }

    /// A process that follows another one has not started before this.
    fn earliest_restart(&self, before: &KnownStart) -> Micros {
        let last_listed_at = before.last_listed_at.or(self.last_list_at).unwrap_or(0);
        last_listed_at.max(before.started + 1)
    }

    /// Narrows the offset of discovery's clock down by the restarts of a list.
    fn observe_restarts(&mut self, listed: &[ListedStart], moment: Moment) {
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

    /// Takes stamps that have moved alike for the same starts.
    fn follow_restamp(&mut self, listed: &[ListedStart], moment: Moment) {
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
                known.has_no_bound = false; // Its age stands, and stamps are of another clock now.
            }
        }
        self.offset = None;
    }

    /// What was known of a server and its new stamp, if the stamp has changed.
    fn changed_stamp(&self, start: ListedStart) -> Option<(&KnownStart, UnixTime)> {
        let before = self.servers.get(&start.server)?;
        let stamp = start.stamp.filter(|_| before.stamp != start.stamp)?;
        Some((before, stamp))
    }

    /// The offset of discovery's clock to reckon with.
    fn estimated_offset(&self, moment: Moment) -> ClockOffset {
        let wall_clock = ClockOffset::of_wall_clock(moment);
        self.offset
            .map_or(wall_clock, |range| range.estimate(wall_clock))
    }

    /// Whether starts have shown that the wall clock may be right.
    fn wall_clock_agrees(&self, moment: Moment) -> bool {
        let wall_clock = ClockOffset::of_wall_clock(moment);
        self.offset.is_some_and(|range| range.contains(wall_clock))
    }

    fn forget_unlisted(&mut self, now: Micros) {
        if now < self.forget_at {
            return;
        }
        self.forget_at = now.saturating_add(REMEMBERED_FOR);
        self.servers.retain(|_, known| {
            let unlisted_since = known.unlisted_since.unwrap_or(now);
            now.saturating_sub(unlisted_since) < REMEMBERED_FOR
        });
    }
}

impl KnownStart {
    fn is_stamped(&self) -> bool {
        self.stamp.is_some() && self.unlisted_since.is_none()
    }
}

/// The newest stamp of a list that a clock may have given, even one that is set wrong.
fn newest_possible(listed: &[ListedStart]) -> Option<UnixTime> {
    let stamps = listed.iter().filter_map(|start| start.stamp);
    stamps.filter(|stamp| stamp.micros() < LATEST_STAMP).max()
}
