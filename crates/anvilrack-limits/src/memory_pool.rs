//! The memory that the router has for what it holds for others.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use anvilrack_core::{BodyRoom, BootTime, HoldPurpose, HolderId, MemoryBudget, MemoryStep};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use crate::lock;

/// Memory for the process itself: its code, routes, keys and links, in bytes.
const PROCESS_BYTES: usize = 32_000_000;

/// Part of the memory that is left to connections, and to what the allocator cannot return: one in this many.
const OVERHEAD_DIVISOR: usize = 8;

/// Why memory was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MemoryError {
    /// Others hold it.
    #[error("no memory is left")]
    Refused,
    /// Others needed it more, and the body made no progress.
    #[error("memory was needed for others")]
    Evicted,
    /// It was not released in time.
    #[error("timed out waiting for memory")]
    Timeout,
}

/// The memory of a process for the bodies of requests and responses.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
struct PoolShared {
    /// Start of the clock of `budget`.
    started_at: Instant,
    budget: Mutex<MemoryBudget>,
    /// Notified when a holder has to release its memory.
    holders: Mutex<HashMap<HolderId, Arc<Notify>>>,
    released: Notify,
    refused: AtomicU64,
    evicted: AtomicU64,
}

/// What one body holds of the memory; it is released when this is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    pool: MemoryPool,
    id: HolderId,
    evicted: Arc<Notify>,
}

impl MemoryPool {
    /// Creates a pool of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            shared: Arc::new(PoolShared {
                started_at: Instant::now(),
                budget: Mutex::new(MemoryBudget::new(capacity)),
                holders: Mutex::default(),
                released: Notify::new(),
                refused: AtomicU64::new(0),
                evicted: AtomicU64::new(0),
            }),
        }
    }

    /// Creates the pool of a router that may use `memory` bytes in all.
    #[must_use]
    pub fn of_process(memory: usize) -> Self {
        let overhead = PROCESS_BYTES + memory / OVERHEAD_DIVISOR;
        Self::new(memory.saturating_sub(overhead))
    }

    /// Returns the capacity and what is held of it, in bytes.
    #[must_use]
    pub fn usage(&self) -> (usize, usize) {
        let budget = lock(&self.shared.budget);
        (budget.capacity(), budget.held())
    }

    /// Returns how many bodies were refused, and how many had to give way.
    #[must_use]
    pub fn refusals(&self) -> (u64, u64) {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (count(&self.shared.refused), count(&self.shared.evicted))
    }

    /// Returns whether a request body of this length can be received now.
    #[must_use]
    pub fn room_for(&self, bytes: u64) -> BodyRoom {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let room = lock(&self.shared.budget).room_for(bytes, self.shared.now());
        if room == BodyRoom::Occupied {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
        }
        room
    }

    /// Begins to hold memory for a body.
    #[must_use]
    pub fn hold(&self, purpose: HoldPurpose) -> Arc<MemoryHold> {
        let id = lock(&self.shared.budget).open(purpose, self.shared.now());
        self.hold_of(id)
    }

    /// Holds `bytes` for a request body that is about to arrive; `None` if there is no room.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Arc<MemoryHold>> {
        let reserved = lock(&self.shared.budget).reserve(bytes, self.shared.now());
        let Some((id, evicted)) = reserved else {
            self.shared.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        self.evict(&evicted);
        Some(self.hold_of(id))
    }

    fn hold_of(&self, id: HolderId) -> Arc<MemoryHold> {
        let evicted = Arc::new(Notify::new());
        lock(&self.shared.holders).insert(id, evicted.clone());
        Arc::new(MemoryHold {
            pool: self.clone(),
            id,
            evicted,
        })
    }

    fn evict(&self, ids: &[HolderId]) {
        let holders = lock(&self.shared.holders);
        for id in ids {
            self.shared.evicted.fetch_add(1, Ordering::Relaxed);
            if let Some(holder) = holders.get(id) {
                holder.notify_one();
            }
        }
    }
}

impl PoolShared {
    fn now(&self) -> BootTime {
        self.started_at.elapsed()
    }
}

impl MemoryHold {
    /// Takes `bytes` more, and waits for them until `until` if others are about to release them.
    ///
    /// # Errors
    ///
    /// A [`MemoryError`] if there are none; the body then has to be given up.
    pub async fn grow(&self, bytes: usize, until: Instant) -> Result<(), MemoryError> {
        let shared = &self.pool.shared;
        loop {
            let released = shared.released.notified();
            let step = lock(&shared.budget).grow(self.id, bytes, shared.now());
            match step {
                MemoryStep::Granted => return Ok(()),
                MemoryStep::Refused => {
                    shared.refused.fetch_add(1, Ordering::Relaxed);
                    return Err(MemoryError::Refused);
                }
                MemoryStep::Wait { evicted } => self.pool.evict(&evicted),
            }
            if timeout_at(until, released).await.is_err() {
                return Err(MemoryError::Timeout);
            }
        }
    }

    /// Releases a part of what is held.
    pub fn shrink(&self, bytes: usize) {
        let shared = &self.pool.shared;
        lock(&shared.budget).shrink(self.id, bytes, shared.now());
        shared.released.notify_waiters();
    }

    /// Records how many bytes of the body have arrived.
    pub fn on_received(&self, bytes: usize) {
        let shared = &self.pool.shared;
        lock(&shared.budget).on_received(self.id, bytes, shared.now());
    }

    /// Changes what the memory is held for.
    pub fn set_purpose(&self, purpose: HoldPurpose) {
        let shared = &self.pool.shared;
        lock(&shared.budget).set_purpose(self.id, purpose, shared.now());
        shared.released.notify_waiters();
    }

    /// Notifies `owner` from now on if the body has to give way, instead of [`Self::evicted`].
    pub fn notify_owner(&self, owner: Arc<Notify>) {
        lock(&self.pool.shared.holders).insert(self.id, owner);
    }

    /// Ends the effect of [`Self::notify_owner`].
    pub fn notify_self(&self) {
        self.notify_owner(self.evicted.clone());
    }

    /// Waits until the body has to give way to others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let shared = &self.pool.shared;
        lock(&shared.holders).remove(&self.id);
        lock(&shared.budget).close(self.id);
        shared.released.notify_waiters();
    }
}
