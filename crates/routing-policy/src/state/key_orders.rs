//! Rendezvous hashing: orders the servers for a key, and caches the first part of the order for recently used
//! keys.

use super::{PositionHash, unit_interval};
use crate::interface::{Key, ServerId};

/// Approximate number of servers in the first segment of a key's order.
const FIRST_SEGMENT_SERVERS: u64 = 16;
/// Factor by which each further segment extends the covered hash range.
const SEGMENT_GROWTH: u64 = 8;
/// Number of keys whose first segment is cached. The cache takes about 150 KB.
const CACHED_KEYS: usize = 512;
/// A cached segment that list updates have grown beyond this many servers is discarded and computed again on
/// the next use.
const MAX_CACHED_SERVERS: usize = 64;
/// A list update that adds and removes more servers than this in total clears the cache instead of patching it.
const MAX_PATCHED_CHANGES: usize = 32;

/// A server and its hash for a key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankedServer {
    /// A key's order is by descending hash.
    hash: u64,
    pub(crate) server: ServerId,
}

impl RankedServer {
    /// The hash mapped to a number between 0 and 1. A few adjacent hashes map to the same number.
    pub(crate) fn unit_hash(self) -> f64 {
        unit_interval(self.hash)
    }
}

/// A contiguous segment of a key's order.
pub(crate) struct OrderSegment {
    /// The servers of the segment by descending hash.
    pub(crate) servers: Vec<RankedServer>,
    /// Servers with lower hashes are in later segments; all others are in this segment or an earlier one.
    lower_bound: u64,
}

impl OrderSegment {
    /// Whether this segment ends the order.
    pub(crate) fn is_last(&self) -> bool {
        self.lower_bound == 0
    }

    /// Upper bound of [`RankedServer::unit_hash`] for all servers in later segments.
    pub(crate) fn max_unit_hash_after(&self) -> f64 {
        unit_interval(self.lower_bound)
    }
}

struct CachedOrder {
    key: Key,
    first: OrderSegment,
}

/// The eligible servers, and a cache of the first segment for recently used keys.
#[derive(Default)]
pub(crate) struct KeyOrders {
    /// Sorted by ID. Contiguous in memory, because a lookup of an uncached key hashes every server.
    servers: Vec<ServerId>,
    /// Direct-mapped cache indexed by the key modulo its size; a new entry replaces the previous one in its
    /// slot.
    cached: Vec<Option<CachedOrder>>,
}

impl KeyOrders {
    /// Replaces the set of eligible servers, given in ascending order, and updates the cached segments.
    pub(crate) fn set_servers(&mut self, servers: Vec<ServerId>) {
        if servers == self.servers {
            return;
        }
        let removed = difference(&self.servers, &servers);
        let added = difference(&servers, &self.servers);
        self.servers = servers;
        if removed.len() + added.len() > MAX_PATCHED_CHANGES {
            self.cached.clear();
            return;
        }
        for slot in &mut self.cached {
            let Some(order) = slot else { continue };
            order.apply_changes(&removed, &added);
            if order.first.servers.len() > MAX_CACHED_SERVERS {
                *slot = None;
            }
        }
    }

    /// Returns the first segment of a key's order and removes it from the cache. The caller puts it back with
    /// [`KeyOrders::cache_first_segment`].
    pub(crate) fn take_first_segment(&mut self, key: Key) -> OrderSegment {
        let cached = self.cached.get_mut(cache_slot(key)).and_then(Option::take);
        match cached.filter(|order| order.key == key) {
            Some(order) => order.first,
            None => first_segment(&self.servers, key),
        }
    }

    /// Caches the first segment of a key's order.
    pub(crate) fn cache_first_segment(&mut self, key: Key, first: OrderSegment) {
        if self.cached.is_empty() {
            self.cached.resize_with(CACHED_KEYS, || None);
        }
        self.cached[cache_slot(key)] = Some(CachedOrder { key, first });
    }

    /// Computes the segment that follows `segment` in a key's order.
    pub(crate) fn next_segment(&self, key: Key, segment: &OrderSegment) -> OrderSegment {
        let width = u64::MAX - segment.lower_bound;
        let lower_bound = u64::MAX - width.saturating_mul(SEGMENT_GROWTH);
        let upper_bound = segment.lower_bound.saturating_sub(1);
        find_segment(&self.servers, key, lower_bound, upper_bound)
    }
}

impl CachedOrder {
    fn apply_changes(&mut self, removed: &[ServerId], added: &[ServerId]) {
        let first = &mut self.first;
        let is_removed = |server: &ServerId| removed.binary_search(server).is_ok();
        first.servers.retain(|ranked| !is_removed(&ranked.server));
        let segment = find_segment(added, self.key, first.lower_bound, u64::MAX);
        if !segment.servers.is_empty() {
            first.servers.extend(segment.servers);
            sort_by_hash(&mut first.servers);
        }
    }
}

fn cache_slot(key: Key) -> usize {
    (key % CACHED_KEYS as u64) as usize
}

fn first_segment(servers: &[ServerId], key: Key) -> OrderSegment {
    let range_per_server = u64::MAX / (servers.len() as u64).max(1);
    let lower_bound = u64::MAX - range_per_server.saturating_mul(FIRST_SEGMENT_SERVERS);
    find_segment(servers, key, lower_bound, u64::MAX)
}

/// Finds the servers whose hash is between the two bounds, inclusive, sorted by descending hash.
fn find_segment(
    servers: &[ServerId],
    key: Key,
    lower_bound: u64,
    upper_bound: u64,
) -> OrderSegment {
    let position_hash = PositionHash::new(key);
    let width = upper_bound - lower_bound;
    let mut found = Vec::with_capacity(2 * FIRST_SEGMENT_SERVERS as usize);
    for &server in servers {
        let hash = position_hash.hash(server);
        // Wrapping subtraction checks both bounds with one comparison.
        if hash.wrapping_sub(lower_bound) <= width {
            found.push(RankedServer { hash, server });
        }
    }
    sort_by_hash(&mut found);
    OrderSegment {
        servers: found,
        lower_bound,
    }
}

fn sort_by_hash(servers: &mut [RankedServer]) {
    servers.sort_unstable_by_key(|ranked| (std::cmp::Reverse(ranked.hash), ranked.server));
}

/// Returns the servers that are in `servers` but not in `others`. Both are in ascending order.
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
