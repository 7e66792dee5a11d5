//! A map that holds a bounded number of entries.
//!
//! Beyond its limit a new entry replaces the least valuable of the next few entries in key order after the last one
//! that was replaced. So a replacement takes the same short time whatever the size of the map, and needs no second
//! index by value.
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// How many entries are compared for one replacement.
const COMPARED_ENTRIES: usize = 16;

/// A map with a limit on its number of entries.
#[derive(Debug)]
pub struct BoundedMap<K, V> {
    entries: BTreeMap<K, V>,
    limit: usize,
    /// The key of the last entry that was compared.
    cursor: Option<K>,
}

impl<K: Copy + Ord, V> BoundedMap<K, V> {
    /// An empty map. It holds one entry at least.
    pub fn new(limit: usize) -> BoundedMap<K, V> {
        BoundedMap { entries: BTreeMap::new(), limit: limit.max(1), cursor: None }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key)
    }

    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key)
    }

    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.entries.remove(key)
    }

    pub fn retain(&mut self, keep: impl FnMut(&K, &mut V) -> bool) {
        self.entries.retain(keep);
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut V> {
        self.entries.values_mut()
    }

    /// The entry of a key, a default one if there was none.
    pub fn get_or_default(&mut self, key: K) -> &mut V
    where
        V: Default,
    {
        self.entries.entry(key).or_default()
    }

    /// Removes an entry if the map is at its limit and a new one with this key would exceed it. Entries of which the
    /// value is `None` are never removed; if all that are compared are such, the map grows beyond its limit.
    pub fn make_room<R: Ord>(&mut self, key: &K, value: impl Fn(&V) -> Option<R>) -> Option<V> {
        if self.entries.len() < self.limit || self.entries.contains_key(key) {
            return None;
        }
        let after_cursor = self.cursor.map_or(Unbounded, Excluded);
        let following = self.entries.range((after_cursor, Unbounded));
        let compared: Vec<(&K, &V)> = following.chain(&self.entries).take(COMPARED_ENTRIES).collect();
        self.cursor = compared.last().map(|(key, _)| **key);
        let ranked = compared.into_iter().filter_map(|(key, entry)| Some((value(entry)?, *key)));
        let least = ranked.min_by(|a, b| a.0.cmp(&b.0)).map(|(_, key)| key)?;
        self.entries.remove(&least)
    }
}
