//! The gateway to the local target; every request to the target passes through it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anvilrack_core::{
    AdmissionHint, AdmissionQueue, AdmissionRequest, AdmissionStep, AdmittedShares, BootTime,
    CallRoutes, CheckReason, DemandMeter, DepartureKeeper, DepartureVersion, LatencyLimit,
    OfferedRequest, RateHint, RateLimiter, RecentDurations, RefusalReason, RequestClass,
    RequestFingerprint, RunAdmission, ServiceTimeMeter, ShardId, ShardMeter, StopRequest,
    TargetCapacity, TargetDeparture, TargetLoad, TicketId, UncertainReason, events,
};
use anvilrack_router::boot_clock;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::Notify;

use crate::end_to_end_headers;
use crate::guard::cold_target::ColdTarget;
use crate::guard::{
    BodyCapacity, IncarnationState, IncarnationTracker, NotificationEffect, StartedRequests,
    SuspectTurn, TargetIncarnation, TargetNotification,
};
use crate::held_body::HeldBody;
use crate::http_pool::{ConnectionAge, HttpPool, SendError, within};
use crate::mutex_lock::lock;
use crate::peers::{BodyCapacityCall, RunCall, RunReply};
use crate::request_content::content_label;
use crate::{
    NodeState, PlatformDialect, RateLimitNotice, RequestId, TargetCondition, TargetRequestInfo,
    TargetResponseInfo, emit_event, observe,
};
use anvilrack_limits::{MemoryHold, MemoryPool};

/// Timeout for connecting to the target, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of slots assumed until the target reports its own.
const DEFAULT_SLOTS: u32 = 4;

/// Minimum `Retry-After` time of a refused request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// `Retry-After` time for a target that is stopping or gone.
const GONE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// `Retry-After` time for a shard that is moving between two owners.
const MOVING_RETRY_AFTER: Duration = Duration::from_millis(150);

/// `Retry-After` time while a service that the target calls is overloaded.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` time for a request whose router has to fetch the newest site document first.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` time of a router that has just started.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which memory that was reserved for a body is released if the body has not begun to arrive.
const RESERVATION_TIMEOUT: Duration = Duration::from_secs(2);

/// `Retry-After` time while there is no memory for a request.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` time while the failure domain of the target is evacuated.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Maximum time that a suspect waits for another one to end.
const MAX_SUSPECT_WAIT: Duration = Duration::from_millis(300);

/// `Retry-After` time of a suspect while another one runs.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Minimum time left until the deadline for a request to be sent to the target.
const MIN_TIME_LEFT: Duration = Duration::from_millis(2);

/// The reason for a refusal and its `Retry-After` time.
type Refusal = (RefusalReason, Duration);

/// Admission, fencing and limits for the local target.
#[derive(Debug)]
pub struct TargetGateway {
    pool: HttpPool,
    incarnations: Mutex<IncarnationTracker>,
    queue: Mutex<AdmissionQueue>,
    demand: Mutex<DemandMeter>,
    call_routes: Mutex<CallRoutes>,
    waiters: Mutex<HashMap<TicketId, Arc<Notify>>>,
    started: Mutex<StartedRequests>,
    capacity: Mutex<BodyCapacity>,
    memory: MemoryPool,
    /// Memory for bodies that are about to arrive, by the request.
    reservations: Arc<Mutex<HashMap<RequestId, Arc<MemoryHold>>>>,
    meter: Mutex<ShardMeter>,
    service_time: Mutex<ServiceTimeMeter>,
    /// Time that recent requests took at the target, by route.
    durations: Mutex<RecentDurations>,
    rate_limiter: Mutex<RateLimiter>,
    cold_target: ColdTarget,
    target_capacity: Mutex<TargetCapacity>,
}

/// A position in the admission queue or a slot at the target; dropping it releases it.
struct SlotTicket<'a> {
    gateway: &'a TargetGateway,
    ticket: TicketId,
    measured: bool,
    /// Held while the request runs if it is a suspect.
    suspect_turn: Option<SuspectTurn<'a>>,
}

/// A request that may be sent to the target.
struct AdmittedRun<'a> {
    /// Fingerprint of the request's content.
    content: RequestFingerprint,
    slot: SlotTicket<'a>,
    target: TargetIncarnation,
}

impl Drop for SlotTicket<'_> {
    fn drop(&mut self) {
        let tickets = {
            let mut queue = self.gateway.queue();
            queue.finish(self.ticket, self.measured, boot_clock::now());
            queue.take_updates()
        };
        lock(&self.gateway.waiters).remove(&self.ticket);
        self.gateway.wake(&tickets);
    }
}

