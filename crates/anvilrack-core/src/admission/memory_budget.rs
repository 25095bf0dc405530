//! Who may hold how much of a router's memory.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::BootTime;

/// Identifies a holder of memory.
pub type HolderId = u64;

/// Time without progress after which a body gives way to others when memory is short.
pub const STALL_TIME: Duration = Duration::from_secs(1);

/// Time for which a caller may read nothing of its response before it gives way to other responses.
const UNREAD_TIME: Duration = Duration::from_secs(3);

/// Maximum memory of a small body, in bytes; large ones leave room for these.
const SMALL_BYTES: usize = 64 * 1024;

/// Share of the capacity that large request bodies leave to small ones and to responses: one in this many.
const RESERVE_DIVISOR: usize = 8;

/// Share of the capacity for all responses that are being received: one in this many. A response may have no end.
const RESPONSES_DIVISOR: usize = 4;

/// A body makes progress when it has grown by this part of the memory that it holds.
const PROGRESS_DIVISOR: usize = 64;

/// What memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldPurpose {
    /// A request body that is being received, or for which memory is reserved. The request has not run.
    Receiving,
    /// A complete request body.
    Forwarding,
    /// A response that is being received, or sent to another router.
    Responding,
    /// A complete response that is being sent to its caller.
    Delivering,
}

/// The decision on a holder's demand for more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemoryStep {
    /// The memory is the holder's.
    Granted,
    /// There is none now; the holder asks again when memory was released. Meanwhile these holders have to release
    /// theirs.
    Wait {
        /// The holders that give way.
        evicted: Vec<HolderId>,
    },
    /// The holder gets none, and has to release what it holds.
    Refused,
}

/// Whether a body of an announced length can be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRoom {
    /// There is room now.
    Free,
    /// Others hold too much of the memory now.
    Occupied,
    /// It exceeds what this router can ever hold.
    Never,
}

/// Divides the memory that a router has for the bodies of requests and responses.
///
/// Counted is what is occupied, not what was announced: a body holds only what has arrived. If memory runs out,
/// request bodies without progress give way first. Other than these, a body that asks for more when nothing is left is
/// refused itself, so that those that already hold memory can complete. Responses to requests that have run go before
/// all request bodies that are still being received.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    capacity: usize,
    held: usize,
    next_id: HolderId,
    holders: BTreeMap<HolderId, Holder>,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    purpose: HoldPurpose,
    /// Bytes that are occupied.
    occupied: usize,
    /// Bytes that are kept free for the holder, including the occupied ones.
    reserved: usize,
    /// Progress by which it last moved on, in bytes.
    marked: usize,
    /// When it last moved on.
    progressed_at: BootTime,
    /// Whether it has to release its memory.
    evicted: bool,
}

impl Holder {
    fn bytes(&self) -> usize {
        self.occupied.max(self.reserved)
    }

    fn idle_time(&self, now: BootTime) -> Duration {
        now.saturating_sub(self.progressed_at)
    }
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: 0,
            next_id: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Returns the capacity in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns how many bytes are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the size of the largest request body that can be held, in bytes.
    #[must_use]
    pub fn max_body(&self) -> usize {
        self.capacity - self.capacity / RESERVE_DIVISOR
    }

    /// Adds a holder, which holds nothing yet.
    pub fn open(&mut self, purpose: HoldPurpose, now: BootTime) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder {
            purpose,
            occupied: 0,
            reserved: 0,
            marked: 0,
            progressed_at: now,
            evicted: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Adds a holder with `bytes` reserved for a request body; `None` if there is not enough room.
    ///
    /// Also returns the holders that give way and have to release what they hold.
    pub fn reserve(&mut self, bytes: usize, now: BootTime) -> Option<(HolderId, Vec<HolderId>)> {
        if self.room_for(bytes, now) != BodyRoom::Free {
            return None;
        }
        let purpose = HoldPurpose::Receiving;
        let id = self.open(purpose, now);
        let limit = self.limit(purpose, bytes);
        let missing = (self.held + bytes).saturating_sub(limit);
        let evicted = self.evict(id, purpose, missing, now).unwrap_or_default();
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.reserved = bytes;
            self.held += bytes;
        }
        Some((id, evicted))
    }

    /// Returns whether a request body of this length can be received now.
    ///
    /// Bodies that give way to it count as room.
    #[must_use]
    pub fn room_for(&self, bytes: usize, now: BootTime) -> BodyRoom {
        if bytes > self.max_body() {
            return BodyRoom::Never;
        }
        let yielding = self
            .holders
            .values()
            .filter(|holder| holder.evicted || yields_to_body(holder, now));
        let yielding: usize = yielding.map(Holder::bytes).sum();
        let limit = self.limit(HoldPurpose::Receiving, bytes);
        if self.held - yielding + bytes <= limit {
            BodyRoom::Free
        } else {
            BodyRoom::Occupied
        }
    }

