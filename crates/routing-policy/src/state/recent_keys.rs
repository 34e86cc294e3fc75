//! The most recently requested keys.

use std::collections::VecDeque;

use crate::interface::Key;

/// A bounded list of the most recently requested keys.
#[derive(Default)]
pub(crate) struct RecentKeys {
    latest_first: VecDeque<Key>,
}

impl RecentKeys {
    /// Adds a key and drops the oldest ones beyond `max_keys`.
    pub(crate) fn add(&mut self, key: Key, max_keys: usize) {
        self.latest_first.push_front(key);
        self.latest_first.truncate(max_keys);
    }

    /// Whether the list contains a key at least twice.
    pub(crate) fn is_repeated(&self, key: Key) -> bool {
        let same = self.latest_first.iter().filter(|recent| **recent == key);
        same.count() > 1
    }
}
