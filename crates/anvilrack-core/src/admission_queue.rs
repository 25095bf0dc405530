//! Which requests go to a target now, which wait and which are refused.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::moving_mean::moving_mean;
use crate::{BootTime, LatencyLimit, RefusalReason, RequestClass};

/// Requests that may wait for each slot.
const WAITING_PER_SLOT: usize = 4;

/// A waiting read goes first once this many others were started before it.
const READ_FLOOR: u32 = 4;

/// A waiting archive look-up goes first once this many others were started before it.
const ARCHIVE_FLOOR: u32 = 9;

/// Each class may use this part of the waiting room, as a divisor, whatever else waits.
const ROOM_FLOOR: usize = 4;

/// The measured time of a kind of request counts half after so long without a new one.
///
/// A kind that seems too slow for its deadlines is turned away and so not measured; sooner or later it
/// is tried again.
const KIND_HALF_LIFE: Duration = Duration::from_secs(1);

/// Kinds of request that are measured at most.
const KIND_LIMIT: usize = 256;

/// Weight of the newest time in the mean of a kind, as a divisor.
const MEAN_WEIGHT: u32 = 8;

/// A kind of request is short where it takes this part of the mean time or less, as a divisor.
const SHORT_PART: u32 = 3;

/// Names a request that was admitted or that waits.
pub type TicketId = u64;

/// What the queue looks at in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// How urgent it is.
    pub class: RequestClass,
    /// What kind of work it is, such as its route; requests of one kind take about the same time.
    pub kind: Arc<str>,
    /// Until when an answer is worth most to the caller.
    pub objective: BootTime,
    /// When its time is over.
    pub deadline: BootTime,
    /// Who asks.
    pub caller: Arc<str>,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// It has a slot and goes to the target now.
    Enter(TicketId),
    /// It waits; ask again at the latest at the given time.
    Wait(TicketId, BootTime),
    /// It does not run; the caller may come back after the given time.
    Refuse(RefusalReason, Duration),
}

/// The slots of one target and the short queue in front of them.
///
/// Free slots go by class, then to callers within their fair share, then to those that can still meet
/// their objective, the nearest first, then by deadline. A class that was passed over often enough
/// goes first once, so that none starves.
///
/// A request that the queue alone would make late is refused at once. Otherwise a target that gets
/// more than it can run answers everybody late, and nobody in time. The most urgent class and short
/// requests wait up to their deadline all the same: the work of other services hangs on them, and is
/// lost with them, and they take little from others.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limit: LatencyLimit,
    last_ticket: TicketId,
    running: BTreeMap<TicketId, RunningRequest>,
    waiting: BTreeMap<TicketId, AdmissionRequest>,
    refused: BTreeMap<TicketId, RefusalReason>,
    passed_over: BTreeMap<RequestClass, u32>,
    kinds: BTreeMap<Arc<str>, KindTime>,
    news: Vec<TicketId>,
}

/// How long the target takes for the requests of one kind.
///
/// Those of a target differ by ten and more times: a look-up for another service beside a request
/// that makes such look-ups itself.
#[derive(Clone, Copy, Debug)]
struct KindTime {
    mean: Duration,
    measured_at: BootTime,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    kind: Arc<str>,
    caller: Arc<str>,
    began: BootTime,
}

impl AdmissionQueue {
    /// You give the limit on requests side by side.
    #[must_use]
    pub fn new(limit: LatencyLimit) -> Self {
        Self {
            limit,
            last_ticket: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            refused: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            kinds: BTreeMap::new(),
            news: Vec::new(),
        }
    }

