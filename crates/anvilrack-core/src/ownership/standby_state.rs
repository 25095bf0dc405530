//! Decides whether this router may replace its coordinator.

use crate::{BootTime, CellRecord, Epoch, Incarnation, LeaseTerms, NodeId};

/// The state of one router incarnation as a possible successor of its cell's coordinator.
///
/// A standby that promised not to take over waits until the promise ends. A standby makes no
/// promise while the outcome of its own takeover write is unknown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StandbyState {
    node: NodeId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    last_answer_at: BootTime,
    promised_until: BootTime,
    takeover_pending: bool,
    /// Epoch of a coordinator that stopped renewing leases and asked to be replaced.
    resigned: Option<Epoch>,
}

/// What a router does about its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Do nothing for now.
    Wait,
    /// Try to take over the cell as one of its standbys.
    AsStandby,
    /// Try to take over the cell as a router that is not a standby, since no standby has done so.
    AsOutsider,
}

/// Factor by which an outsider waits longer than the first standby.
const OUTSIDER_WAIT_FACTOR: u32 = 6;

impl StandbyState {
    /// Creates the state of a router incarnation; its coordinator counts as heard from at `now`.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation, terms: LeaseTerms, now: BootTime) -> Self {
        Self {
            node,
            incarnation,
            terms,
            last_answer_at: now,
            promised_until: BootTime::ZERO,
            takeover_pending: false,
            resigned: None,
        }
    }

    /// Changes the incarnation of the member and keeps the promises that this process has made.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Records that the coordinator replied to a heartbeat.
    pub fn on_answer(&mut self, now: BootTime) {
        self.last_answer_at = self.last_answer_at.max(now);
    }

    /// Handles the coordinator's request for a promise not to take over; returns whether the
    /// promise is made. It takes effect at `now`.
    ///
    /// Only a standby that the record names with this incarnation can promise. A standby whose own
    /// heartbeats get no reply refuses: otherwise a coordinator that can send requests but cannot be
    /// reached would stay coordinator.
    pub fn promise(&mut self, record: &CellRecord, epoch: Epoch, now: BootTime) -> bool {
        if self.takeover_pending || epoch != record.epoch || !self.is_named_standby(record) {
            return false;
        }
        if now.saturating_sub(self.last_answer_at) >= self.terms.takeover_after {
            return false;
        }
        self.promised_until = self.promised_until.max(now + self.terms.promise);
        true
    }

    /// Handles the resignation of the coordinator of `epoch`, which no longer renews leases and asks
    /// to be replaced; returns whether this router will try to take over.
    ///
    /// The promise was made to that coordinator, so its resignation ends the promise.
    pub fn on_resignation(&mut self, record: &CellRecord, epoch: Epoch) -> bool {
        if epoch != record.epoch || !self.is_named_standby(record) {
            return false;
        }
        self.resigned = Some(epoch);
        true
    }

    /// Returns what to do about the coordinator at the time `now`.
    ///
    /// The second standby waits twice as long as the first, so that they rarely race. A router
    /// whose former incarnation was the coordinator waits as long as an outsider.
    #[must_use]
    pub fn step(&self, record: &CellRecord, now: BootTime) -> TakeoverStep {
        if self.is_coordinator(record) || self.takeover_pending {
            return TakeoverStep::Wait;
        }
        if self.resigned == Some(record.epoch) && self.is_named_standby(record) {
            return TakeoverStep::AsStandby;
        }
        if now < self.promised_until {
            return TakeoverStep::Wait;
        }
        let elapsed = now.saturating_sub(self.last_answer_at);
        let rank = record.standbys.iter().position(|node| *node == self.node);
        match rank.filter(|_| self.is_named_standby(record)) {
            Some(0) if elapsed >= self.terms.takeover_after => TakeoverStep::AsStandby,
            Some(_) if elapsed >= self.terms.takeover_after * 2 => TakeoverStep::AsStandby,
            None if elapsed >= self.terms.takeover_after * OUTSIDER_WAIT_FACTOR => {
                TakeoverStep::AsOutsider
            }
            _ => TakeoverStep::Wait,
        }
    }

    /// Records that a takeover write is about to be sent.
    pub fn begin_takeover(&mut self) {
        self.takeover_pending = true;
    }

    /// Records that the outcome of the takeover write is known.
    pub fn finish_takeover(&mut self, now: BootTime) {
        self.takeover_pending = false;
        self.resigned = None;
        self.last_answer_at = now;
    }

    /// Returns whether the record names this router and incarnation as a standby.
    #[must_use]
    pub fn is_named_standby(&self, record: &CellRecord) -> bool {
        record.standbys.contains(&self.node) && self.is_member(record)
    }

    /// Returns whether the record names this router and incarnation as the coordinator.
    fn is_coordinator(&self, record: &CellRecord) -> bool {
        record.coordinator == self.node && self.is_member(record)
    }

    fn is_member(&self, record: &CellRecord) -> bool {
        record
            .member(&self.node)
            .is_some_and(|member| member.incarnation == self.incarnation)
    }

    /// Returns the time until which this router has promised not to take over.
    #[must_use]
    pub fn promised_until(&self) -> BootTime {
        self.promised_until
    }
}
