//! Takes one caller's request to a target and back.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    BootTime, HealthOutcome, NodeId, RefusalReason, RetryBudget, RouteRules, ServiceName, ShardId,
    TargetLoad, UncertainReason, events, retry_pause,
};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use tokio::time::sleep;

use crate::http_pool::within;
use crate::ownership::refresh_cell;
use crate::peers::{PeerCall, PeerFault, PeerReply, RoomCall, RunCall, RunReply};
use crate::{KeyNumber, NodeShared, PlatformDialect, RequestId, tell};

/// Targets that refused are not asked again for this long.
const BUSY_TIME: Duration = Duration::from_millis(150);

/// Routers that one request is taken to at most, refusals included.
const PLACES_LIMIT: u32 = 4;

/// Longest wait for a key's next owner while its shard is on the move.
const MOVE_WAIT: Duration = Duration::from_millis(600);

/// A request waits for an owner for this part of its time at most, as a divisor.
const MOVE_WAIT_PART: u32 = 3;

/// Time between two looks for the owner of a shard.
const MOVE_STEP: Duration = Duration::from_millis(40);

/// When it is worth coming back for keys without an owner.
const NO_OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// When it is worth coming back where no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time for the question whether a request has begun.
const BAR_LIMIT: Duration = Duration::from_millis(350);

/// A body of so many bytes or more is sent only where there is room for it.
///
/// Shorter ones fit into the first packets of a connection, and asking would only cost time.
const LONG_BODY: usize = 16 * 1024;

/// Time for the question whether there is room.
const ROOM_LIMIT: Duration = Duration::from_millis(600);

/// Time that an answer has for the way back, beyond the target's own time.
const WAY_BACK: Duration = Duration::from_millis(60);

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Names this try of the caller.
    pub request: RequestId,
    /// The route that it takes.
    pub route: Arc<RouteRules>,
    /// The service that the route's split has picked.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query, unchanged.
    pub path: String,
    /// Headers, less those of one connection.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Bytes,
    /// The key, where the service is divided by key.
    pub key: Option<KeyNumber>,
    /// When an answer begins to be late.
    pub objective: BootTime,
    /// When its time is over.
    pub deadline: BootTime,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct ForwardOutcome {
    /// What the caller is told.
    pub reply: RunReply,
    /// The answer's body.
    pub body: Bytes,
    /// Routers that it was taken to.
    pub places: u32,
    /// The last of them.
    pub last_place: Option<NodeId>,
}

/// The way of one request.
struct RequestWay<'a, D: PlatformDialect> {
    node: &'a Arc<NodeShared<D>>,
    request: &'a CallerRequest,
    shard: Option<ShardId>,
    places: u32,
    /// Targets that may have run it.
    runs: u32,
    waited: Duration,
    last_place: Option<NodeId>,
}

/// What comes after a try.
enum NextStep {
    Tell(RunReply, Bytes),
    Again,
}

/// Takes a request to a target, and to another one where that does no harm.
pub async fn forward<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    request: &CallerRequest,
) -> ForwardOutcome {
    let mut way = RequestWay {
        node,
        request,
        shard: node.shard_of(&request.service, request.key),
        places: 0,
        runs: 0,
        waited: Duration::ZERO,
        last_place: None,
    };
    node.with_budget(&request.service, RetryBudget::on_first_try);
    loop {
        if let NextStep::Tell(reply, body) = way.step().await {
            return ForwardOutcome {
                reply,
                body,
                places: way.places,
                last_place: way.last_place,
            };
        }
    }
}