impl TargetGateway {
    /// Creates the gateway to the target at `target`, on a VM with a link of `link_mbps` megabits per
    /// second. Responses are received in `memory`.
    #[must_use]
    pub fn new(target: std::net::SocketAddr, link_mbps: u32, memory: MemoryPool) -> Self {
        Self {
            pool: HttpPool::new(target, CONNECT_TIMEOUT).with_memory(memory.clone()),
            memory,
            reservations: Arc::default(),
            incarnations: Mutex::default(),
            queue: Mutex::new(AdmissionQueue::new(
                LatencyLimit::new(DEFAULT_SLOTS).with_fixed_limit(),
            )),
            demand: Mutex::default(),
            call_routes: Mutex::default(),
            waiters: Mutex::default(),
            started: Mutex::default(),
            capacity: Mutex::new(BodyCapacity::new(link_mbps)),
            meter: Mutex::default(),
            service_time: Mutex::default(),
            durations: Mutex::default(),
            rate_limiter: Mutex::default(),
            cold_target: ColdTarget::default(),
            target_capacity: Mutex::default(),
        }
    }

    /// Runs a request at the target.
    ///
    /// The reply states whether the request ran, did not run or may have run.
    pub async fn run<D: PlatformDialect>(
        &self,
        node: &Arc<NodeState<D>>,
        call: RunCall,
        body: HeldBody,
    ) -> (RunReply, HeldBody) {
        let deadline = boot_clock::now() + call.time_left;
        let content = call.content(&body).fingerprint();
        match self.admit(node, &call, content, deadline).await {
            Ok((slot, target)) => {
                let run = AdmittedRun {
                    content,
                    slot,
                    target,
                };
                // On the heap, since it is large and most waiting requests have not come so far.
                Box::pin(self.send(node, call, body, run, deadline)).await
            }
            Err((reason, retry_after)) => {
                let (running, waiting) = self.load();
                emit_event!(
                    Info,
                    events::ADMISSION_REFUSED,
                    request = &*call.request,
                    why = reason.as_str(),
                    class = call.class.as_str(),
                    key = call.key,
                    running = running,
                    waiting = waiting,
                    time_left_ms = observe::millis(call.time_left),
                    retry_after_ms = observe::millis(retry_after)
                );
                let retry_after = retry_after.max(MIN_RETRY_AFTER);
                not_run(reason, retry_after)
            }
        }
    }

