//! The stand-in store's keys, indexes and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Largest value the platform's store takes, in bytes.
const VALUE_LIMIT: usize = 1024 * 1024;

/// Keys with their values, and sessions that hold keys for as long as they are renewed.
#[derive(Clone, Debug, Default)]
pub struct StoreMemory {
    next_index: u64,
    entries: BTreeMap<String, StoreEntry>,
    sessions: BTreeMap<String, StoreSession>,
}

/// One key.
#[derive(Clone, Debug)]
pub struct StoreEntry {
    /// Goes up with each write of any key.
    pub index: u64,
    /// The value.
    pub value: Vec<u8>,
    /// The session that holds the key.
    pub session: Option<String>,
}

#[derive(Clone, Debug)]
struct StoreSession {
    ttl: Duration,
    expires: Instant,
}

impl StoreMemory {
    /// Reads a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&StoreEntry> {
        self.entries.get(key)
    }

    /// Writes a key if it has the index `cas`, where one is given; says whether it did.
    pub fn put(&mut self, key: &str, cas: Option<u64>, value: Vec<u8>) -> bool {
        let current = self.entries.get(key).map_or(0, |entry| entry.index);
        if cas.is_some_and(|cas| cas != current) || value.len() > VALUE_LIMIT {
            return false;
        }
        let session = self
            .entries
            .get(key)
            .and_then(|entry| entry.session.clone());
        self.insert(key, value, session);
        true
    }

    /// Writes a key and ties it to a session, unless another live session holds it.
    pub fn acquire(&mut self, key: &str, session: &str, value: Vec<u8>, now: Instant) -> bool {
        self.lapse(now);
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

    /// Opens a session; returns its name.
    pub fn open_session(&mut self, ttl: Duration, now: Instant) -> String {
        self.next_index += 1;
        let name = format!("session-{}", self.next_index);
        let expires = now + ttl;
        self.sessions
            .insert(name.clone(), StoreSession { ttl, expires });
        name
    }

    /// Renews a session; false where it has lapsed.
    pub fn renew_session(&mut self, name: &str, now: Instant) -> bool {
        self.lapse(now);
        let Some(session) = self.sessions.get_mut(name) else {
            return false;
        };
        session.expires = now + session.ttl;
        true
    }

    /// Puts back an earlier copy, as an operator does with a backup. Indexes go on rising.
    pub fn restore(&mut self, copy: Self) {
        let next_index = self.next_index.max(copy.next_index);
        *self = copy;
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

    fn lapse(&mut self, now: Instant) {
        self.sessions.retain(|_, session| now < session.expires);
        for entry in self.entries.values_mut() {
            let lapsed = entry
                .session
                .as_ref()
                .is_some_and(|s| !self.sessions.contains_key(s));
            if lapsed {
                entry.session = None;
            }
        }
    }
}
