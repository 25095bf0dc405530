//! Forwards a caller's request to a target and returns the target's response.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    AdmissionHint, AdmittedShares, AttemptLimit, AttemptOutcome, BootTime, CallCosts,
    HealthOutcome, NodeId, RefusalReason, RepeatDenial, RepeatReason, RequestFingerprint,
    RouteRules, RunAdmission, ServiceName, ShardId, SiteVersion, TargetLoad, TargetSelector,
    UncertainReason, WHOLE_SHARE, events, is_cancellation_reliable, retry_backoff,
};
use anvilrack_router::boot_clock;
use tokio::time::sleep;

use crate::held_body::HeldBody;
use crate::http_pool::within;
use crate::ownership::refresh_cell;
use crate::peers::{BodyCapacityCall, CallError, PeerCall, PeerReply, RunCall, RunReply};
use crate::request_content::content_label;
use crate::{KeyNumber, NodeState, PlatformDialect, RequestContent, RequestId, emit_event};

/// Time for which a target that refused a request is not selected again.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(150);

/// Maximum time that a request waits for the next owner while its shard moves.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(600);

/// A request waits for an owner for at most its total time divided by this number.
const OWNER_WAIT_DIVISOR: u32 = 3;

/// Interval between two lookups of a shard's owner.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// `Retry-After` time for keys without an owner.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` time when no target is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` time while all targets that could run a request are evacuated.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Average `Retry-After` time while a service that the request needs is overloaded.
///
/// Shares are measured over a second, so they have changed by then if the load has.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Timeout of the call that cancels a request before it starts.
///
/// The other router assumes that such a call is not on its way for longer.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(350);

/// Minimum size of a body for which capacity is reserved before it is sent.
///
/// Shorter bodies fit into the first packets of a connection, so a reservation would only add
/// latency.
const MIN_RESERVED_BYTES: usize = 16 * 1024;

/// Timeout of the call that reserves capacity for a body.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time added to the target's timeout for the response to travel back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(60);

/// A caller's request, read completely and matched to a route.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Identifies this attempt of the caller.
    pub request: RequestId,
    /// The route that matches the request.
    pub route: Arc<RouteRules>,
    /// Version of the site document that the route is from.
    pub site: SiteVersion,
    /// The service selected by the route's traffic split.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Headers without the hop-by-hop ones.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: HeldBody,
    /// The request's key; `None` if the caller named none.
    pub key: Option<KeyNumber>,
    /// Time after which the response misses the route's latency objective.
    pub objective: BootTime,
    /// Time after which the request has timed out.
    pub deadline: BootTime,
}

impl CallerRequest {
    /// Returns the content of the request.
    #[must_use]
    pub fn content(&self) -> RequestContent<'_> {
        RequestContent {
            service: &self.service,
            method: &self.method,
            path: &self.path,
            headers: &self.headers,
            key: self.key,
            body: &self.body,
        }
    }
}

/// The result of forwarding a request.
#[derive(Clone, Debug)]
pub struct ForwardOutcome {
    /// The outcome reported to the caller.
    pub reply: RunReply,
    /// Body of the response; empty unless the target ran the request.
    pub body: HeldBody,
    /// Number of routers that the request was sent to.
    pub routers_tried: u32,
    /// The last of these routers; `None` if there was none.
    pub last_router: Option<NodeId>,
    /// Why the last attempt was allowed; `None` if there was only one.
    pub repeat_reason: Option<RepeatReason>,
}

/// State of a request while it is forwarded.
struct RequestForwarder<'a, D: PlatformDialect> {
    node: &'a Arc<NodeState<D>>,
    request: &'a CallerRequest,
    fingerprint: RequestFingerprint,
    shard: Option<ShardId>,
    /// Whether the request is a call of the local target.
    is_call: bool,
    limit: AttemptLimit,
    /// Why another attempt after the last one is allowed.
    repeat_reason: Option<RepeatReason>,
    waited: Duration,
    last_router: Option<NodeId>,
}

/// How an attempt ended.
struct EndedAttempt {
    reply: RunReply,
    body: HeldBody,
    outcome: AttemptOutcome,
}