    /// Decides on a holder's demand for `bytes` more.
    pub fn grow(&mut self, id: HolderId, bytes: usize, now: BootTime) -> MemoryStep {
        let Some(holder) = self.holders.get(&id).copied() else {
            return MemoryStep::Refused;
        };
        if holder.evicted {
            return MemoryStep::Refused;
        }
        let grown = Holder {
            occupied: holder.occupied.saturating_add(bytes),
            ..holder
        };
        let added = grown.bytes() - holder.bytes();
        let limit = self.limit(holder.purpose, grown.bytes());
        let has_share = self.has_response_share(id, &grown, added);
        if added == 0 || (has_share && self.held + added <= limit) {
            self.held += added;
            self.holders.insert(id, grown);
            return MemoryStep::Granted;
        }
        if holder.purpose != HoldPurpose::Responding {
            let missing = self.held + added - limit;
            let evicted = self.evict(id, holder.purpose, missing, now);
            return evicted.map_or(MemoryStep::Refused, |evicted| MemoryStep::Wait { evicted });
        }
        if grown.bytes() > self.capacity / RESPONSES_DIVISOR {
            return MemoryStep::Refused;
        }
        if !has_share {
            return MemoryStep::Wait {
                evicted: Vec::new(),
            };
        }
        // A response never fails because of others before its time limit.
        let missing = (self.held + added).saturating_sub(self.capacity);
        let evicted = self.evict(id, holder.purpose, missing, now);
        MemoryStep::Wait {
            evicted: evicted.unwrap_or_default(),
        }
    }

    /// Releases a part of what a holder occupies, as when a part of a response was sent.
    pub fn shrink(&mut self, id: HolderId, bytes: usize, now: BootTime) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        let before = holder.bytes();
        holder.occupied = holder.occupied.saturating_sub(bytes);
        holder.progressed_at = now;
        self.held -= before - holder.bytes();
    }

    /// Records that `received` bytes of a body have arrived in all; only a noticeable part counts as progress.
    pub fn on_received(&mut self, id: HolderId, received: usize, now: BootTime) {
        if let Some(holder) = self.holders.get_mut(&id)
            && received > holder.marked + holder.bytes() / PROGRESS_DIVISOR
        {
            holder.marked = received;
            holder.progressed_at = now;
        }
    }

    /// Changes what a holder's memory is held for; a reservation beyond what it occupies ends.
    pub fn set_purpose(&mut self, id: HolderId, purpose: HoldPurpose, now: BootTime) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let before = holder.bytes();
            holder.reserved = 0;
            holder.purpose = purpose;
            holder.progressed_at = now;
            self.held -= before - holder.bytes();
        }
    }

    /// Removes a holder and releases all that it holds.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.bytes();
        }
    }

    /// Returns up to which number of bytes a holder that then holds `bytes` may use the budget.
    fn limit(&self, purpose: HoldPurpose, bytes: usize) -> usize {
        let reserve = self.capacity / RESERVE_DIVISOR;
        let is_large = bytes > SMALL_BYTES;
        match purpose {
            HoldPurpose::Receiving if is_large => self.capacity - reserve,
            HoldPurpose::Receiving => self.capacity - reserve / 2,
            _ => self.capacity,
        }
    }

    /// Returns whether the large responses that are being received may grow by `added` bytes.
    ///
    /// If all of them grew until their share is used up, none would complete. So the second half of it is for the
    /// oldest one.
    fn has_response_share(&self, id: HolderId, grown: &Holder, added: usize) -> bool {
        let is_large_response = |holder: &Holder| {
            holder.purpose == HoldPurpose::Responding && holder.bytes() > SMALL_BYTES
        };
        if !is_large_response(grown) {
            return true;
        }
        let share = self.capacity / RESPONSES_DIVISOR;
        let mut responses = self
            .holders
            .iter()
            .filter(|(_, holder)| is_large_response(holder))
            .peekable();
        let is_oldest = responses.peek().is_none_or(|(oldest, _)| **oldest >= id);
        let share = if is_oldest { share } else { share / 2 };
        let held: usize = responses.map(|(_, holder)| holder.bytes()).sum();
        held + added <= share
    }

    /// Selects holders that together release `missing` bytes; `None` if there are not enough.
    fn evict(
        &mut self,
        requester: HolderId,
        purpose: HoldPurpose,
        missing: usize,
        now: BootTime,
    ) -> Option<Vec<HolderId>> {
        let is_response = purpose == HoldPurpose::Responding;
        let yields = |holder: &Holder| {
            yields_to_body(holder, now) || (is_response && yields_to_response(holder, now))
        };
        let leaving = self.holders.values().filter(|holder| holder.evicted);
        let mut released: usize = leaving.map(Holder::bytes).sum();
        let candidates = self.holders.iter().filter(|(id, holder)| {
            **id != requester && !holder.evicted && holder.bytes() > 0 && yields(holder)
        });
        let mut candidates: Vec<_> = candidates.map(|(id, holder)| (*id, *holder)).collect();
        // Those that have stalled the longest, and then the largest.
        candidates.sort_by_key(|(_, holder)| {
            let stalled = yields_to_body(holder, now);
            let since = if stalled {
                holder.progressed_at
            } else {
                BootTime::MAX
            };
            (since, usize::MAX - holder.bytes())
        });
        let mut evicted = Vec::new();
        for (id, holder) in candidates {
            if released >= missing {
                break;
            }
            released += holder.bytes();
            evicted.push(id);
        }
        if released < missing {
            return None;
        }
        for id in &evicted {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.evicted = true;
            }
        }
        Some(evicted)
    }
}

/// Returns whether a holder gives way to a request body.
fn yields_to_body(holder: &Holder, now: BootTime) -> bool {
    holder.purpose == HoldPurpose::Receiving && holder.idle_time(now) >= STALL_TIME
}

/// Returns whether a holder gives way to a response.
fn yields_to_response(holder: &Holder, now: BootTime) -> bool {
    match holder.purpose {
        HoldPurpose::Receiving => true,
        HoldPurpose::Delivering => holder.idle_time(now) >= UNREAD_TIME,
        HoldPurpose::Forwarding | HoldPurpose::Responding => false,
    }
}