    /// Reserves capacity of the link and memory for a long body before its request is sent.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the router is stopping or has no capacity; the request has not run.
    pub fn reserve_body<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        call: &BodyCapacityCall,
    ) -> Result<(), RunReply> {
        let bytes = usize::try_from(call.bytes).unwrap_or(usize::MAX);
        let now = boot_clock::now();
        let reservation = if node.is_withdrawn() {
            Err((RefusalReason::Stopping, GONE_RETRY_AFTER))
        } else {
            let result = lock(&self.capacity).reserve(&call.request, bytes, now);
            let result =
                result.map_err(|after| (RefusalReason::Overloaded, after.max(MIN_RETRY_AFTER)));
            result.and_then(|()| self.reserve_memory(&call.request, bytes))
        };
        reservation.map_err(|(reason, retry_after)| {
            emit_event!(
                Info,
                events::BODY_REFUSED,
                request = &*call.request,
                why = reason.as_str(),
                bytes = call.bytes,
                expected = lock(&self.capacity).in_transit(),
                retry_after_ms = observe::millis(retry_after)
            );
            not_run(reason, retry_after).0
        })
    }

    /// Holds memory for a body until it begins to arrive.
    fn reserve_memory(&self, request: &RequestId, bytes: usize) -> Result<(), Refusal> {
        let Some(hold) = self.memory.reserve(bytes) else {
            lock(&self.capacity).release_reservation(request);
            return Err((RefusalReason::NoMemory, MEMORY_RETRY_AFTER));
        };
        let needed = Arc::new(Notify::new());
        hold.notify_owner(needed.clone());
        let (reservations, request) = (self.reservations.clone(), request.clone());
        let reserved = Arc::downgrade(&hold);
        lock(&reservations).insert(request.clone(), hold);
        tokio::spawn(async move {
            // Ends early if others need the memory.
            within(RESERVATION_TIMEOUT, needed.notified()).await;
            let mut reservations = lock(&reservations);
            let is_same = |hold: &Arc<MemoryHold>| Arc::as_ptr(hold) == reserved.as_ptr();
            if reservations.get(&request).is_some_and(is_same) {
                reservations.remove(&request);
            }
        });
        Ok(())
    }

    /// Returns the memory that is reserved for the body of a request, which now arrives.
    #[must_use]
    pub fn take_reservation(&self, request: &RequestId) -> Option<Arc<MemoryHold>> {
        let hold = lock(&self.reservations).remove(request)?;
        hold.notify_self();
        Some(hold)
    }

    /// Returns the refusal of a request for whose body there is no memory.
    #[must_use]
    pub fn refuse_for_memory(&self) -> (RunReply, HeldBody) {
        not_run(RefusalReason::NoMemory, MEMORY_RETRY_AFTER)
    }

    /// Releases the body reservation of a request that has arrived completely.
    pub fn release_body_reservation(&self, request: &RequestId) {
        lock(&self.capacity).release_reservation(request);
    }

    /// Cancels a request before it starts; returns false if it has already started.
    pub fn cancel_before_start(&self, request: &RequestId) -> bool {
        let cancelled = lock(&self.started).cancel_before_start(request, boot_clock::now());
        emit_event!(
            Info,
            events::REQUEST_BARRED,
            request = &**request,
            barred = cancelled
        );
        cancelled
    }

    // --- incarnations of the target --------------------------------------------------------------

    /// Returns the latest incarnation of the target, whatever its state.
    #[must_use]
    pub fn current_incarnation(&self) -> Option<TargetIncarnation> {
        lock(&self.incarnations).current().cloned()
    }

    /// Applies a notification that the target sent about itself.
    pub fn apply_notification(
        &self,
        notification: &TargetNotification,
        service: &str,
    ) -> NotificationEffect {
        let (effect, slots) = {
            let mut incarnations = lock(&self.incarnations);
            let (now, wall_ms) = (boot_clock::now(), boot_clock::unix_ms());
            let effect = incarnations.apply(notification, service, now, wall_ms);
            (effect, incarnations.current().map(|target| target.slots))
        };
        if let (NotificationEffect::NewIncarnation | NotificationEffect::Changed, Some(slots)) =
            (effect, slots)
        {
            self.queue().set_slots(slots);
        }
        if effect == NotificationEffect::NewIncarnation {
            self.pool.clear();
            *lock(&self.service_time) = ServiceTimeMeter::default();
            *lock(&self.target_capacity) = TargetCapacity::default();
        }
        self.apply_cold_time(notification, effect);
        effect
    }

    /// Returns the departures of this router's targets, and their version.
    #[must_use]
    pub fn departures(&self) -> (DepartureVersion, Vec<TargetDeparture>) {
        let incarnations = lock(&self.incarnations);
        let departures = incarnations.departures();
        (departures.version(), departures.departures())
    }

    /// Returns the version of the departures that contains what an applied notification says; `None` if it does not say
    /// that its target is leaving, or was ignored.
    #[must_use]
    pub fn departure_version(&self, notification: &TargetNotification) -> Option<DepartureVersion> {
        lock(&self.incarnations).departure_version(notification, boot_clock::now())
    }

    /// Adds departures that a former process acknowledged; returns how many were not known, and whether the target
    /// must get no new requests because of them.
    pub fn merge_departures(
        &self,
        departures: &[TargetDeparture],
        source: DepartureKeeper,
    ) -> (usize, bool) {
        let mut incarnations = lock(&self.incarnations);
        let now = boot_clock::now();
        match source {
            DepartureKeeper::Store => incarnations.merge_stored(departures, now),
            DepartureKeeper::Routers => incarnations.merge_kept(departures, now),
        }
    }

    /// Allows targets to be used from now on; returns the notifications that have to be applied again.
    pub fn end_departure_reading(&self) -> Vec<TargetNotification> {
        lock(&self.incarnations).end_reading()
    }

    /// Returns whether the departures are known that the former process acknowledged.
    #[must_use]
    pub fn knows_former(&self) -> bool {
        lock(&self.incarnations).knows_former()
    }

    /// Returns the id of the latest target that has reported itself before it may be used.
    #[must_use]
    pub fn deferred_target(&self) -> Option<Arc<str>> {
        lock(&self.incarnations).deferred_target()
    }

    /// Returns the numbers of requests running at the target and waiting for it.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let queue = self.queue();
        (queue.in_flight(), queue.waiting())
    }

    /// Returns the load of the target as reported to other routers.
    #[must_use]
    pub fn target_load(&self) -> TargetLoad {
        let now = boot_clock::now();
        let (running, waiting) = self.load();
        let expected = lock(&self.capacity).in_transit();
        TargetLoad {
            busy: u32::try_from(running + waiting + expected).unwrap_or(u32::MAX),
            slots: self.current_incarnation().map_or(0, |target| target.slots),
            overloaded: !self.admitted_shares(now).is_all(),
            rate_limited: self.rate_hint(now).is_some(),
            cold_ms: self.cold_ms(now),
            pace: lock(&self.target_capacity).pace(now),
        }
    }

    /// Returns the shares of new requests that the target can serve.
    #[must_use]
    pub fn admitted_shares(&self, now: BootTime) -> AdmittedShares {
        let slots = self.queue().limit().limit();
        lock(&self.demand).shares(slots, now)
    }

    /// Returns what the reply to a request of this route tells about the load that can be taken.
    #[must_use]
    pub fn admission_hint<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        route: &str,
    ) -> AdmissionHint {
        let now = boot_clock::now();
        let limited = |shares: AdmittedShares| (!shares.is_all()).then_some(shares);
        let rate = self.rate_hint(now);
        // Requests with a key have no other target.
        let rate_shares = rate.filter(|_| node.is_divided_by_key(&node.settings.service));
        let rate_shares = rate_shares.map_or(AdmittedShares::ALL, |hint| hint.shares);
        AdmissionHint {
            own: limited(self.admitted_shares(now).min(rate_shares)),
            called: limited(node.entry_admission().called_shares(now)),
            rate,
            is_call: lock(&self.call_routes).is_call(route),
            leaving: lock(&self.incarnations).said_leaving(),
        }
    }

    /// Returns the shares of requests that the target takes; `None` if it names no limit on its rate, or
    /// if the limit is not reached.
    fn rate_hint(&self, now: BootTime) -> Option<RateHint> {
        let rate = lock(&self.rate_limiter).rate_in_force(now)?;
        let shares = lock(&self.demand).rate_shares(rate, now);
        let interval = Duration::from_secs_f64(1.0 / rate);
        (!shares.is_all()).then_some(RateHint { shares, interval })
    }

    /// Returns the load of each shard as reported to the coordinator.
    #[must_use]
    pub fn shard_loads(&self) -> Vec<anvilrack_core::ShardLoad> {
        lock(&self.meter).loads(boot_clock::now())
    }

    /// Returns the moving average of the target's service time in microseconds; zero while unknown.
    #[must_use]
    pub fn mean_service_time_us(&self) -> u32 {
        lock(&self.service_time).service_time_us()
    }

    /// Returns the connection pool, for grant and release calls, which bypass admission.
    #[must_use]
    pub fn pool(&self) -> &HttpPool {
        &self.pool
    }

    // --- admission -------------------------------------------------------------------------------

    async fn admit<'a, D: PlatformDialect>(
        &'a self,
        node: &'a NodeState<D>,
        call: &RunCall,
        content: RequestFingerprint,
        deadline: Duration,
    ) -> Result<(SlotTicket<'a>, TargetIncarnation), Refusal> {
        if call.time_left < MIN_TIME_LEFT {
            return Err((RefusalReason::DeadlineTooShort, MIN_RETRY_AFTER));
        }
        self.check_may_run(node, call, content)?;
        let turn = await_suspect_turn(node, content, deadline).await?;
        if node.is_outdated_route(call) {
            return Err((RefusalReason::OutdatedRoute, OUTDATED_RETRY_AFTER));
        }
        let is_call = self.is_call(node, call);
        let now = boot_clock::now();
        let RunAdmission { priority, admitted } = call.admission;
        self.record_demand(call, is_call, now);
        let rate_limited = |after| self.refuse_by_rate(node, call, after);
        let checked = self.limiter().check(is_call, now);
        checked.map_err(rate_limited)?;
        let called_shares = node.entry_admission().called_shares(now);
        if !is_call && !called_shares.admits_again(priority, AdmittedShares::draw(&call.request)) {
            return Err((RefusalReason::CalledServiceOverloaded, OVERLOAD_RETRY_AFTER));
        }
        let request = AdmissionRequest {
            class: if is_call {
                RequestClass::Call
            } else {
                call.class
            },
            kind: call.route.clone(),
            objective: (boot_clock::now() + call.objective_left).min(deadline),
            deadline,
            // Requests do not identify a client account, so the requested service takes its place.
            // The service of the router that received the request cannot be used, because requests from
            // targets and from people arrive through the same routers.
            caller: call.service.clone(),
        };
        let mut step = self.queue().offer(request, boot_clock::now());
        let mut slot: Option<SlotTicket<'_>> = None;
        loop {
            let (ticket, until) = match step {
                AdmissionStep::Refuse(reason, after) => return Err((reason, after)),
                AdmissionStep::Enter(ticket) => {
                    let mut slot = slot.unwrap_or_else(|| self.ticket(ticket));
                    slot.suspect_turn = turn;
                    // Ownership or the target's state may have changed while the request waited.
                    let target = self.check_may_run(node, call, content)?;
                    let taken = self.limiter().take(is_call, boot_clock::now());
                    taken.map_err(rate_limited)?;
                    node.with_retry_budget(|budgets, _| budgets.on_run());
                    if !is_call {
                        node.entry_admission().on_run(RunAdmission {
                            priority,
                            admitted: admitted.min(called_shares.share(priority)),
                        });
                    }
                    return Ok((slot, target));
                }
                AdmissionStep::Wait(ticket, until) => (ticket, until),
            };
            let notify = Arc::new(Notify::new());
            lock(&self.waiters).insert(ticket, notify.clone());
            slot.get_or_insert_with(|| self.ticket(ticket));
            let wait = until.saturating_sub(boot_clock::now());
            within(wait, notify.notified()).await;
            self.check_may_run(node, call, content)?;
            step = self.queue().poll(ticket, boot_clock::now());
        }
    }

    fn record_demand(&self, call: &RunCall, is_call: bool, now: BootTime) {
        let request = OfferedRequest {
            work: self.queue().service_time(&call.route, now),
            admission: call.admission,
            is_call,
        };
        let call_share = {
            let mut meter = lock(&self.demand);
            meter.record(&request, now);
            meter.call_share_percent(now)
        };
        self.queue().set_call_share(call_share);
    }

    /// Records where a request entered, and returns whether it is a call of another target.
    fn is_call<D: PlatformDialect>(&self, node: &NodeState<D>, call: &RunCall) -> bool {
        let mut routes = lock(&self.call_routes);
        let service = &call.caller_service;
        routes.record(&call.route, service, || node.router_share(service));
        routes.is_call(&call.route)
    }

    fn ticket(&self, ticket: TicketId) -> SlotTicket<'_> {
        SlotTicket {
            gateway: self,
            ticket,
            measured: false,
            suspect_turn: None,
        }
    }

    /// Returns the target's incarnation if the request may be sent to it now, and a refusal
    /// otherwise.
    fn check_may_run<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        call: &RunCall,
        content: RequestFingerprint,
    ) -> Result<TargetIncarnation, Refusal> {
        if !node.crash_monitor.has_joined() || !node.has_joined_evacuations() {
            return Err((RefusalReason::Starting, STARTING_RETRY_AFTER));
        }
        if let Some(left) = node.crash_monitor.remaining_quarantine(content) {
            return Err((RefusalReason::Quarantined, left));
        }
        let target = self
            .current_incarnation()
            .filter(|_| *call.service == *node.settings.service)
            .ok_or((RefusalReason::TargetRefused, GONE_RETRY_AFTER))?;
        if !node.allows_here(call) {
            return Err((RefusalReason::RegionNotAllowed, OUTDATED_RETRY_AFTER));
        }
        // The end of the process could interrupt a request that starts now.
        let may_send = || node.admits_at_stop(&call.service, || self.stop_request(call));
        if node.is_withdrawn() || !may_send() {
            return Err((RefusalReason::Stopping, GONE_RETRY_AFTER));
        }
        let now = boot_clock::now();
        match target.state {
            IncarnationState::Serving => {}
            IncarnationState::Gone => return Err((RefusalReason::TargetRefused, GONE_RETRY_AFTER)),
            IncarnationState::Leaving(since) => {
                // Until its keys have moved to other targets, only this target can serve them.
                let drain_half_over = now >= since + node.settings.terms.drain / 2;
                if call.key.is_none() || drain_half_over {
                    return Err((RefusalReason::Stopping, GONE_RETRY_AFTER));
                }
            }
        }
        let shard = node.shard_of(&call.service, call.key);
        if node.refuses_evacuated(shard, now) {
            return Err((RefusalReason::Evacuated, EVACUATED_RETRY_AFTER));
        }
        if let Some(shard) = shard {
            let refusal = |reason| (reason, MOVING_RETRY_AFTER);
            let grant = node.owner().grant(shard, now).map_err(refusal)?;
            if !node.grants.is_confirmed(shard, grant.token, now) {
                return Err(refusal(RefusalReason::Moving));
            }
        }
        Ok(target)
    }

    /// Describes a request for the decision whether it is sent to the target during a stop.
    fn stop_request(&self, call: &RunCall) -> StopRequest {
        StopRequest {
            time_left: call.time_left,
            durations: lock(&self.durations).of_kind(&call.route),
            is_call: lock(&self.call_routes).is_call(&call.route),
            run_once: call.run_once,
        }
    }

    // --- delivery --------------------------------------------------------------------------------

    async fn send<D: PlatformDialect>(
        &self,
        node: &Arc<NodeState<D>>,
        call: RunCall,
        body: HeldBody,
        run: AdmittedRun<'_>,
        deadline: Duration,
    ) -> (RunReply, HeldBody) {
        let AdmittedRun {
            content,
            mut slot,
            target,
        } = run;
        let shard = node.shard_of(&call.service, call.key);
        let now = boot_clock::now();
        let time_left = deadline.saturating_sub(now);
        if time_left < MIN_TIME_LEFT {
            return not_run(RefusalReason::DeadlineTooShort, MIN_RETRY_AFTER);
        }
        let Some(request) = build_request(node, &call, body, &target, time_left) else {
            return not_run(RefusalReason::BadRequest, MIN_RETRY_AFTER);
        };
        if !lock(&self.started).mark_started(&call.request, now) {
            return not_run(RefusalReason::OwnerUnreachable, MIN_RETRY_AFTER);
        }
        if let Some(shard) = shard {
            self.count_demand(shard, &call, now);
        }
        self.observe_sent(now);
        let connection_age = if call.run_once {
            ConnectionAge::Fresh
        } else {
            ConnectionAge::Any
        };
        let run = node.crash_monitor.begin_run(content);
        let is_refusal = |response: &Response<HeldBody>| is_refusal(node, response);
        let sent = self.pool.send_repeatable(
            request,
            &call.request,
            connection_age,
            time_left,
            is_refusal,
        );
        let result = sent.await;
        slot.measured = true;
        if let Ok(response) = &result {
            let elapsed = boot_clock::now().saturating_sub(now);
            lock(&self.service_time).record(elapsed);
            self.observe_response(node, &call, response, elapsed);
            lock(&self.durations).record(&call.route, elapsed);
        } else if matches!(result, Err(SendError::Timeout)) {
            lock(&self.durations).record(&call.route, Duration::MAX);
        }
        match result {
            Ok(response) => {
                let (reply, body) = self.handle_response(node, &call, response, shard, &target);
                match reply {
                    RunReply::Ran { .. } => run.close_completed(),
                    RunReply::NotRun { .. } | RunReply::MayHaveRun(_) => run.close(),
                }
                (reply, body)
            }
            Err(error) => {
                let reply = self.handle_send_error(node, &call, &target, now, &error);
                match error {
                    // The target may still be at work.
                    SendError::Timeout => drop(run),
                    SendError::Broken(_) if self.has_crashed(node, &target).await => {
                        let crashes = run.close_crashed();
                        emit_event!(
                            Warn,
                            events::CRASH_SUSPECTED,
                            request = &*call.request,
                            content = content_label(content),
                            service = &*call.service,
                            key = call.key,
                            target = &*target.id,
                            crashes = crashes
                        );
                    }
                    _ => run.close(),
                }
                reply
            }
        }
    }

    fn handle_response<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        call: &RunCall,
        response: Response<HeldBody>,
        shard: Option<ShardId>,
        target: &TargetIncarnation,
    ) -> (RunReply, HeldBody) {
        let (parts, body) = response.into_parts();
        let info = node
            .dialect
            .read_response_info(parts.status, &parts.headers);
        if let Some(reason) = rejection_reason(&info, parts.status, &call.request) {
            // Data pending on the other pooled connections cannot be trusted either.
            self.pool.clear();
            emit_event!(
                Warn,
                events::REQUEST_TRIED,
                request = &*call.request,
                status = parts.status.as_u16(),
                answered = info.request.as_deref(),
                outcome = reason.as_str()
            );
            return (RunReply::MayHaveRun(reason), HeldBody::default());
        }
        let by_other_target =
            info.other_target.is_some() || parts.status == StatusCode::MISDIRECTED_REQUEST;
        if !by_other_target {
            self.apply_condition(node, &info.condition, target);
        }
        if let Some(reply) = target_refusal(&info, parts.status) {
            if info.other_target.is_some() && shard.is_none() {
                log::warn!("a different target responded at {}", self.pool.address());
            }
            if let (Some(shard), StatusCode::MISDIRECTED_REQUEST) = (shard, parts.status) {
                node.grants.invalidate(shard);
            }
            return (reply, HeldBody::default());
        }
        let reply = RunReply::Ran {
            status: parts.status.as_u16(),
            headers: end_to_end_headers::to_list(&parts.headers),
        };
        (reply, body)
    }

    fn handle_send_error<D: PlatformDialect>(
        &self,
        node: &Arc<NodeState<D>>,
        call: &RunCall,
        target: &TargetIncarnation,
        sent_at: BootTime,
        error: &SendError,
    ) -> (RunReply, HeldBody) {
        let reply = match error {
            error if self.detect_refusal(node, target, sent_at, error) => {
                return not_run(RefusalReason::OwnerUnreachable, GONE_RETRY_AFTER);
            }
            error if error.is_unsent() => {
                self.request_cold_check(CheckReason::ConnectionFailure);
                return not_run(RefusalReason::OwnerUnreachable, MIN_RETRY_AFTER);
            }
            SendError::Timeout => RunReply::MayHaveRun(UncertainReason::TimedOut),
            _ => {
                self.request_cold_check(CheckReason::ConnectionFailure);
                RunReply::MayHaveRun(UncertainReason::ConnectionLost)
            }
        };
        emit_event!(
            Info,
            events::REQUEST_TRIED,
            request = &*call.request,
            target = &*target.id,
            outcome = error.to_string()
        );
        (reply, HeldBody::default())
    }

    /// Applies what a response says about the state of the target.
    fn apply_condition<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        condition: &TargetCondition,
        target: &TargetIncarnation,
    ) {
        if let Some(cold_for) = condition.cold_for {
            self.on_cold_report(cold_for, boot_clock::now());
        }
        if condition.leaving {
            let now = boot_clock::now();
            let wall_ms = boot_clock::unix_ms();
            if lock(&self.incarnations).say_leaving(target.incarnation, now, wall_ms) {
                node.leaving_said.notify_one();
                node.keep_departures();
            }
        }
        if let Some(report) = &condition.report {
            lock(&self.target_capacity).apply_report(report, boot_clock::now());
            let labels = format!("slow=\"{}\"", report.is_slow());
            node.metrics.count("target_reports", labels);
        }
        let named = match condition.rate_limit {
            RateLimitNotice::Unlimited => None,
            RateLimitNotice::Limited(rate) => Some(rate),
            RateLimitNotice::Invalid => {
                emit_event!(Warn, events::TARGET_LIMIT_INVALID, target = &*target.id);
                return;
            }
        };
        let rate = {
            let mut limiter = lock(&self.rate_limiter);
            let changed = limiter.on_response(named, boot_clock::now());
            changed.then(|| limiter.rate())
        };
        if let Some(rate) = rate {
            emit_event!(
                Info,
                events::TARGET_LIMIT,
                target = &*target.id,
                limit = rate
            );
        }
    }

    /// Returns whether an incarnation that broke a connection has crashed.
    async fn has_crashed<D: PlatformDialect>(
        &self,
        node: &Arc<NodeState<D>>,
        target: &TargetIncarnation,
    ) -> bool {
        let is_over = || {
            let current = self.current_incarnation();
            current.is_none_or(|current| {
                current.incarnation != target.incarnation || current.state == IncarnationState::Gone
            })
        };
        let checked_at = boot_clock::now();
        if is_over() || !self.pool.has_exited().await {
            return is_over();
        }
        let shown_by = "it broke a connection and refuses new ones";
        self.end_incarnation(node, target, checked_at, shown_by);
        true
    }

    /// Checks whether the target has exited, and if so ends its incarnation.
    pub async fn detect_exit<D: PlatformDialect>(&self, node: &Arc<NodeState<D>>) {
        let serving = self
            .current_incarnation()
            .filter(|target| target.state == IncarnationState::Serving);
        let checked_at = boot_clock::now();
        if let Some(target) = serving
            && self.pool.has_exited().await
        {
            self.end_incarnation(node, &target, checked_at, "it refuses connections");
        }
    }

    /// Ends an incarnation if the error of a call sent at `sent_at` shows that the target has exited; returns
    /// whether it does.
    pub fn detect_refusal<D: PlatformDialect>(
        &self,
        node: &Arc<NodeState<D>>,
        target: &TargetIncarnation,
        sent_at: BootTime,
        error: &SendError,
    ) -> bool {
        let exited = error.shows_exit();
        if exited {
            self.end_incarnation(node, target, sent_at, &error.to_string());
        }
        exited
    }

    /// Ends an incarnation because the target refused a connection that was attempted after `attempted_at`.
    fn end_incarnation<D: PlatformDialect>(
        &self,
        node: &Arc<NodeState<D>>,
        target: &TargetIncarnation,
        attempted_at: BootTime,
        shown_by: &str,
    ) {
        node.grants.holds().on_exit(attempted_at);
        if lock(&self.incarnations).end(target.incarnation) {
            node.on_target_gone(target, shown_by);
        }
    }

    fn wake(&self, tickets: &[TicketId]) {
        let waiters = lock(&self.waiters);
        for ticket in tickets {
            if let Some(notify) = waiters.get(ticket) {
                notify.notify_one();
            }
        }
    }

    /// Wakes all waiting requests so that they check again whether they may run here.
    pub fn wake_waiting_requests(&self) {
        lock(&self.waiters)
            .values()
            .for_each(|notify| notify.notify_one());
    }

    fn queue(&self) -> MutexGuard<'_, AdmissionQueue> {
        lock(&self.queue)
    }

    pub(super) fn limiter(&self) -> MutexGuard<'_, RateLimiter> {
        lock(&self.rate_limiter)
    }

    pub(super) fn shard_meter(&self) -> MutexGuard<'_, ShardMeter> {
        lock(&self.meter)
    }

    pub(super) fn cold_target(&self) -> &ColdTarget {
        &self.cold_target
    }
}