impl<D: PlatformDialect> RequestWay<'_, D> {
    async fn step(&mut self) -> NextStep {
        if self.time_left().is_zero() {
            return self.out_of_time();
        }
        if self.node.is_ending() {
            return self.refuse(RefusalReason::Stopping, NO_TARGET_RETRY_AFTER);
        }
        let Some((place, address)) = self.find_place() else {
            return self.await_place().await;
        };
        self.places += 1;
        self.last_place = Some(place.clone());
        let mut open = OpenTry::new(self.node, self.request, &place);
        let (reply, body) = self.run_at(&place, address).await;
        open.outcome = health_outcome(&reply);
        drop(open);
        match reply {
            RunReply::Ran { .. } => NextStep::Tell(reply, body),
            RunReply::NotRun {
                reason,
                retry_after,
                by_target,
            } => {
                if by_target && !self.may_send_again() {
                    return self.refuse(reason, retry_after);
                }
                self.after_refusal(&place, reason, retry_after).await
            }
            RunReply::MayHaveRun(reason) => self.after_doubt(reason).await,
        }
    }

    fn time_left(&self) -> Duration {
        self.request.deadline.saturating_sub(boot_clock::now())
    }

    // --- where to -------------------------------------------------------------------------------

    fn find_place(&self) -> Option<(NodeId, SocketAddr)> {
        let service = &self.request.service;
        if let Some(shard) = self.shard {
            return self.node.owner_of(service, shard);
        }
        let draws = rand::random();
        let place = {
            let mut choices = self.node.choices();
            choices.get_mut(service)?.choose(draws, boot_clock::now())?
        };
        let address = if place == self.node.settings.node {
            self.node.settings.listen.peers
        } else {
            self.node.directory().address(&place)?
        };
        Some((place, address))
    }

    /// Nobody can be asked just now: a shard on the move is waited for, a missing target is not.
    async fn await_place(&mut self) -> NextStep {
        if self.shard.is_some() {
            self.await_owner(RefusalReason::NoOwner, NO_OWNER_RETRY_AFTER)
                .await
        } else {
            self.refuse(RefusalReason::OwnerUnreachable, NO_TARGET_RETRY_AFTER)
        }
    }

    async fn await_owner(&mut self, reason: RefusalReason, retry_after: Duration) -> NextStep {
        let most = MOVE_WAIT.min((self.time_left() + self.waited) / MOVE_WAIT_PART);
        if self.waited >= most {
            return self.refuse(reason, retry_after);
        }
        refresh_cell(self.node, &self.request.service);
        let began = boot_clock::now();
        within(MOVE_STEP, self.node.route_news.notified()).await;
        // News may come often; a pause keeps the tries apart.
        sleep(MOVE_STEP / 4).await;
        self.waited += boot_clock::now().saturating_sub(began);
        NextStep::Again
    }

    // --- one try --------------------------------------------------------------------------------

    async fn run_at(&mut self, place: &NodeId, address: SocketAddr) -> (RunReply, Bytes) {
        let call = self.run_call();
        let limit = self.time_left() + WAY_BACK;
        if *place == self.node.settings.node {
            let work = self
                .node
                .door
                .run(self.node, call, self.request.body.clone());
            let bar = async { self.node.door.bar(&self.request.request) };
            return match self.unless_barred(within(limit, work), bar).await {
                Some(Some(reply)) => reply,
                Some(None) => (
                    RunReply::MayHaveRun(UncertainReason::TimedOut),
                    Bytes::new(),
                ),
                None => (not_begun(RefusalReason::Stopping), Bytes::new()),
            };
        }
        let links = &self.node.links;
        let body = &self.request.body;
        if body.len() >= LONG_BODY
            && let Some(refusal) = self.ask_room(place, address).await
        {
            return (refusal, Bytes::new());
        }
        let call = PeerCall::Run(call);
        let work = links.call(address, &call, body, limit);
        let Some(answer) = self.unless_barred(work, self.bar(address)).await else {
            return (not_begun(RefusalReason::Stopping), Bytes::new());
        };
        let fault = match answer {
            Ok((PeerReply::Run(reply, load), body)) => {
                self.see_load(place, load);
                return (reply, body);
            }
            Ok(_) => PeerFault::Lost("answer to another call".into()),
            Err(fault) => fault,
        };
        tell!(
            Info,
            events::REQUEST_TRIED,
            request = &*self.request.request,
            place = &**place,
            fault = fault.to_string()
        );
        let reply = match fault {
            PeerFault::Timeout => RunReply::MayHaveRun(UncertainReason::TimedOut),
            fault if fault.is_unsent() => not_begun(RefusalReason::OwnerUnreachable),
            _ => self.ask_whether_begun(address).await,
        };
        (reply, Bytes::new())
    }

    /// Asks the router beside the target for room, before a long body crosses the way there.
    async fn ask_room(&self, place: &NodeId, address: SocketAddr) -> Option<RunReply> {
        let call = PeerCall::Room(RoomCall {
            request: self.request.request.clone(),
            bytes: self.request.body.len() as u64,
        });
        let limit = ROOM_LIMIT.min(self.time_left());
        match self.node.links.call(address, &call, &[], limit).await {
            Ok((PeerReply::Room(room, load), _)) => {
                self.see_load(place, load);
                room.err()
            }
            // Nothing of the request itself was sent.
            _ => Some(not_begun(RefusalReason::OwnerUnreachable)),
        }
    }

    /// Waits for a try. Where the process ends before that, and the request can be barred, it has not
    /// begun and never will: none is returned.
    async fn unless_barred<T>(
        &self,
        work: impl Future<Output = T>,
        bar: impl Future<Output = bool>,
    ) -> Option<T> {
        let mut work = pin!(work);
        tokio::select! {
            biased;
            done = &mut work => return Some(done),
            () = self.node.ended() => {}
        }
        tokio::select! {
            biased;
            done = &mut work => Some(done),
            barred = bar => if barred { None } else { Some(work.await) },
        }
    }

    fn see_load(&self, place: &NodeId, load: TargetLoad) {
        if let Some(choice) = self.node.choices().get_mut(&self.request.service) {
            choice.set_load(place, load, boot_clock::now());
        }
    }

    /// The link broke: over a new one, the router there tells whether the request has begun.
    async fn ask_whether_begun(&self, address: SocketAddr) -> RunReply {
        let doubt = RunReply::MayHaveRun(UncertainReason::ConnectionLost);
        if self.request.route.idempotent {
            return doubt;
        }
        if self.bar(address).await {
            not_begun(RefusalReason::OwnerUnreachable)
        } else {
            doubt
        }
    }

    /// Has the router at `address` bar the request; false where it has begun, or nobody can tell.
    async fn bar(&self, address: SocketAddr) -> bool {
        let call = PeerCall::Bar(self.request.request.clone());
        let limit = BAR_LIMIT.min(self.time_left());
        let answer = self.node.links.call(address, &call, &[], limit).await;
        let barred = matches!(answer, Ok((PeerReply::Barred(true), _)));
        tell!(
            Info,
            events::REQUEST_BARRED,
            request = &*self.request.request,
            asked = address.to_string(),
            barred = barred,
            answered = answer.is_ok()
        );
        barred
    }

    fn run_call(&self) -> RunCall {
        let request = self.request;
        RunCall {
            request: request.request.clone(),
            service: request.service.clone(),
            route: request.route.name.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            time_left: self.time_left(),
            objective_left: request.objective.saturating_sub(boot_clock::now()),
            key: request.key,
            class: request.route.class(),
            run_once: !request.route.idempotent,
            caller_service: self.node.settings.service.clone(),
        }
    }

    // --- what comes after -----------------------------------------------------------------------

    async fn after_refusal(
        &mut self,
        place: &NodeId,
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
        );
        let unreachable = matches!(
            reason,
            RefusalReason::OwnerUnreachable | RefusalReason::TargetRefused
        );
        if self.shard.is_some() && (moving || unreachable) {
            return self.await_owner(reason, retry_after).await;
        }
        let elsewhere = moving
            || unreachable
            || reason == RefusalReason::Overloaded
            || reason == RefusalReason::DeadlineTooShort;
        if self.shard.is_some() || !elsewhere || self.places >= PLACES_LIMIT {
            return self.refuse(reason, retry_after);
        }
        if let Some(choice) = self.node.choices().get_mut(&self.request.service) {
            choice.set_busy(place, boot_clock::now() + BUSY_TIME);
        }
        NextStep::Again
    }

    async fn after_doubt(&mut self, reason: UncertainReason) -> NextStep {
        self.runs += 1;
        let route = &self.request.route;
        let may_repeat = route.idempotent
            && reason != UncertainReason::TimedOut
            && self.runs < route.max_attempts
            && self.places < PLACES_LIMIT
            && self.node.with_budget(
                &self.request.service,
                anvilrack_core::RetryBudget::take_retry,
            );
        if !may_repeat {
            return NextStep::Tell(RunReply::MayHaveRun(reason), Bytes::new());
        }
        let pause = retry_pause(0, rand::random());
        sleep(pause).await;
        NextStep::Again
    }

    /// Takes one retry out of the budget; each time a target is reached again counts.
    fn may_send_again(&self) -> bool {
        self.node
            .with_budget(&self.request.service, RetryBudget::take_retry)
    }

    fn refuse(&self, reason: RefusalReason, retry_after: Duration) -> NextStep {
        let reply = if self.runs > 0 {
            // An earlier try may have run.
            RunReply::MayHaveRun(UncertainReason::ConnectionLost)
        } else {
            RunReply::NotRun {
                reason,
                retry_after,
                by_target: false,
            }
        };
        NextStep::Tell(reply, Bytes::new())
    }

    fn out_of_time(&self) -> NextStep {
        self.refuse(RefusalReason::DeadlineTooShort, NO_TARGET_RETRY_AFTER)
    }
}

