//! What a cache server keeps: values by key, dropped by age and, when there is no more room, those used longest ago
//! first.

use lru::LruCache;

use crate::Micros;

/// A memory of so many bytes.
#[derive(Debug)]
pub struct Memory {
    room: u64,
    used: u64,
    /// A value is void after this time; 0 for never.
    keeps: Micros,
    values: LruCache<u64, (u64, Micros)>,
}

impl Memory {
    /// An empty one, whose values are void after a time (0: never).
    pub fn new(room: u64, keeps: Micros) -> Self {
        Memory {
            room,
            used: 0,
            keeps,
            values: LruCache::unbounded(),
        }
    }

    /// Whether it holds a key; if so, the key counts as used.
    pub fn get(&mut self, now: Micros, key: u64) -> bool {
        match self.values.get(&key) {
            Some((_, stored)) if self.keeps > 0 && now >= stored + self.keeps => {
                self.drop_key(key);
                false
            }
            held => held.is_some(),
        }
    }

    /// Stores a value of so many bytes. One that is larger than the whole memory is not kept.
    pub fn store(&mut self, now: Micros, key: u64, bytes: u64) {
        self.drop_key(key);
        if bytes > self.room {
            return;
        }
        while self.used + bytes > self.room
            && let Some((_, (dropped, _))) = self.values.pop_lru()
        {
            self.used -= dropped;
        }
        self.values.put(key, (bytes, now));
        self.used += bytes;
    }

    /// Drops a key, as a write to it does.
    pub fn drop_key(&mut self, key: u64) {
        if let Some((bytes, _)) = self.values.pop(&key) {
            self.used -= bytes;
        }
    }

    /// Bytes in use.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Keys held, void ones that nobody asked for included.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Forgets all, as a restart does.
    pub fn clear(&mut self) {
        self.values.clear();
        self.used = 0;
    }
}