    /// Takes another number of slots from a newer configuration.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_slots(slots);
    }

    // --- a request's way ------------------------------------------------------------------------

    /// A request came in.
    pub fn offer(&mut self, request: AdmissionRequest, now: BootTime) -> AdmissionStep {
        if !self.kinds.contains_key(&request.kind) {
            self.set_kind_time(request.kind.clone(), self.limit.mean(), now);
        }
        let latest = self.latest_start(&request, now);
        let rank = (request.class, self.urgency(&request, now));
        let ahead = || {
            self.waiting
                .values()
                .filter(|r| (r.class, self.urgency(r, now)) <= rank)
        };
        let wait = if self.has_room() && ahead().next().is_none() {
            Duration::ZERO
        } else {
            self.time_for(ahead(), now)
        };
        if now + wait > latest || now >= request.deadline {
            return AdmissionStep::Refuse(RefusalReason::DeadlineTooShort, self.drain_time(now));
        }
        let in_time = self.is_in_time(&request, now);
        let made_late = in_time && !self.is_in_time(&request, now + wait);
        if made_late && !self.is_worth_waiting(&request, now) {
            return AdmissionStep::Refuse(RefusalReason::Overloaded, self.drain_time(now));
        }
        if !self.has_room() && !self.make_place(&request) {
            return AdmissionStep::Refuse(RefusalReason::Overloaded, self.drain_time(now));
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.insert(ticket, request);
        self.start_waiting(now);
        self.poll(ticket, now)
    }

    /// Asks again about a request that was told to wait.
    pub fn poll(&mut self, ticket: TicketId, now: BootTime) -> AdmissionStep {
        if self.running.contains_key(&ticket) {
            return AdmissionStep::Enter(ticket);
        }
        if let Some(reason) = self.refused.remove(&ticket) {
            return AdmissionStep::Refuse(reason, self.drain_time(now));
        }
        let Some(request) = self.waiting.get(&ticket) else {
            return AdmissionStep::Refuse(RefusalReason::Overloaded, self.drain_time(now));
        };
        let latest = self.latest_start(request, now);
        if now >= latest {
            self.waiting.remove(&ticket);
            return AdmissionStep::Refuse(RefusalReason::DeadlineTooShort, self.drain_time(now));
        }
        AdmissionStep::Wait(ticket, latest)
    }

    /// A request is over, or its caller left while it waited.
    ///
    /// `measured` says whether the target worked on it, so that its time tells of the target.
    pub fn leave(&mut self, ticket: TicketId, measured: bool, now: BootTime) {
        let full = self.running.len() >= self.limit.limit() as usize;
        // Its caller may have left while it waited.
        self.waiting.remove(&ticket);
        self.refused.remove(&ticket);
        if let Some(request) = self.running.remove(&ticket).filter(|_| measured) {
            let took = now.saturating_sub(request.began);
            self.limit.record(took, full, now);
            self.record(request.kind, took, now);
        }
        self.start_waiting(now);
    }

    /// Waiting requests that were settled since the last call: those who wait for them should ask
    /// again.
    pub fn take_news(&mut self) -> Vec<TicketId> {
        std::mem::take(&mut self.news)
    }

    // --- choosing -------------------------------------------------------------------------------

    fn start_waiting(&mut self, now: BootTime) {
        self.drop_late(now);
        while self.has_room() {
            let Some(ticket) = self.choose(now) else {
                break;
            };
            let Some(request) = self.waiting.remove(&ticket) else {
                break;
            };
            self.count_passed_over(request.class);
            let running = RunningRequest {
                kind: request.kind,
                caller: request.caller,
                began: now,
            };
            self.running.insert(ticket, running);
            self.news.push(ticket);
        }
    }

    /// Takes out what cannot make its deadline any more.
    fn drop_late(&mut self, now: BootTime) {
        let late: Vec<TicketId> = self
            .waiting
            .iter()
            .filter(|(_, request)| now >= self.latest_start(request, now))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            self.settle(ticket, RefusalReason::DeadlineTooShort);
        }
    }

    fn choose(&self, now: BootTime) -> Option<TicketId> {
        let classes: BTreeSet<RequestClass> = self.waiting.values().map(|r| r.class).collect();
        let overdue = classes.iter().rev().find(|class| self.is_overdue(**class));
        let class = *overdue.or(classes.first())?;
        let share = self.fair_share();
        let held = self.held_by_caller();
        let of_class = self.waiting.iter().filter(|(_, r)| r.class == class);
        let next = of_class.min_by_key(|(ticket, request)| {
            let above_share = held.get(&request.caller).copied().unwrap_or(0) >= share;
            (above_share, self.urgency(request, now), **ticket)
        });
        next.map(|(ticket, _)| *ticket)
    }

    fn is_overdue(&self, class: RequestClass) -> bool {
        let passed_over = self.passed_over.get(&class).copied().unwrap_or(0);
        match class {
            RequestClass::Claim => false,
            RequestClass::Read => passed_over >= READ_FLOOR,
            RequestClass::Archive => passed_over >= ARCHIVE_FLOOR,
        }
    }

    fn count_passed_over(&mut self, started: RequestClass) {
        self.passed_over.insert(started, 0);
        let classes: BTreeSet<RequestClass> = self.waiting.values().map(|r| r.class).collect();
        for class in classes.into_iter().filter(|class| *class != started) {
            *self.passed_over.entry(class).or_default() += 1;
        }
    }

    // --- the waiting room -----------------------------------------------------------------------

    /// Finds a place for a request in the waiting room, if need be by refusing a lesser one.
    fn make_place(&mut self, request: &AdmissionRequest) -> bool {
        if self.waiting.len() < self.room() {
            return true;
        }
        let Some(ticket) = self.least_worthy(request) else {
            return false;
        };
        self.settle(ticket, RefusalReason::Overloaded);
        true
    }

    /// Refuses a request that waits.
    fn settle(&mut self, ticket: TicketId, reason: RefusalReason) {
        self.waiting.remove(&ticket);
        self.refused.insert(ticket, reason);
        self.news.push(ticket);
    }

    /// The waiting request that has to go for `request`, if one does.
    ///
    /// A lower class goes first, down to its floor; then within the class a request of a caller
    /// who takes more of the queue than the one who asks.
    fn least_worthy(&self, request: &AdmissionRequest) -> Option<TicketId> {
        let floor = (self.room() / ROOM_FLOOR).max(1);
        let of_class = |class| self.waiting.values().filter(|r| r.class == class).count();
        let lower = [
            RequestClass::Archive,
            RequestClass::Read,
            RequestClass::Claim,
        ]
        .into_iter()
        .filter(|class| *class != request.class)
        .find(|class| {
            let gives_way = *class > request.class || of_class(request.class) < floor;
            gives_way && of_class(*class) > floor
        });
        let held = self.held_by_caller();
        let held_by = |caller| held.get(caller).copied().unwrap_or(0);
        let class = lower.unwrap_or(request.class);
        let least = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.class == class)
            .max_by_key(|(ticket, r)| (held_by(&r.caller), r.deadline, **ticket));
        let (ticket, waiting) = least?;
        let greedier = held_by(&waiting.caller) > held_by(&request.caller) + 1;
        (lower.is_some() || greedier).then_some(*ticket)
    }

    fn room(&self) -> usize {
        self.limit.limit() as usize * WAITING_PER_SLOT
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.limit.limit() as usize
    }

    fn held_by_caller(&self) -> BTreeMap<Arc<str>, usize> {
        let running = self.running.values().map(|r| &r.caller);
        let waiting = self.waiting.values().map(|r| &r.caller);
        let mut held = BTreeMap::new();
        for caller in running.chain(waiting) {
            *held.entry(caller.clone()).or_default() += 1;
        }
        held
    }

    /// Slots and places that each present caller may take while others wait.
    fn fair_share(&self) -> usize {
        let callers = self.held_by_caller().len().max(1);
        (self.limit.limit() as usize + self.waiting.len()).div_ceil(callers)
    }

    // --- estimates ------------------------------------------------------------------------------

    /// Takes the time that one request of a kind took.
    fn record(&mut self, kind: Arc<str>, took: Duration, now: BootTime) {
        let known = self.kind_time(&kind, now);
        let mean = moving_mean(known, took, MEAN_WEIGHT);
        self.set_kind_time(kind, mean, now);
    }

    fn set_kind_time(&mut self, kind: Arc<str>, mean: Duration, now: BootTime) {
        if self.kinds.len() >= KIND_LIMIT {
            self.kinds
                .retain(|_, time| now < time.measured_at + KIND_HALF_LIFE);
        }
        let measured_at = now;
        self.kinds.insert(kind, KindTime { mean, measured_at });
    }

    /// How long a request of that kind takes; the mean of all where the kind is new.
    fn kind_time(&self, kind: &str, now: BootTime) -> Duration {
        let known = self.kinds.get(kind).filter(|time| !time.mean.is_zero());
        let Some(time) = known else {
            return self.limit.mean();
        };
        let age = now.saturating_sub(time.measured_at).as_millis() / KIND_HALF_LIFE.as_millis();
        let halvings = u32::try_from(age).unwrap_or(u32::MAX);
        time.mean / 1_u32.checked_shl(halvings).unwrap_or(u32::MAX)
    }

    /// The order within a class: what can still be answered in time, the nearest objective first, then
    /// the rest by deadline.
    fn urgency(&self, request: &AdmissionRequest, now: BootTime) -> (bool, BootTime) {
        if self.is_in_time(request, now) || self.is_worth_waiting(request, now) {
            (false, request.objective)
        } else {
            (true, request.deadline)
        }
    }

    /// True for requests that run also where they are late.
    fn is_worth_waiting(&self, request: &AdmissionRequest, now: BootTime) -> bool {
        let short = self.kind_time(&request.kind, now) * SHORT_PART <= self.limit.mean();
        short || request.class == RequestClass::Claim
    }

    /// True where a request that starts at `start` is answered within its objective.
    fn is_in_time(&self, request: &AdmissionRequest, start: BootTime) -> bool {
        start + self.kind_time(&request.kind, start) <= request.objective
    }

    /// The last moment at which a request can start and still be answered before its deadline.
    ///
    /// A target with nothing to do may have become faster since it was measured, so one request is
    /// always let through to see.
    fn latest_start(&self, request: &AdmissionRequest, now: BootTime) -> BootTime {
        if self.running.is_empty() {
            return request.deadline;
        }
        let time = self.kind_time(&request.kind, now);
        request.deadline.saturating_sub(time)
    }

    /// Time until those requests have had a slot and one more is free.
    ///
    /// Where even the newest running request is older than the mean, the target is slower than
    /// it was, and the mean does not count.
    fn time_for<'a>(
        &self,
        ahead: impl Iterator<Item = &'a AdmissionRequest>,
        now: BootTime,
    ) -> Duration {
        let newest = self.running.values().map(|r| r.began).max();
        let age = newest.map_or(Duration::ZERO, |began| now.saturating_sub(began));
        let mean = self.limit.mean();
        let ahead = ahead.map(|request| self.kind_time(&request.kind, now).max(age));
        (mean.max(age) + ahead.sum::<Duration>()) / self.limit.limit()
    }

    /// Time until what waits now has had a slot: when it is worth coming back.
    fn drain_time(&self, now: BootTime) -> Duration {
        self.time_for(self.waiting.values(), now)
    }

    // --- reading --------------------------------------------------------------------------------

    /// Requests at the target.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The limit on requests side by side.
    #[must_use]
    pub fn limit(&self) -> &LatencyLimit {
        &self.limit
    }
}
