//! Admission control for one target: starts, queues or refuses incoming requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::moving_average::moving_average;
use crate::{BootTime, LatencyLimit, RefusalReason, RequestClass};

/// Share of calls in the work, in percent, from which slots are reserved for them.
const MIN_CALL_SHARE_PERCENT: u32 = 10;

/// Minimum number of slots of a target that reserves some for calls.
const MIN_SLOTS_FOR_RESERVE: u32 = 3;

/// Number of requests that may wait per slot.
const WAITING_PER_SLOT: usize = 4;

/// A waiting claim is started next after this many calls were started first.
const MAX_CLAIM_SKIPS: u32 = 8;

/// A waiting read is started next after this many requests of other classes were started first.
const MAX_READ_SKIPS: u32 = 4;

/// A waiting archive request is started next after this many requests of other classes were started first.
const MAX_ARCHIVE_SKIPS: u32 = 9;

/// Divisor of the queue capacity that gives the part reserved for each class.
const CLASS_RESERVE_DIVISOR: usize = 4;

/// The measured service time of a request kind halves after each period of this length without a new
/// measurement.
///
/// A kind that seems too slow for its deadlines is refused and therefore no longer measured. The decay
/// lets it be attempted again eventually.
const KIND_HALF_LIFE: Duration = Duration::from_secs(1);

/// Maximum number of request kinds whose service time is tracked.
const MAX_KINDS: usize = 256;

/// Divisor that gives the weight of the newest measurement in the moving average of a kind.
const AVERAGE_WEIGHT_DIVISOR: u32 = 8;

/// A request kind is short if its service time is at most the moving average of all requests divided by
/// this.
const SHORT_KIND_DIVISOR: u32 = 3;

/// Identifies a request that is running or waiting in an [`AdmissionQueue`].
pub type TicketId = u64;

/// The properties of a request that admission depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Priority class of the request.
    pub class: RequestClass,
    /// Kind of work, such as the route; requests of one kind have similar service times.
    pub kind: Arc<str>,
    /// Time by which the caller would like the response; a later response has less value.
    pub objective: BootTime,
    /// Time after which a response is of no use to the caller.
    pub deadline: BootTime,
    /// Client account that sent the request.
    pub caller: Arc<str>,
}

/// The admission decision for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// The request has a slot and is sent to the target now.
    Enter(TicketId),
    /// The request waits; call [`AdmissionQueue::poll`] again no later than the given time.
    Wait(TicketId, BootTime),
    /// The request is refused; the caller may retry after the given time.
    Refuse(RefusalReason, Duration),
}

/// The concurrency slots of one target and a short queue of requests that wait for them.
///
/// Free slots are assigned by class, then to callers within their fair share, then to requests that can
/// still meet their objective, earliest objective first, then by deadline. A class that was skipped too
/// often is served next once, which prevents starvation.
///
/// A request that would miss its objective only because of the queue is refused at once. Otherwise an
/// overloaded target would respond to every request late. Requests of the most urgent class and short
/// requests may still wait up to their deadline: other services depend on them and lose their own work
/// if they fail, and they use little capacity.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    limit: LatencyLimit,
    /// Slots that only calls may use.
    call_slots: u32,
    last_ticket: TicketId,
    running: BTreeMap<TicketId, RunningRequest>,
    waiting: BTreeMap<TicketId, AdmissionRequest>,
    refused: BTreeMap<TicketId, RefusalReason>,
    skips: BTreeMap<RequestClass, u32>,
    service_times: BTreeMap<Arc<str>, KindServiceTime>,
    updates: Vec<TicketId>,
}

/// Measured service time of one request kind.
///
/// Service times of the kinds at one target can differ by a factor of ten or more, for example between a
/// look-up for another service and a request that makes such look-ups itself.
#[derive(Clone, Copy, Debug)]
struct KindServiceTime {
    mean: Duration,
    measured_at: BootTime,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    class: RequestClass,
    kind: Arc<str>,
    caller: Arc<str>,
    started_at: BootTime,
}

impl AdmissionQueue {
    /// Creates an empty queue with the given limit on concurrent requests.
    #[must_use]
    pub fn new(limit: LatencyLimit) -> Self {
        Self {
            limit,
            call_slots: 0,
            last_ticket: 0,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            refused: BTreeMap::new(),
            skips: BTreeMap::new(),
            service_times: BTreeMap::new(),
            updates: Vec::new(),
        }
    }

