//! Keys, indexes and sessions of the fake store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Maximum size of a value in the platform's store, in bytes.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Keys with their values, and sessions that hold keys until they expire.
#[derive(Clone, Debug, Default)]
pub struct StoreData {
    next_index: u64,
    entries: BTreeMap<String, StoreEntry>,
    sessions: BTreeMap<String, StoreSession>,
}

/// Value and index of one key.
#[derive(Clone, Debug)]
pub struct StoreEntry {
    /// Index of the last write of this key. One counter for all keys assigns the indexes.
    pub index: u64,
    /// Stored bytes.
    pub value: Vec<u8>,
    /// Session that holds the key, if any.
    pub session: Option<String>,
}

#[derive(Clone, Debug)]
struct StoreSession {
    ttl: Duration,
    expires: Instant,
}

impl StoreData {
    /// Returns the entry of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&StoreEntry> {
        self.entries.get(key)
    }

    /// Writes a key, if `cas` is `None` or equals the key's index and the value is not too large.
    /// Returns whether it wrote.
    pub fn put(&mut self, key: &str, cas: Option<u64>, value: Vec<u8>) -> bool {
        let current = self.entries.get(key).map_or(0, |entry| entry.index);
        if cas.is_some_and(|cas| cas != current) || value.len() > MAX_VALUE_BYTES {
            return false;
        }
        let session = self
            .entries
            .get(key)
            .and_then(|entry| entry.session.clone());
        self.insert(key, value, session);
        true
    }

    /// Writes a key and lets a session hold it, unless another live session holds it or the session
    /// has expired. Returns whether it wrote.
    pub fn acquire(&mut self, key: &str, session: &str, value: Vec<u8>, now: Instant) -> bool {
        self.expire_sessions(now);
        let holder = self
            .entries
            .get(key)
            .and_then(|entry| entry.session.as_deref());
        let held_by_other = holder.is_some_and(|holder| holder != session);
        if held_by_other || !self.sessions.contains_key(session) {
            return false;
        }
        self.insert(key, value, Some(session.to_owned()));
        true
    }

    /// Opens a session that expires after `ttl` unless renewed; returns its name.
    pub fn open_session(&mut self, ttl: Duration, now: Instant) -> String {
        self.next_index += 1;
        let name = format!("session-{}", self.next_index);
        let expires = now + ttl;
        self.sessions
            .insert(name.clone(), StoreSession { ttl, expires });
        name
    }

    /// Renews a session; returns `false` if it has expired or does not exist.
    pub fn renew_session(&mut self, name: &str, now: Instant) -> bool {
        self.expire_sessions(now);
        let Some(session) = self.sessions.get_mut(name) else {
            return false;
        };
        session.expires = now + session.ttl;
        true
    }

    /// Replaces the data with an earlier copy, as an operator does with a backup. Indexes continue
    /// to rise and all entries get new ones.
    pub fn restore(&mut self, backup: Self) {
        let next_index = self.next_index.max(backup.next_index);
        *self = backup;
        self.next_index = next_index;
        for entry in self.entries.values_mut() {
            self.next_index += 1;
            entry.index = self.next_index;
        }
    }

    fn insert(&mut self, key: &str, value: Vec<u8>, session: Option<String>) {
        self.next_index += 1;
        let index = self.next_index;
        let entry = StoreEntry {
            index,
            value,
            session,
        };
        self.entries.insert(key.to_owned(), entry);
    }

    fn expire_sessions(&mut self, now: Instant) {
        self.sessions.retain(|_, session| now < session.expires);
        for entry in self.entries.values_mut() {
            let expired = entry
                .session
                .as_ref()
                .is_some_and(|s| !self.sessions.contains_key(s));
            if expired {
                entry.session = None;
            }
        }
    }
}