/// Waits until no other suspect runs at the target, if the request is one.
async fn await_suspect_turn<D: PlatformDialect>(
    node: &NodeState<D>,
    request: RequestFingerprint,
    deadline: BootTime,
) -> Result<Option<SuspectTurn<'_>>, Refusal> {
    let monitor = &node.crash_monitor;
    if !monitor.is_suspect(request) {
        return Ok(None);
    }
    let wait = MAX_SUSPECT_WAIT.min(deadline.saturating_sub(boot_clock::now()));
    let turn = within(wait, monitor.suspect_turn())
        .await
        .ok_or((RefusalReason::SuspectRunning, SUSPECT_RETRY_AFTER))?;
    // A completed run may have cleared the request meanwhile.
    Ok(monitor.is_suspect(request).then_some(turn))
}

fn not_run(reason: RefusalReason, retry_after: Duration) -> (RunReply, HeldBody) {
    let reply = RunReply::NotRun {
        reason,
        retry_after,
        by_target: false,
    };
    (reply, HeldBody::default())
}

/// Builds the request that is sent to the target; `None` if its method, path or headers are invalid.
fn build_request<D: PlatformDialect>(
    node: &NodeState<D>,
    call: &RunCall,
    body: HeldBody,
    target: &TargetIncarnation,
    time_left: Duration,
) -> Option<Request<HeldBody>> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .body(body)
        .ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let info = TargetRequestInfo {
        time_left,
        target: target.id.clone(),
        caller_service: call.caller_service.clone(),
    };
    node.dialect.set_request_headers(&mut headers, &info);
    *request.headers_mut() = headers;
    Some(request)
}

