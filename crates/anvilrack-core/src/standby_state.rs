//! May this router replace its coordinator?

use crate::{BootTime, CellRecord, Epoch, Incarnation, LeaseTerms, NodeId};

/// What one run of a router knows as a possible successor of its cell's coordinator.
///
/// A standby that promised not to take over keeps quiet until the promise ends; a standby whose own
/// takeover write is unresolved makes no promise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StandbyState {
    node: NodeId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    last_answer: BootTime,
    promised_until: BootTime,
    takeover_open: bool,
    /// The epoch whose coordinator has stopped renewing and asked to be replaced.
    resigned: Option<Epoch>,
}

/// What a router should do about its coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverStep {
    /// Nothing for now.
    Wait,
    /// Try to take the cell over as one of its standbys.
    AsStandby,
    /// Try to take the cell over as a router that was not named, once all that were stay silent.
    AsOutsider,
}

/// An outsider waits this many times as long as the first standby.
const OUTSIDER_PATIENCE: u32 = 6;

impl StandbyState {
    /// You give the router's name, its run, the deployment's times and the present time.
    #[must_use]
    pub fn new(node: NodeId, incarnation: Incarnation, terms: LeaseTerms, now: BootTime) -> Self {
        Self {
            node,
            incarnation,
            terms,
            last_answer: now,
            promised_until: BootTime::ZERO,
            takeover_open: false,
            resigned: None,
        }
    }

    /// Goes on under another incarnation of the member, keeping what this process has promised.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// The coordinator answered a heartbeat.
    pub fn on_answer(&mut self, now: BootTime) {
        self.last_answer = self.last_answer.max(now);
    }

    /// The coordinator asks for a promise; returns whether it is given, from this instant on.
    ///
    /// Only the router that the record names, in the run that it names, can promise. One whose own
    /// heartbeats stay unanswered does not: a coordinator that can call but cannot be reached must
    /// not hold its office that way.
    pub fn promise(&mut self, record: &CellRecord, epoch: Epoch, now: BootTime) -> bool {
        if self.takeover_open || epoch != record.epoch || !self.is_named(record) {
            return false;
        }
        if now.saturating_sub(self.last_answer) >= self.terms.takeover_after {
            return false;
        }
        self.promised_until = self.promised_until.max(now + self.terms.promise);
        true
    }

    /// The coordinator of that epoch renews no more and asks to be replaced; says whether this
    /// router will try.
    ///
    /// A promise was made to that coordinator, so its resignation ends the promise.
    pub fn on_resignation(&mut self, record: &CellRecord, epoch: Epoch) -> bool {
        if epoch != record.epoch || !self.is_named(record) {
            return false;
        }
        self.resigned = Some(epoch);
        true
    }

    /// What to do about a coordinator at the time `now`.
    ///
    /// The second standby waits twice as long as the first, so that they seldom race. A router whose
    /// former run was the coordinator waits like one that was not named.
    #[must_use]
    pub fn step(&self, record: &CellRecord, now: BootTime) -> TakeoverStep {
        if self.is_in_office(record) || self.takeover_open {
            return TakeoverStep::Wait;
        }
        if self.resigned == Some(record.epoch) && self.is_named(record) {
            return TakeoverStep::AsStandby;
        }
        if now < self.promised_until {
            return TakeoverStep::Wait;
        }
        let silence = now.saturating_sub(self.last_answer);
        let rank = record.standbys.iter().position(|node| *node == self.node);
        match rank.filter(|_| self.is_named(record)) {
            Some(0) if silence >= self.terms.takeover_after => TakeoverStep::AsStandby,
            Some(_) if silence >= self.terms.takeover_after * 2 => TakeoverStep::AsStandby,
            None if silence >= self.terms.takeover_after * OUTSIDER_PATIENCE => {
                TakeoverStep::AsOutsider
            }
            _ => TakeoverStep::Wait,
        }
    }

    /// A takeover write is about to go out.
    pub fn open_takeover(&mut self) {
        self.takeover_open = true;
    }

    /// It is known whether the takeover write took effect.
    pub fn settle_takeover(&mut self, now: BootTime) {
        self.takeover_open = false;
        self.resigned = None;
        self.last_answer = now;
    }

    /// True where the record names this very run as a standby.
    #[must_use]
    pub fn is_named(&self, record: &CellRecord) -> bool {
        record.standbys.contains(&self.node) && self.is_member(record)
    }

    /// True where the record names this very run as the coordinator.
    fn is_in_office(&self, record: &CellRecord) -> bool {
        record.coordinator == self.node && self.is_member(record)
    }

    fn is_member(&self, record: &CellRecord) -> bool {
        record
            .member(&self.node)
            .is_some_and(|member| member.incarnation == self.incarnation)
    }

    /// Until when this router has promised not to take over.
    #[must_use]
    pub fn promised_until(&self) -> BootTime {
        self.promised_until
    }
}