impl EndedAttempt {
    /// An attempt that was answered by the router beside the target.
    fn replied(reply: RunReply, body: HeldBody) -> Self {
        let outcome = match &reply {
            RunReply::NotRun { by_target, .. } if !by_target => AttemptOutcome::RefusedByRouter,
            RunReply::NotRun { .. } => AttemptOutcome::RefusedByTarget,
            RunReply::MayHaveRun(UncertainReason::TimedOut) => AttemptOutcome::TimedOut,
            RunReply::Ran { .. } | RunReply::MayHaveRun(_) => AttemptOutcome::Uncertain,
        };
        Self {
            reply,
            body,
            outcome,
        }
    }

    /// An attempt of which this router concludes that the request has not run.
    fn not_started(reason: RefusalReason, outcome: AttemptOutcome) -> Self {
        Self {
            reply: not_started(reason),
            body: HeldBody::default(),
            outcome,
        }
    }
}

/// What to do after an attempt.
enum NextStep {
    Reply(RunReply, HeldBody),
    Retry,
}

/// Forwards a request to a target, and retries on another one when that is safe.
pub async fn forward<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    request: &CallerRequest,
) -> ForwardOutcome {
    let route = &request.route;
    let shard = node.shard_of(&request.service, request.key);
    let limit = AttemptLimit::new(route.max_attempts, route.idempotent);
    let mut forwarder = RequestForwarder {
        node,
        request,
        fingerprint: request.content().fingerprint(),
        shard,
        is_call: node.entry_admission().is_call(&route.name),
        limit: if shard.is_some() {
            limit.without_router_limit()
        } else {
            limit
        },
        repeat_reason: None,
        waited: Duration::ZERO,
        last_router: None,
    };
    let is_call = forwarder.is_call;
    node.with_retry_budget(|budgets, now| {
        budgets.on_first_attempt(&request.service, is_call, now);
    });
    loop {
        if let NextStep::Reply(reply, body) = forwarder.step().await {
            forwarder.give_back_unused_payment();
            let attempts = forwarder.limit.attempts();
            return ForwardOutcome {
                reply,
                body,
                routers_tried: attempts,
                last_router: forwarder.last_router,
                repeat_reason: forwarder.repeat_reason.filter(|_| attempts > 1),
            };
        }
    }
}