    /// Sets the number of slots, after a configuration change.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_slots(slots);
    }

    /// Reserves slots for calls in proportion to their share of the work, in percent.
    ///
    /// A call is short, and the run that waits for it holds a slot elsewhere; without a reserve it would
    /// wait for one of the long requests to finish.
    pub fn set_call_share(&mut self, percent: u32) {
        let slots = self.limit.limit();
        self.call_slots = if percent < MIN_CALL_SHARE_PERCENT || slots < MIN_SLOTS_FOR_RESERVE {
            0
        } else {
            (slots * percent / 100).clamp(1, slots / 2)
        };
    }

    // --- request lifecycle ----------------------------------------------------------------------

    /// Decides whether a new request starts, waits or is refused.
    pub fn offer(&mut self, request: AdmissionRequest, now: BootTime) -> AdmissionStep {
        if !self.service_times.contains_key(&request.kind) {
            self.set_service_time(request.kind.clone(), self.limit.mean(), now);
        }
        let latest = self.latest_start(&request, now);
        let rank = (request.class, self.urgency(&request, now));
        let ahead = || {
            self.waiting
                .values()
                .filter(|r| (r.class, self.urgency(r, now)) <= rank)
        };
        let wait = if self.has_free_slot(request.class) && ahead().next().is_none() {
            Duration::ZERO
        } else {
            self.estimate_wait(ahead(), now)
        };
        if now + wait > latest || now >= request.deadline {
            return AdmissionStep::Refuse(RefusalReason::DeadlineTooShort, self.drain_time(now));
        }
        let in_time = self.is_in_time(&request, now);
        let made_late = in_time && !self.is_in_time(&request, now + wait);
        if made_late && !self.may_miss_objective(&request, now) {
            return AdmissionStep::Refuse(RefusalReason::Overloaded, self.drain_time(now));
        }
        if !self.has_free_slot(request.class) && !self.ensure_queue_capacity(&request) {
            return AdmissionStep::Refuse(RefusalReason::Overloaded, self.drain_time(now));
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.waiting.insert(ticket, request);
        self.start_waiting(now);
        self.poll(ticket, now)
    }

    /// Returns the current decision for a request that was waiting.
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

    /// Removes a request that has finished, or whose caller disconnected while it waited.
    ///
    /// `measured` is true if the target processed the request, so that the elapsed time is a valid
    /// measurement of the target.
    pub fn finish(&mut self, ticket: TicketId, measured: bool, now: BootTime) {
        let limit_reached = self.running.len() >= self.limit.limit() as usize;
        // The caller may have disconnected while the request waited.
        self.waiting.remove(&ticket);
        self.refused.remove(&ticket);
        if let Some(request) = self.running.remove(&ticket).filter(|_| measured) {
            let elapsed = now.saturating_sub(request.started_at);
            self.limit.record(elapsed, limit_reached, now);
            self.record_service_time(request.kind, elapsed, now);
        }
        self.start_waiting(now);
    }

    /// Returns the waiting requests that were started or refused since the last call.
    ///
    /// The tasks that wait for these requests should call [`Self::poll`] again.
    pub fn take_updates(&mut self) -> Vec<TicketId> {
        std::mem::take(&mut self.updates)
    }

    // --- scheduling -----------------------------------------------------------------------------

    fn start_waiting(&mut self, now: BootTime) {
        self.refuse_late(now);
        while let Some(ticket) = self.choose_next(now) {
            let Some(request) = self.waiting.remove(&ticket) else {
                break;
            };
            self.count_skips(request.class);
            let running = RunningRequest {
                class: request.class,
                kind: request.kind,
                caller: request.caller,
                started_at: now,
            };
            self.running.insert(ticket, running);
            self.updates.push(ticket);
        }
    }

    /// Refuses waiting requests that can no longer be answered before their deadline.
    fn refuse_late(&mut self, now: BootTime) {
        let late: Vec<TicketId> = self
            .waiting
            .iter()
            .filter(|(_, request)| now >= self.latest_start(request, now))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in late {
            self.refuse_waiting(ticket, RefusalReason::DeadlineTooShort);
        }
    }

    fn choose_next(&self, now: BootTime) -> Option<TicketId> {
        let classes: BTreeSet<RequestClass> = self
            .waiting
            .values()
            .map(|r| r.class)
            .filter(|class| self.has_free_slot(*class))
            .collect();
        let starved = classes.iter().rev().find(|class| self.is_starved(**class));
        let class = *starved.or(classes.first())?;
        let share = self.fair_share();
        let held = self.held_per_caller();
        let of_class = self.waiting.iter().filter(|(_, r)| r.class == class);
        let next = of_class.min_by_key(|(ticket, request)| {
            let above_share = held.get(&request.caller).copied().unwrap_or(0) >= share;
            (above_share, self.urgency(request, now), **ticket)
        });
        next.map(|(ticket, _)| *ticket)
    }

    fn is_starved(&self, class: RequestClass) -> bool {
        let skips = self.skips.get(&class).copied().unwrap_or(0);
        match class {
            RequestClass::Call => false,
            RequestClass::Claim => skips >= MAX_CLAIM_SKIPS,
            RequestClass::Read => skips >= MAX_READ_SKIPS,
            RequestClass::Archive => skips >= MAX_ARCHIVE_SKIPS,
        }
    }

    fn count_skips(&mut self, started: RequestClass) {
        self.skips.insert(started, 0);
        let classes: BTreeSet<RequestClass> = self.waiting.values().map(|r| r.class).collect();
        for class in classes.into_iter().filter(|class| *class != started) {
            *self.skips.entry(class).or_default() += 1;
        }
    }

    // --- queue capacity -------------------------------------------------------------------------

    /// Makes sure that the queue has capacity for `request`, refusing a waiting one if necessary.
    ///
    /// Returns false if the queue is full and no waiting request may be evicted.
    fn ensure_queue_capacity(&mut self, request: &AdmissionRequest) -> bool {
        if self.waiting.len() < self.queue_capacity() {
            return true;
        }
        let Some(ticket) = self.eviction_candidate(request) else {
            return false;
        };
        self.refuse_waiting(ticket, RefusalReason::Overloaded);
        true
    }

    /// Refuses a waiting request.
    fn refuse_waiting(&mut self, ticket: TicketId, reason: RefusalReason) {
        self.waiting.remove(&ticket);
        self.refused.insert(ticket, reason);
        self.updates.push(ticket);
    }

    /// Returns the waiting request to evict in favour of `request`, if any.
    ///
    /// Prefers another class that uses more than its reserved part of the queue: a lower class, or any
    /// class if the class of `request` uses less than its own reserved part. Otherwise returns a request of
    /// the same class, if its caller holds at least two slots and queue entries more than the caller of
    /// `request`.
    fn eviction_candidate(&self, request: &AdmissionRequest) -> Option<TicketId> {
        let reserved = (self.queue_capacity() / CLASS_RESERVE_DIVISOR).max(1);
        let of_class = |class| self.waiting.values().filter(|r| r.class == class).count();
        let lower = [
            RequestClass::Archive,
            RequestClass::Read,
            RequestClass::Claim,
            RequestClass::Call,
        ]
        .into_iter()
        .filter(|class| *class != request.class)
        .find(|class| {
            let may_displace = *class > request.class || of_class(request.class) < reserved;
            may_displace && of_class(*class) > reserved
        });
        let held = self.held_per_caller();
        let held_by = |caller| held.get(caller).copied().unwrap_or(0);
        let class = lower.unwrap_or(request.class);
        let candidate = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.class == class)
            .max_by_key(|(ticket, r)| (held_by(&r.caller), r.deadline, **ticket));
        let (ticket, waiting) = candidate?;
        let holds_more = held_by(&waiting.caller) > held_by(&request.caller) + 1;
        (lower.is_some() || holds_more).then_some(*ticket)
    }

    fn queue_capacity(&self) -> usize {
        self.limit.limit() as usize * WAITING_PER_SLOT
    }

    fn has_free_slot(&self, class: RequestClass) -> bool {
        let limit = self.limit.limit() as usize;
        if class == RequestClass::Call {
            return self.running.len() < limit;
        }
        let calls = self
            .running
            .values()
            .filter(|r| r.class == RequestClass::Call)
            .count();
        let unused_reserve = (self.call_slots as usize).saturating_sub(calls);
        self.running.len() + unused_reserve < limit
    }

    fn held_per_caller(&self) -> BTreeMap<Arc<str>, usize> {
        let running = self.running.values().map(|r| &r.caller);
        let waiting = self.waiting.values().map(|r| &r.caller);
        let mut held = BTreeMap::new();
        for caller in running.chain(waiting) {
            *held.entry(caller.clone()).or_default() += 1;
        }
        held
    }

    /// Returns the number of slots and queue entries that each current caller may hold.
    fn fair_share(&self) -> usize {
        let callers = self.held_per_caller().len().max(1);
        (self.limit.limit() as usize + self.waiting.len()).div_ceil(callers)
    }

    // --- estimates ------------------------------------------------------------------------------

    /// Adds one measurement to the service time of a request kind.
    fn record_service_time(&mut self, kind: Arc<str>, elapsed: Duration, now: BootTime) {
        let known = self.service_time(&kind, now);
        let mean = moving_average(known, elapsed, AVERAGE_WEIGHT_DIVISOR);
        self.set_service_time(kind, mean, now);
    }

    fn set_service_time(&mut self, kind: Arc<str>, mean: Duration, now: BootTime) {
        if self.service_times.len() >= MAX_KINDS {
            self.service_times
                .retain(|_, time| now < time.measured_at + KIND_HALF_LIFE);
        }
        let measured_at = now;
        self.service_times
            .insert(kind, KindServiceTime { mean, measured_at });
    }

    /// Returns the estimated service time of a kind, or the moving average of all requests if
    /// the kind is not known.
    #[must_use]
    pub fn service_time(&self, kind: &str, now: BootTime) -> Duration {
        let known = self
            .service_times
            .get(kind)
            .filter(|time| !time.mean.is_zero());
        let Some(time) = known else {
            return self.limit.mean();
        };
        let age = now.saturating_sub(time.measured_at).as_millis() / KIND_HALF_LIFE.as_millis();
        let halvings = u32::try_from(age).unwrap_or(u32::MAX);
        time.mean / 1_u32.checked_shl(halvings).unwrap_or(u32::MAX)
    }

    /// Returns the sort key within a class.
    ///
    /// Requests that can still meet their objective come first, ordered by objective; the others follow,
    /// ordered by deadline.
    fn urgency(&self, request: &AdmissionRequest, now: BootTime) -> (bool, BootTime) {
        if self.is_in_time(request, now) || self.may_miss_objective(request, now) {
            (false, request.objective)
        } else {
            (true, request.deadline)
        }
    }

    /// Returns true for requests that are run even if they miss their objective.
    fn may_miss_objective(&self, request: &AdmissionRequest, now: BootTime) -> bool {
        let short = self.service_time(&request.kind, now) * SHORT_KIND_DIVISOR <= self.limit.mean();
        short || request.class <= RequestClass::Claim
    }

    /// Returns true if a request that starts at `start` should be answered within its objective.
    fn is_in_time(&self, request: &AdmissionRequest, start: BootTime) -> bool {
        start + self.service_time(&request.kind, start) <= request.objective
    }

    /// Returns the latest time at which a request can start and still be answered before its deadline.
    ///
    /// An idle target may have become faster since it was last measured, so it always accepts one
    /// request to measure it again.
    fn latest_start(&self, request: &AdmissionRequest, now: BootTime) -> BootTime {
        if self.running.is_empty() {
            return request.deadline;
        }
        let time = self.service_time(&request.kind, now);
        request.deadline.saturating_sub(time)
    }

    /// Estimates the time until the requests in `ahead` have been served and a slot is free again.
    ///
    /// If even the newest running request has been running for longer than the moving average of the
    /// service time, the target has become slower, and the age of that request is used instead.
    fn estimate_wait<'a>(
        &self,
        ahead: impl Iterator<Item = &'a AdmissionRequest>,
        now: BootTime,
    ) -> Duration {
        let newest = self.running.values().map(|r| r.started_at).max();
        let age = newest.map_or(Duration::ZERO, |started_at| now.saturating_sub(started_at));
        let mean = self.limit.mean();
        let ahead = ahead.map(|request| self.service_time(&request.kind, now).max(age));
        (mean.max(age) + ahead.sum::<Duration>()) / self.limit.limit()
    }

    /// Estimates the time until all waiting requests have been served; used as the retry delay.
    fn drain_time(&self, now: BootTime) -> Duration {
        self.estimate_wait(self.waiting.values(), now)
    }

    // --- accessors ------------------------------------------------------------------------------

    /// Returns the number of requests that the target is processing.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the limit on concurrent requests.
    #[must_use]
    pub fn limit(&self) -> &LatencyLimit {
        &self.limit
    }
}