/// Returns whether a response states that the target has not run the request, which may then be sent again.
fn is_refusal<D: PlatformDialect>(node: &NodeState<D>, response: &Response<HeldBody>) -> bool {
    let (status, headers) = (response.status(), response.headers());
    !status.is_success() && node.dialect.read_response_info(status, headers).not_run
}

/// Returns the refusal if the target states that it has not run the request.
fn target_refusal(info: &TargetResponseInfo, status: StatusCode) -> Option<RunReply> {
    info.not_run.then(|| RunReply::NotRun {
        reason: if status == StatusCode::MISDIRECTED_REQUEST {
            RefusalReason::NotOwner
        } else {
            RefusalReason::TargetRefused
        },
        retry_after: MIN_RETRY_AFTER,
        by_target: true,
    })
}

/// Returns the reason if a response says nothing about the request, or must not be passed on.
///
/// A response to another request may be a late copy on a connection that is in use again.
fn rejection_reason(
    info: &TargetResponseInfo,
    status: StatusCode,
    request: &RequestId,
) -> Option<UncertainReason> {
    let other_request = info.request.as_ref() != Some(request);
    // A success that states that nothing has run, or a switch to another protocol.
    let contradictory = status.is_success() && info.not_run;
    let interim = status.is_informational();
    let unsigned = status.is_success() && !info.signed;
    // These statuses tell the caller that nothing has run, which the target has not confirmed.
    let unconfirmed_refusal = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    let unusable = unsigned || unconfirmed_refusal || info.encoded;
    // HTTP defines no such classes.
    let undefined = status.as_u16() >= 600;
    let invalid = other_request || contradictory || interim || undefined;
    let rejected = invalid || (unusable && !info.not_run);
    rejected.then_some(UncertainReason::AnswerCutShort)
}