impl<D: PlatformDialect> RequestForwarder<'_, D> {
    async fn step(&mut self) -> NextStep {
        if self.time_left().is_zero() {
            return self.refuse_expired();
        }
        if self.node.is_ending() {
            return self.refuse(RefusalReason::Stopping, NO_TARGET_RETRY_AFTER);
        }
        let (route, service) = (&self.request.route, &self.request.service);
        if !self.node.may_send(route, service, self.time_left()) {
            return self.refuse(RefusalReason::Stopping, NO_TARGET_RETRY_AFTER);
        }
        let monitor = &self.node.crash_monitor;
        if let Some(left) = monitor.remaining_quarantine(self.fingerprint) {
            return self.refuse_quarantined(left);
        }
        let rules = self.node.newest_rules(self.request);
        let (service, key) = (&self.request.service, self.request.key);
        if self.node.lacks_allowed_target(&rules, service, key) {
            return self.refuse(RefusalReason::RegionNotAllowed, NO_TARGET_RETRY_AFTER);
        }
        let Some((router, address)) = self.find_router(&rules) else {
            return self.await_router().await;
        };
        if let Err(reason) = self.check_admission(&router) {
            let labels = format!("service=\"{}\"", self.request.service);
            self.node.metrics.count("refused_at_entry", labels);
            return self.refuse(reason, self.overload_retry_after());
        }
        self.report_repeat();
        self.limit.begin();
        self.last_router = Some(router.clone());
        let mut open_attempt = OpenAttempt::new(self.node, self.request, &router);
        let EndedAttempt {
            reply,
            body,
            outcome,
        } = self.run_at(&router, address).await;
        open_attempt.outcome = health_outcome(&reply);
        let took = boot_clock::now().saturating_sub(open_attempt.began);
        let route = &self.request.route.name;
        self.node.record_entry_duration(route, &reply, took);
        drop(open_attempt);
        match reply {
            RunReply::Ran { .. } => NextStep::Reply(reply, body),
            RunReply::NotRun {
                reason,
                retry_after,
                ..
            } => {
                if reason == RefusalReason::Evacuated {
                    self.node.on_evacuated_refusal(&router, address);
                }
                if !self.may_repeat(outcome) {
                    return self.refuse(reason, retry_after);
                }
                self.after_refusal(&router, reason, retry_after).await
            }
            RunReply::MayHaveRun(reason) => {
                if !self.may_repeat(outcome) {
                    return NextStep::Reply(RunReply::MayHaveRun(reason), HeldBody::default());
                }
                sleep(retry_backoff(0, rand::random())).await;
                NextStep::Retry
            }
        }
    }

    /// Checks whether the services that the request needs can take it, as far as this router knows.
    fn check_admission(&self, router: &NodeId) -> Result<(), RefusalReason> {
        let draw = AdmittedShares::draw(&self.request.request);
        let priority = self.request.route.priority;
        if self.is_call {
            return Ok(());
        }
        if !self.admitted_shares(router).admits(priority, draw) {
            return Err(RefusalReason::Overloaded);
        }
        let rate_shares = self.rate_shares();
        if !rate_shares.admits(priority, draw) {
            return Err(RefusalReason::RateLimited);
        }
        Ok(())
    }

    /// Returns the shares of requests that the targets of the service take if all of them limit their rate.
    fn rate_shares(&self) -> AdmittedShares {
        let (service, now) = (&self.request.service, boot_clock::now());
        let all_limited = {
            let choices = self.node.target_choices();
            let selector = choices.get(service);
            let rule = &self.request.route.allowed_regions;
            let is_limited = |selector: &TargetSelector| selector.all_rate_limited(rule, now);
            self.shard.is_none() && selector.is_some_and(is_limited)
        };
        let limits = self.node.entry_admission().rate_limits(service, now);
        limits
            .filter(|_| all_limited)
            .map_or(AdmittedShares::ALL, |(shares, _)| shares)
    }

    /// Returns the time after which a request that was refused by share may return, spread so that not
    /// all return at once.
    fn overload_retry_after(&self) -> Duration {
        let (service, now) = (&self.request.service, boot_clock::now());
        let limits = self.node.entry_admission().rate_limits(service, now);
        let interval = limits.map_or(Duration::ZERO, |(_, interval)| interval);
        let mean = OVERLOAD_RETRY_AFTER.max(interval);
        mean.mul_f64(0.5 + rand::random::<f64>())
    }

    /// Returns the shares of requests like this one that are admitted now.
    fn admitted_shares(&self, router: &NodeId) -> AdmittedShares {
        // The mean of a service covers targets that the route may forbid.
        let is_restricted = !self.request.route.allowed_regions.allows_all();
        let is_only_one = self.shard.is_some() || is_restricted;
        let owner = is_only_one.then_some(&**router);
        let admission = self.node.entry_admission();
        admission.shares(&self.request.service, owner, boot_clock::now())
    }

    /// Returns the priority of the request and the share of such requests that is admitted; those of
    /// the run that it belongs to if it is a call.
    fn run_admission(&self, router: &NodeId) -> RunAdmission {
        let priority = self.request.route.priority;
        let latest_run = self.node.entry_admission().latest_run();
        latest_run
            .filter(|_| self.is_call)
            .unwrap_or_else(|| RunAdmission {
                priority,
                admitted: self.admitted_shares(router).share(priority),
            })
    }

    fn time_left(&self) -> Duration {
        self.request.deadline.saturating_sub(boot_clock::now())
    }

    // --- target selection ------------------------------------------------------------------------

    /// Finds a router whose target may run the request by these rules.
    fn find_router(&self, rules: &RouteRules) -> Option<(NodeId, SocketAddr)> {
        let service = &self.request.service;
        if let Some(shard) = self.shard {
            return self.node.owner_of(service, shard, &rules.allowed_regions);
        }
        let random_draws = rand::random();
        let router = {
            let mut selectors = self.node.target_choices();
            selectors.get_mut(service)?.choose(
                random_draws,
                &rules.allowed_regions,
                boot_clock::now(),
            )?
        };
        let address = if router == self.node.settings.node {
            self.node.settings.listen.peers
        } else {
            self.node.directory().address(&router)?
        };
        Some((router, address))
    }

    /// Handles the lack of a router: waits for the next owner if the request has a shard, and refuses
    /// the request otherwise.
    async fn await_router(&mut self) -> NextStep {
        if self.node.is_service_evacuated(&self.request.service) {
            self.refuse(RefusalReason::Evacuated, EVACUATED_RETRY_AFTER)
        } else if self.shard.is_some() {
            self.await_owner(RefusalReason::NoOwner, NO_OWNER_RETRY_AFTER)
                .await
        } else {
            self.refuse(RefusalReason::OwnerUnreachable, NO_TARGET_RETRY_AFTER)
        }
    }

    async fn await_owner(&mut self, reason: RefusalReason, retry_after: Duration) -> NextStep {
        if self.node.is_service_evacuated(&self.request.service) {
            return self.refuse(RefusalReason::Evacuated, EVACUATED_RETRY_AFTER);
        }
        let max_wait = MAX_OWNER_WAIT.min((self.time_left() + self.waited) / OWNER_WAIT_DIVISOR);
        // A request that waits here delays the end of the process, and so the restart.
        if self.waited >= max_wait || self.node.is_withdrawn() {
            return self.refuse(reason, retry_after);
        }
        refresh_cell(self.node, &self.request.service);
        let began = boot_clock::now();
        within(OWNER_POLL_INTERVAL, self.node.route_updates.notified()).await;
        // Updates may come in quick succession; the pause limits the rate of attempts.
        sleep(OWNER_POLL_INTERVAL / 4).await;
        self.waited += boot_clock::now().saturating_sub(began);
        NextStep::Retry
    }

    // --- attempts --------------------------------------------------------------------------------

    async fn run_at(&self, router: &NodeId, address: SocketAddr) -> EndedAttempt {
        let call = self.run_call(router);
        let timeout = self.time_left() + RESPONSE_MARGIN;
        if *router == self.node.settings.node {
            let execution = self
                .node
                .gateway
                .run(self.node, call, self.request.body.clone());
            let cancel = async { self.node.gateway.cancel_before_start(&self.request.request) };
            let result = self
                .unless_cancelled(within(timeout, execution), cancel)
                .await;
            let gateway = &self.node.gateway;
            if let Some(selector) = self.node.target_choices().get_mut(&self.request.service) {
                selector.set_local_load(router, gateway.target_load(), boot_clock::now());
            }
            self.apply_hint(
                router,
                &gateway.admission_hint(self.node, &self.request.route.name),
            );
            let costs = self
                .node
                .with_retry_budget(|budgets, _| budgets.calls_per_run());
            self.record_call_costs(costs);
            return match result {
                Some(Some((reply, body))) => EndedAttempt::replied(reply, body),
                Some(None) => EndedAttempt::replied(
                    RunReply::MayHaveRun(UncertainReason::TimedOut),
                    HeldBody::default(),
                ),
                None => cancelled_at_end(),
            };
        }
        let links = &self.node.links;
        let body = &self.request.body;
        if body.len() >= MIN_RESERVED_BYTES
            && let Some(refusal) = self.reserve_capacity(router, address).await
        {
            return EndedAttempt {
                reply: refusal,
                body: HeldBody::default(),
                outcome: AttemptOutcome::Unsent,
            };
        }
        let sent_at = call.sent_at;
        let call = PeerCall::Run(call);
        let request = &self.request.request;
        let execution = links.run(address, &call, request, body.clone(), timeout);
        let Some(result) = self
            .unless_cancelled(execution, self.cancel_at_router(address, sent_at))
            .await
        else {
            return cancelled_at_end();
        };
        let error = match result {
            Ok((PeerReply::Run(reply, load, hint, costs), body)) => {
                self.record_call_costs(costs);
                self.record_load(router, load);
                self.apply_hint(router, &hint);
                return EndedAttempt::replied(reply, body);
            }
            Ok(_) => CallError::Lost("reply to a different call".into()),
            Err(error) => error,
        };
        emit_event!(
            Info,
            events::REQUEST_TRIED,
            request = &*self.request.request,
            place = &**router,
            fault = error.to_string()
        );
        let unreachable = RefusalReason::OwnerUnreachable;
        match error {
            CallError::Timeout => EndedAttempt::replied(
                RunReply::MayHaveRun(UncertainReason::TimedOut),
                HeldBody::default(),
            ),
            CallError::Unreachable(_) => {
                EndedAttempt::not_started(unreachable, AttemptOutcome::Unsent)
            }
            CallError::NotSent => {
                EndedAttempt::not_started(unreachable, AttemptOutcome::AssumedNotRun)
            }
            CallError::Lost(_) | CallError::Frame(_) => {
                self.resolve_lost_connection(address, sent_at).await
            }
        }
    }

    /// Reserves capacity for a long body at the target's router before the body is sent.
    ///
    /// Returns the refusal if there is no capacity.
    async fn reserve_capacity(&self, router: &NodeId, address: SocketAddr) -> Option<RunReply> {
        let call = PeerCall::Room(BodyCapacityCall {
            request: self.request.request.clone(),
            bytes: self.request.body.len() as u64,
        });
        let timeout = RESERVE_TIMEOUT.min(self.time_left());
        match self.node.links.call(address, &call, timeout).await {
            Ok((PeerReply::Room(reservation, load), _)) => {
                self.record_load(router, load);
                reservation.err()
            }
            // No part of the request itself was sent.
            _ => Some(not_started(RefusalReason::OwnerUnreachable)),
        }
    }

    /// Waits for an attempt to finish.
    ///
    /// Returns `None` if the process ends first and `cancel` succeeds: the request has not started
    /// and never will.
    async fn unless_cancelled<T>(
        &self,
        execution: impl Future<Output = T>,
        cancel: impl Future<Output = bool>,
    ) -> Option<T> {
        let mut execution = pin!(execution);
        tokio::select! {
            biased;
            result = &mut execution => return Some(result),
            () = self.node.process_ending() => {}
        }
        tokio::select! {
            biased;
            result = &mut execution => Some(result),
            cancelled = cancel => if cancelled { None } else { Some(execution.await) },
        }
    }

    fn record_load(&self, router: &NodeId, load: TargetLoad) {
        if let Some(selector) = self.node.target_choices().get_mut(&self.request.service) {
            selector.set_load(router, load, boot_clock::now());
        }
    }

    fn apply_hint(&self, router: &NodeId, hint: &AdmissionHint) {
        let request = self.request;
        let now = boot_clock::now();
        if let Some(incarnation) = hint.leaving {
            let service = &request.service;
            self.node.on_leaving_said(service, router, incarnation);
        }
        let mut admission = self.node.entry_admission();
        admission.apply_hint(&request.service, &request.route.name, router, hint, now);
    }

    /// Called after the link to a router broke: cancels the request there over a new link, unless it
    /// has started.
    async fn resolve_lost_connection(
        &self,
        address: SocketAddr,
        sent_at: BootTime,
    ) -> EndedAttempt {
        if !self.request.route.idempotent && self.cancel_at_router(address, sent_at).await {
            let unreachable = RefusalReason::OwnerUnreachable;
            return EndedAttempt::not_started(unreachable, AttemptOutcome::AssumedNotRun);
        }
        let uncertain = RunReply::MayHaveRun(UncertainReason::ConnectionLost);
        EndedAttempt::replied(uncertain, HeldBody::default())
    }

    /// Cancels the request, which was sent to the router at `address` at `sent_at`, before it starts.
    ///
    /// Returns false if the request has started, or the router does not reply or has restarted since.
    async fn cancel_at_router(&self, address: SocketAddr, sent_at: BootTime) -> bool {
        let asked_at = boot_clock::now();
        let sent_ago = asked_at.saturating_sub(sent_at);
        let call = PeerCall::Bar(self.request.request.clone(), sent_ago);
        let timeout = CANCEL_TIMEOUT.min(self.time_left());
        let reply = self.node.links.call(address, &call, timeout).await;
        let reliable = is_cancellation_reliable(asked_at, boot_clock::now(), CANCEL_TIMEOUT);
        let cancelled = reliable && matches!(reply, Ok((PeerReply::Barred(true), _)));
        emit_event!(
            Info,
            events::REQUEST_BARRED,
            request = &*self.request.request,
            asked = address.to_string(),
            barred = cancelled,
            answered = reply.is_ok()
        );
        cancelled
    }

    fn run_call(&self, router: &NodeId) -> RunCall {
        let request = self.request;
        RunCall {
            request: request.request.clone(),
            service: request.service.clone(),
            route: request.route.name.clone(),
            site: request.site,
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            sent_at: boot_clock::now(),
            time_left: self.time_left(),
            objective_left: request.objective.saturating_sub(boot_clock::now()),
            key: request.key,
            class: request.route.class(),
            admission: self.run_admission(router),
            run_once: !request.route.idempotent,
            caller_service: self.node.settings.service.clone(),
        }
    }

    // --- retries ---------------------------------------------------------------------------------

    async fn after_refusal(
        &mut self,
        router: &NodeId,
        reason: RefusalReason,
        retry_after: Duration,
    ) -> NextStep {
        let moving = matches!(
            reason,
            RefusalReason::NotOwner
                | RefusalReason::Moving
                | RefusalReason::LeaseEnded
                | RefusalReason::NoOwner
                | RefusalReason::Stopping
                | RefusalReason::Evacuated
        );
        let unreachable = matches!(
            reason,
            RefusalReason::OwnerUnreachable
                | RefusalReason::TargetRefused
                | RefusalReason::Starting
        );
        if self.shard.is_some() && (moving || unreachable) {
            return self.await_owner(reason, retry_after).await;
        }
        let other_target_may_accept = moving
            || unreachable
            || reason == RefusalReason::Overloaded
            || reason == RefusalReason::NoMemory
            || reason == RefusalReason::SuspectRunning
            || reason == RefusalReason::RateLimited
            || reason == RefusalReason::DeadlineTooShort;
        let overloaded = matches!(
            reason,
            RefusalReason::Overloaded | RefusalReason::DeadlineTooShort
        );
        let priority = self.request.route.priority;
        let service_is_overloaded = || self.admitted_shares(router).share(priority) < WHOLE_SHARE;
        // A call belongs to a run that has begun, so it is tried elsewhere all the same.
        if overloaded && !self.is_call && service_is_overloaded() {
            return self.refuse(reason, retry_after);
        }
        if self.shard.is_some() || !other_target_may_accept {
            return self.refuse(reason, retry_after);
        }
        if let Some(selector) = self.node.target_choices().get_mut(&self.request.service) {
            selector.set_busy(router, boot_clock::now() + REFUSAL_BACKOFF);
        }
        NextStep::Retry
    }

    /// Returns whether another attempt is allowed after one that ended in `outcome`, and pays for it if it
    /// is a repeat.
    fn may_repeat(&mut self, outcome: AttemptOutcome) -> bool {
        let allowed = self.limit.end(outcome).and_then(|reason| {
            if !self.limit.needs_payment() {
                return Ok(reason);
            }
            let service = &self.request.service;
            let paid = self
                .node
                .with_retry_budget(|budgets, now| budgets.take(service, now));
            if paid {
                self.limit.on_paid();
            }
            paid.then_some(reason).ok_or(RepeatDenial::BudgetUsed)
        });
        self.repeat_reason = allowed.ok().or(self.repeat_reason);
        if let Err(denial) = allowed {
            self.report_denial(denial);
        }
        allowed.is_ok()
    }

    /// Records the calls that a run of the service makes, which a repeat has to pay for.
    fn record_call_costs(&self, costs: Option<CallCosts>) {
        if let Some(costs) = costs {
            let service = &self.request.service;
            self.node
                .with_retry_budget(|budgets, _| budgets.set_call_costs(service, costs));
        }
    }

    /// Gives a repeat back to the budget that was paid and has not arrived at a target.
    fn give_back_unused_payment(&self) {
        if self.limit.has_unused_payment() {
            let service = &self.request.service;
            self.node
                .with_retry_budget(|budgets, _| budgets.give_back(service));
        }
    }

    /// Reports why the next attempt is allowed; nothing before the first one.
    fn report_repeat(&self) {
        let Some(reason) = self.repeat_reason else {
            return;
        };
        let (service, why) = (&self.request.service, reason.as_str());
        emit_event!(
            Info,
            events::REQUEST_REPEATED,
            request = &*self.request.request,
            service = &**service,
            attempt = self.limit.attempts() + 1,
            why = why,
            before = self.last_router.as_deref(),
            may_have_run = self.limit.possible_runs(),
            paid = self.limit.is_repeat()
        );
        let labels = format!("service=\"{service}\",why=\"{why}\"");
        self.node.metrics.count("repeats", labels);
    }

    fn report_denial(&self, denial: RepeatDenial) {
        let (service, why) = (&self.request.service, denial.as_str());
        emit_event!(
            Info,
            events::REQUEST_REPEAT_DENIED,
            request = &*self.request.request,
            service = &**service,
            attempts = self.limit.attempts(),
            why = why,
            may_have_run = self.limit.possible_runs()
        );
        let labels = format!("service=\"{service}\",why=\"{why}\"");
        self.node.metrics.count("repeats_denied", labels);
    }

    fn refuse(&self, reason: RefusalReason, retry_after: Duration) -> NextStep {
        if reason == RefusalReason::RegionNotAllowed {
            self.node.count_region_refusal(&self.request.service);
        }
        let reply = if self.limit.is_uncertain() {
            // An earlier attempt may have run.
            RunReply::MayHaveRun(UncertainReason::ConnectionLost)
        } else {
            RunReply::NotRun {
                reason,
                retry_after,
                by_target: false,
            }
        };
        NextStep::Reply(reply, HeldBody::default())
    }

    fn refuse_quarantined(&self, left: Duration) -> NextStep {
        emit_event!(
            Info,
            events::REQUEST_QUARANTINED,
            request = &*self.request.request,
            content = content_label(self.fingerprint),
            left_s = left.as_secs()
        );
        let labels = format!("service=\"{}\"", self.request.service);
        self.node.metrics.count("requests_quarantined", labels);
        self.refuse(RefusalReason::Quarantined, left)
    }

    fn refuse_expired(&self) -> NextStep {
        self.refuse(RefusalReason::DeadlineTooShort, NO_TARGET_RETRY_AFTER)
    }
}

