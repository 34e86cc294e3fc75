//! The servers in the order of a key (rendezvous hashing), the first of them kept for keys that come again.

use super::{PositionHash, unit_interval};
use crate::interface::{Key, ServerId};

/// About so many servers of a key's order are found at first, and this multiple each time that more are needed.
const FIRST_SERVERS: u64 = 16;
const SEGMENT_GROWTH: u64 = 8;
/// Keys whose first servers are kept: about 150 KB.
const KEPT_KEYS: usize = 512;
/// The kept servers of a key are found anew once changes of the fleet have made them so many.
const MOST_KEPT_SERVERS: usize = 64;
/// Changes of the fleet by more servers at once are not worked into what is kept.
const MOST_CHANGES: usize = 32;

/// A server's place in the order of a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Placement {
    /// Servers are in the order of falling hashes.
    hash: u64,
    /// The server.
    pub(crate) server: ServerId,
}

impl Placement {
    /// The hash as a number between 0 and 1, the same for a few hashes that are next to each other.
    pub(crate) fn draw(self) -> f64 {
        unit_interval(self.hash)
    }
}

/// Consecutive servers of a key's order.
pub(crate) struct OrderSegment {
    /// Servers with falling hashes.
    pub(crate) servers: Vec<Placement>,
    /// All servers with lower hashes come later in the order, all others are in this segment or one before.
    lower_bound: u64,
}

impl OrderSegment {
    /// Whether no server is behind it.
    pub(crate) fn is_last(&self) -> bool {
        self.lower_bound == 0
    }

    /// The draws of all servers behind it are at most this.
    pub(crate) fn most_draw_behind(&self) -> f64 {
        unit_interval(self.lower_bound)
    }
}

struct KeptOrder {
    key: Key,
    first: OrderSegment,
}

/// The servers that may be chosen, and the first in the order of recent keys.
#[derive(Default)]
pub(crate) struct KeyOrders {
    /// In rising order, in one piece: each server is hashed for a key that is new.
    servers: Vec<ServerId>,
    /// By the remainder of the key; a key takes the place of another.
    kept: Vec<Option<KeptOrder>>,
}

impl KeyOrders {
    /// Takes the servers that may be chosen from now on, in rising order.
    pub(crate) fn set_servers(&mut self, servers: Vec<ServerId>) {
        if servers == self.servers {
            return;
        }
        let removed = difference(&self.servers, &servers);
        let added = difference(&servers, &self.servers);
        self.servers = servers;
        if removed.len() + added.len() > MOST_CHANGES {
            self.kept.clear();
            return;
        }
        for slot in &mut self.kept {
            let Some(order) = slot else { continue };
            order.change(&removed, &added);
            if order.first.servers.len() > MOST_KEPT_SERVERS {
                *slot = None;
            }
        }
    }

    /// Takes out the first servers of a key's order, to be given back by [`KeyOrders::keep`].
    pub(crate) fn take_first(&mut self, key: Key) -> OrderSegment {
        let kept = self.kept.get_mut(slot_of(key)).and_then(Option::take);
        match kept.filter(|order| order.key == key) {
            Some(order) => order.first,
            None => first_segment(&self.servers, key),
        }
    }

    /// Keeps the first servers of a key's order for the next time.
    pub(crate) fn keep(&mut self, key: Key, first: OrderSegment) {
        if self.kept.is_empty() {
            self.kept.resize_with(KEPT_KEYS, || None);
        }
        self.kept[slot_of(key)] = Some(KeptOrder { key, first });
    }

    /// The servers that follow a segment of a key's order.
    pub(crate) fn next_segment(&self, key: Key, segment: &OrderSegment) -> OrderSegment {
        let width = u64::MAX - segment.lower_bound;
        let lower_bound = u64::MAX - width.saturating_mul(SEGMENT_GROWTH);
        let upper_bound = segment.lower_bound.saturating_sub(1);
        find_segment(&self.servers, key, lower_bound, upper_bound)
    }
}

impl KeptOrder {
    fn change(&mut self, removed: &[ServerId], added: &[ServerId]) {
        let first = &mut self.first;
        let is_removed = |server: &ServerId| removed.binary_search(server).is_ok();
        first.servers.retain(|place| !is_removed(&place.server));
        let segment = find_segment(added, self.key, first.lower_bound, u64::MAX);
        if !segment.servers.is_empty() {
            first.servers.extend(segment.servers);
            sort(&mut first.servers);
        }
    }
}

fn slot_of(key: Key) -> usize {
    (key % KEPT_KEYS as u64) as usize
}

fn first_segment(servers: &[ServerId], key: Key) -> OrderSegment {
    let part = u64::MAX / (servers.len() as u64).max(1);
    let lower_bound = u64::MAX - part.saturating_mul(FIRST_SERVERS);
    find_segment(servers, key, lower_bound, u64::MAX)
}

/// The servers whose hashes are from one bound to the other.
fn find_segment(
    servers: &[ServerId],
    key: Key,
    lower_bound: u64,
    upper_bound: u64,
) -> OrderSegment {
    let position = PositionHash::new(key);
    let width = upper_bound - lower_bound;
    let mut found = Vec::with_capacity(2 * FIRST_SERVERS as usize);
    for &server in servers {
        let hash = position.of(server);
        // One comparison for both bounds.
        if hash.wrapping_sub(lower_bound) <= width {
            found.push(Placement { hash, server });
        }
    }
    sort(&mut found);
    OrderSegment {
        servers: found,
        lower_bound,
    }
}

fn sort(servers: &mut [Placement]) {
    servers.sort_unstable_by_key(|place| (std::cmp::Reverse(place.hash), place.server));
}

/// What is in one rising list and not in another.
fn difference(servers: &[ServerId], others: &[ServerId]) -> Vec<ServerId> {
    let mut missing = Vec::new();
    let mut others = others.iter().peekable();
    for server in servers {
        while others.next_if(|other| *other < server).is_some() {}
        if others.next_if_eq(&server).is_none() {
            missing.push(*server);
        }
    }
    missing
}
