//! The memory of a cache server: values by key. Values expire by age. When space runs out, the least recently used
//! values are evicted.

use lru::LruCache;

use crate::Micros;

/// Size and storage time of a cached value. The content is not modelled.
#[derive(Debug, Clone, Copy)]
struct CachedValue {
    bytes: u64,
    stored_at: Micros,
}

/// An LRU cache of limited size.
#[derive(Debug)]
pub struct Memory {
    capacity_bytes: u64,
    used_bytes: u64,
    time_to_live: Micros,
    values: LruCache<u64, CachedValue>,
}

impl Memory {
    /// Creates an empty memory of `capacity_bytes`. Values expire after `time_to_live` microseconds; 0 for never.
    pub fn new(capacity_bytes: u64, time_to_live: Micros) -> Self {
        Memory {
            capacity_bytes,
            used_bytes: 0,
            time_to_live,
            values: LruCache::unbounded(),
        }
    }

    /// Whether a key is cached. A cached key counts as used now.
    pub fn get(&mut self, now: Micros, key: u64) -> bool {
        let Some(value) = self.values.get(&key) else {
            return false;
        };
        let expired = self.time_to_live > 0 && now >= value.stored_at + self.time_to_live;
        if expired {
            self.remove(key);
        }
        !expired
    }

    /// Stores a value of `bytes`, evicting others as needed. A value larger than the whole memory is not stored.
    pub fn store(&mut self, now: Micros, key: u64, bytes: u64) {
        self.remove(key);
        if bytes > self.capacity_bytes {
            return;
        }
        while self.used_bytes + bytes > self.capacity_bytes
            && let Some((_, evicted)) = self.values.pop_lru()
        {
            self.used_bytes -= evicted.bytes;
        }
        let stored_at = now;
        self.values.put(key, CachedValue { bytes, stored_at });
        self.used_bytes += bytes;
    }

    /// Removes a key, as a write to it does.
    pub fn remove(&mut self, key: u64) {
        if let Some(value) = self.values.pop(&key) {
            self.used_bytes -= value.bytes;
        }
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Number of keys, including expired ones that have not been looked up since they expired.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether the memory holds no key.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Removes all values, as a restart does.
    pub fn clear(&mut self) {
        self.values.clear();
        self.used_bytes = 0;
    }
}