/// The reply for a request that has not started anywhere and never will.
fn not_started(reason: RefusalReason) -> RunReply {
    RunReply::NotRun {
        reason,
        retry_after: NO_TARGET_RETRY_AFTER,
        by_target: false,
    }
}

/// The end of an attempt that was cancelled before it started, because this process ends.
fn cancelled_at_end() -> EndedAttempt {
    EndedAttempt::not_started(RefusalReason::Stopping, AttemptOutcome::AssumedNotRun)
}

// --- health statistics ---------------------------------------------------------------------------

/// An attempt in progress; dropping it records its end, even if the caller has disconnected.
struct OpenAttempt<'a, D: PlatformDialect> {
    node: &'a NodeState<D>,
    request: &'a CallerRequest,
    router: &'a NodeId,
    began: BootTime,
    outcome: HealthOutcome,
}

impl<'a, D: PlatformDialect> OpenAttempt<'a, D> {
    fn new(node: &'a NodeState<D>, request: &'a CallerRequest, router: &'a NodeId) -> Self {
        let began = boot_clock::now();
        if let Some(selector) = node.target_choices().get_mut(&request.service) {
            selector.begin(router, began);
        }
        Self {
            node,
            request,
            router,
            began,
            outcome: HealthOutcome::NotReached,
        }
    }
}

impl<D: PlatformDialect> Drop for OpenAttempt<'_, D> {
    fn drop(&mut self) {
        let now = boot_clock::now();
        let took = now.saturating_sub(self.began);
        let request = self.request;
        if let Some(selector) = self.node.target_choices().get_mut(&request.service) {
            selector.end(self.router, &request.route.name, self.outcome, took, now);
        }
    }
}

/// Classifies the result of an attempt for the health statistics of its target.
fn health_outcome(reply: &RunReply) -> HealthOutcome {
    match reply {
        RunReply::Ran { status, .. } if *status < 500 => HealthOutcome::Answered,
        RunReply::Ran { .. }
        | RunReply::MayHaveRun(_)
        | RunReply::NotRun {
            reason: RefusalReason::OwnerUnreachable | RefusalReason::TargetRefused,
            ..
        } => HealthOutcome::Failed,
        RunReply::NotRun { .. } => HealthOutcome::NotReached,
    }
}