/// The request has not begun anywhere, and will not.
fn not_begun(reason: RefusalReason) -> RunReply {
    RunReply::NotRun {
        reason,
        retry_after: NO_TARGET_RETRY_AFTER,
        by_target: false,
    }
}

// --- evidence -----------------------------------------------------------------------------------

/// One try under way; dropping it counts it as ended, also where the caller has left.
struct OpenTry<'a, D: PlatformDialect> {
    node: &'a NodeShared<D>,
    request: &'a CallerRequest,
    place: &'a NodeId,
    began: BootTime,
    outcome: HealthOutcome,
}

impl<'a, D: PlatformDialect> OpenTry<'a, D> {
    fn new(node: &'a NodeShared<D>, request: &'a CallerRequest, place: &'a NodeId) -> Self {
        let began = boot_clock::now();
        if let Some(choice) = node.choices().get_mut(&request.service) {
            choice.begin(place, began);
        }
        Self {
            node,
            request,
            place,
            began,
            outcome: HealthOutcome::NotTried,
        }
    }
}

impl<D: PlatformDialect> Drop for OpenTry<'_, D> {
    fn drop(&mut self) {
        let now = boot_clock::now();
        let took = now.saturating_sub(self.began);
        let request = self.request;
        if let Some(choice) = self.node.choices().get_mut(&request.service) {
            choice.end(self.place, &request.route.name, self.outcome, took, now);
        }
    }
}

/// What the end of a try says of its target's health.
fn health_outcome(reply: &RunReply) -> HealthOutcome {
    match reply {
        RunReply::Ran { status, .. } if *status < 500 => HealthOutcome::Answered,
        RunReply::Ran { .. }
        | RunReply::MayHaveRun(_)
        | RunReply::NotRun {
            reason: RefusalReason::OwnerUnreachable | RefusalReason::TargetRefused,
            ..
        } => HealthOutcome::Failed,
        RunReply::NotRun { .. } => HealthOutcome::NotTried,
    }
}
