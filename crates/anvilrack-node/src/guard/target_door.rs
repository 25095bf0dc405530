//! The only door to the target beside this router.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anvilrack_core::{
    AdmissionQueue, AdmissionRequest, AdmissionStep, LatencyLimit, RefusalReason, ShardId,
    ShardMeter, TargetLoad, TargetPace, TicketId, UncertainReason, events,
};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::Notify;

use crate::guard::{
    BegunRequests, BodyRoom, LifeState, NoticeEffect, TargetLife, TargetLives, TargetNotice,
};
use crate::http_pool::{ConnectionAge, HttpPool, SendFault, within};
use crate::message_headers;
use crate::peers::{RoomCall, RunCall, RunReply};
use crate::state_lock::lock;
use crate::{AnswerMark, NodeShared, PlatformDialect, RequestId, TargetMark, observe, tell};

/// Longest time for a connection to the target, which stands on the same VM.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Slots that are assumed until the target has told.
const ASSUMED_SLOTS: u32 = 4;

/// Shortest time for which a refused caller is sent away.
const LEAST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// When it is worth coming back to a target that is leaving or gone.
const GONE_RETRY_AFTER: Duration = Duration::from_millis(400);

/// When it is worth coming back for a shard that is between two owners.
const MOVING_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Less time than this left is no time for the target to answer.
const LEAST_TIME: Duration = Duration::from_millis(2);

/// A request that is refused, and when coming back is worth while.
type Refusal = (RefusalReason, Duration);

/// Admission, fences and limits for one target.
#[derive(Debug)]
pub struct TargetDoor {
    pool: HttpPool,
    lives: Mutex<TargetLives>,
    queue: Mutex<AdmissionQueue>,
    waiters: Mutex<HashMap<TicketId, Arc<Notify>>>,
    begun: Mutex<BegunRequests>,
    room: Mutex<BodyRoom>,
    meter: Mutex<ShardMeter>,
    pace: Mutex<TargetPace>,
}

/// A place in the queue or at the target; dropping it gives it back.
struct SlotTicket<'a> {
    door: &'a TargetDoor,
    ticket: TicketId,
    measured: bool,
}

impl Drop for SlotTicket<'_> {
    fn drop(&mut self) {
        let news = {
            let mut queue = self.door.queue();
            queue.leave(self.ticket, self.measured, boot_clock::now());
            queue.take_news()
        };
        lock(&self.door.waiters).remove(&self.ticket);
        self.door.wake(&news);
    }
}

impl TargetDoor {
    /// You give the target's address and the speed of the VM's link, in megabits a second.
    #[must_use]
    pub fn new(target: std::net::SocketAddr, link_mbps: u32) -> Self {
        Self {
            pool: HttpPool::new(target, CONNECT_LIMIT),
            lives: Mutex::default(),
            queue: Mutex::new(AdmissionQueue::new(
                LatencyLimit::new(ASSUMED_SLOTS).with_fixed_limit(),
            )),
            waiters: Mutex::default(),
            begun: Mutex::default(),
            room: Mutex::new(BodyRoom::new(link_mbps)),
            meter: Mutex::default(),
            pace: Mutex::default(),
        }
    }

    /// Runs a request at the target, or says truthfully why not.
    pub async fn run<D: PlatformDialect>(
        &self,
        node: &NodeShared<D>,
        call: RunCall,
        body: Bytes,
    ) -> (RunReply, Bytes) {
        let deadline = boot_clock::now() + call.time_left;
        match self.admit(node, &call, deadline).await {
            Ok((slot, life)) => self.deliver(node, call, body, slot, &life, deadline).await,
            Err((reason, retry_after)) => {
                let (running, waiting) = self.load();
                tell!(
                    Info,
                    events::ADMISSION_REFUSED,
                    request = &*call.request,
                    why = reason.word(),
                    class = call.class.word(),
                    key = call.key,
                    running = running,
                    waiting = waiting,
                    time_left_ms = observe::millis(call.time_left),
                    retry_after_ms = observe::millis(retry_after)
                );
                let retry_after = retry_after.max(LEAST_RETRY_AFTER);
                not_run(reason, retry_after)
            }
        }
    }

    /// Keeps room for a long body, or says truthfully why it should not come.
    ///
    /// # Errors
    ///
    /// A refusal; the request has not run.
    pub fn reserve<D: PlatformDialect>(
        &self,
        node: &NodeShared<D>,
        call: &RoomCall,
    ) -> Result<(), RunReply> {
        let bytes = usize::try_from(call.bytes).unwrap_or(usize::MAX);
        let now = boot_clock::now();
        let room = if node.is_closing() {
            Err((RefusalReason::Stopping, GONE_RETRY_AFTER))
        } else {
            let reserved = lock(&self.room).reserve(&call.request, bytes, now);
            reserved.map_err(|after| (RefusalReason::Overloaded, after.max(LEAST_RETRY_AFTER)))
        };
        room.map_err(|(reason, retry_after)| {
            tell!(
                Info,
                events::BODY_REFUSED,
                request = &*call.request,
                why = reason.word(),
                bytes = call.bytes,
                expected = lock(&self.room).expected(),
                retry_after_ms = observe::millis(retry_after)
            );
            not_run(reason, retry_after).0
        })
    }

    /// A request has come with its whole body.
    pub fn take_body(&self, request: &RequestId) {
        lock(&self.room).take(request);
    }

    /// Bars a request that has not begun; false where it has.
    pub fn bar(&self, request: &RequestId) -> bool {
        let barred = lock(&self.begun).bar(request, boot_clock::now());
        tell!(
            Info,
            events::REQUEST_BARRED,
            request = &**request,
            barred = barred
        );
        barred
    }

    // --- the target's life ----------------------------------------------------------------------

    /// The newest life of the target, whatever its state.
    #[must_use]
    pub fn life(&self) -> Option<TargetLife> {
        lock(&self.lives).current().cloned()
    }

    /// Takes what the target says of itself.
    pub fn take_notice(&self, notice: &TargetNotice, service: &str) -> NoticeEffect {
        let (effect, slots) = {
            let mut lives = lock(&self.lives);
            let effect = lives.take(notice, service, boot_clock::now());
            (effect, lives.current().map(|life| life.slots))
        };
        if let (NoticeEffect::NewLife | NoticeEffect::Changed, Some(slots)) = (effect, slots) {
            self.queue().set_slots(slots);
        }
        if effect == NoticeEffect::NewLife {
            self.pool.clear();
            *lock(&self.pace) = TargetPace::default();
        }
        effect
    }

    /// Requests at the target, and requests that wait for it.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let queue = self.queue();
        (queue.in_flight(), queue.waiting())
    }

    /// What the target has under way, for other routers.
    #[must_use]
    pub fn target_load(&self) -> TargetLoad {
        let (running, waiting) = self.load();
        let expected = lock(&self.room).expected();
        TargetLoad {
            busy: u32::try_from(running + waiting + expected).unwrap_or(u32::MAX),
            slots: self.life().map_or(0, |life| life.slots),
        }
    }

    /// The load of each shard, for the coordinator.
    #[must_use]
    pub fn shard_loads(&self) -> Vec<anvilrack_core::ShardLoad> {
        lock(&self.meter).loads(boot_clock::now())
    }

    /// How long the target takes for a request, in microseconds; zero while that is not known.
    #[must_use]
    pub fn pace_us(&self) -> u32 {
        lock(&self.pace).pace_us()
    }

    /// Calls to the target that are no requests: grants and releases.
    #[must_use]
    pub fn pool(&self) -> &HttpPool {
        &self.pool
    }

    // --- admission ------------------------------------------------------------------------------

    async fn admit<D: PlatformDialect>(
        &self,
        node: &NodeShared<D>,
        call: &RunCall,
        deadline: Duration,
    ) -> Result<(SlotTicket<'_>, TargetLife), Refusal> {
        self.may_run(node, call)?;
        let request = AdmissionRequest {
            class: call.class,
            kind: call.route.clone(),
            objective: (boot_clock::now() + call.objective_left).min(deadline),
            deadline,
            // The platform names no client accounts, and the service beside the router that a request
            // came through is none: calls of targets and of people come through the same ones.
            caller: call.service.clone(),
        };
        let mut step = self.queue().offer(request, boot_clock::now());
        let mut slot: Option<SlotTicket<'_>> = None;
        loop {
            let (ticket, until) = match step {
                AdmissionStep::Refuse(reason, after) => return Err((reason, after)),
                AdmissionStep::Enter(ticket) => {
                    let slot = slot.unwrap_or_else(|| self.ticket(ticket));
                    // Much may have changed while it waited.
                    let life = self.may_run(node, call)?;
                    return Ok((slot, life));
                }
                AdmissionStep::Wait(ticket, until) => (ticket, until),
            };
            let news = Arc::new(Notify::new());
            lock(&self.waiters).insert(ticket, news.clone());
            slot.get_or_insert_with(|| self.ticket(ticket));
            let wait = until.saturating_sub(boot_clock::now());
            within(wait, news.notified()).await;
            self.may_run(node, call)?;
            step = self.queue().poll(ticket, boot_clock::now());
        }
    }

    fn ticket(&self, ticket: TicketId) -> SlotTicket<'_> {
        SlotTicket {
            door: self,
            ticket,
            measured: false,
        }
    }

    /// Whether the target may be sent this request right now.
    fn may_run<D: PlatformDialect>(
        &self,
        node: &NodeShared<D>,
        call: &RunCall,
    ) -> Result<TargetLife, Refusal> {
        let life = self
            .life()
            .filter(|_| *call.service == *node.settings.service)
            .ok_or((RefusalReason::TargetRefused, GONE_RETRY_AFTER))?;
        // What begins now could be cut off by the end of the process.
        if node.is_closing() {
            return Err((RefusalReason::Stopping, GONE_RETRY_AFTER));
        }
        let now = boot_clock::now();
        match life.state {
            LifeState::Serving => {}
            LifeState::Gone => return Err((RefusalReason::TargetRefused, GONE_RETRY_AFTER)),
            LifeState::Leaving(since) => {
                // Its keys are on their way to other targets; until then it alone can serve them.
                let late = now >= since + node.settings.terms.drain / 2;
                if call.key.is_none() || late {
                    return Err((RefusalReason::Stopping, GONE_RETRY_AFTER));
                }
            }
        }
        if let Some(shard) = node.shard_of(&call.service, call.key) {
            let moving = |reason| (reason, MOVING_RETRY_AFTER);
            let grant = node.owner().grant(shard, now).map_err(moving)?;
            if !node.grants.is_applied(shard, grant.token, now) {
                return Err(moving(RefusalReason::Moving));
            }
        }
        Ok(life)
    }

    // --- delivery -------------------------------------------------------------------------------

    async fn deliver<D: PlatformDialect>(
        &self,
        node: &NodeShared<D>,
        call: RunCall,
        body: Bytes,
        mut slot: SlotTicket<'_>,
        life: &TargetLife,
        deadline: Duration,
    ) -> (RunReply, Bytes) {
        let shard = node.shard_of(&call.service, call.key);
        let now = boot_clock::now();
        let time_left = deadline.saturating_sub(now);
        if time_left < LEAST_TIME {
            return not_run(RefusalReason::DeadlineTooShort, LEAST_RETRY_AFTER);
        }
        let Some(request) = build_request(node, &call, body, life, time_left) else {
            return not_run(RefusalReason::BadRequest, LEAST_RETRY_AFTER);
        };
        if !lock(&self.begun).begin(&call.request, now) {
            return not_run(RefusalReason::OwnerUnreachable, LEAST_RETRY_AFTER);
        }
        if let Some(shard) = shard {
            lock(&self.meter).count(shard, now);
        }
        let age = if call.run_once {
            ConnectionAge::Fresh
        } else {
            ConnectionAge::Any
        };
        let sent = self.pool.send(request, age, time_left).await;
        slot.measured = true;
        if sent.is_ok() {
            let took = boot_clock::now().saturating_sub(now);
            lock(&self.pace).record(took);
        }
        match sent {
            Ok(answer) => self.read_answer(node, &call, answer, shard),
            Err(fault) => self.read_fault(node, &call, life, &fault),
        }
    }

    fn read_answer<D: PlatformDialect>(
        &self,
        node: &NodeShared<D>,
        call: &RunCall,
        answer: Response<Bytes>,
        shard: Option<ShardId>,
    ) -> (RunReply, Bytes) {
        let (parts, body) = answer.into_parts();
        let mark = node.dialect.read_answer(parts.status, &parts.headers);
        if let Some(reply) = refusal_in(&mark, parts.status) {
            if mark.other_target.is_some() && shard.is_none() {
                log::warn!("another target answers at {}", self.pool.address());
            }
            if let (Some(shard), StatusCode::MISDIRECTED_REQUEST) = (shard, parts.status) {
                node.grants.forget(shard);
            }
            return (reply, Bytes::new());
        }
        if let Some(reason) = spoiled(&mark, parts.status, &call.request) {
            // Whatever else waits on the kept connections is not to be trusted either.
            self.pool.clear();
            tell!(
                Warn,
                events::REQUEST_TRIED,
                request = &*call.request,
                status = parts.status.as_u16(),
                answered = mark.request.as_deref(),
                outcome = reason.word()
            );
            return (RunReply::MayHaveRun(reason), Bytes::new());
        }
        let reply = RunReply::Ran {
            status: parts.status.as_u16(),
            headers: message_headers::to_list(&parts.headers),
        };
        (reply, body)
    }

    fn read_fault<D: PlatformDialect>(
        &self,
        node: &NodeShared<D>,
        call: &RunCall,
        life: &TargetLife,
        fault: &SendFault,
    ) -> (RunReply, Bytes) {
        let reply = match fault {
            SendFault::NoConnection(..) => {
                if lock(&self.lives).end(life.incarnation) {
                    node.on_target_gone(life, &fault.to_string());
                }
                return not_run(RefusalReason::OwnerUnreachable, GONE_RETRY_AFTER);
            }
            fault if fault.is_unsent() => {
                return not_run(RefusalReason::OwnerUnreachable, LEAST_RETRY_AFTER);
            }
            SendFault::Timeout => RunReply::MayHaveRun(UncertainReason::TimedOut),
            _ => RunReply::MayHaveRun(UncertainReason::ConnectionLost),
        };
        tell!(
            Info,
            events::REQUEST_TRIED,
            request = &*call.request,
            target = &*life.id,
            outcome = fault.to_string()
        );
        (reply, Bytes::new())
    }

    fn wake(&self, tickets: &[TicketId]) {
        let waiters = lock(&self.waiters);
        for ticket in tickets {
            if let Some(news) = waiters.get(ticket) {
                news.notify_one();
            }
        }
    }

    /// Has all that wait look again whether they may still run here.
    pub fn wake_all(&self) {
        lock(&self.waiters)
            .values()
            .for_each(|news| news.notify_one());
    }

    fn queue(&self) -> MutexGuard<'_, AdmissionQueue> {
        lock(&self.queue)
    }
}

fn not_run(reason: RefusalReason, retry_after: Duration) -> (RunReply, Bytes) {
    let reply = RunReply::NotRun {
        reason,
        retry_after,
        by_target: false,
    };
    (reply, Bytes::new())
}

/// The request as the target gets it.
fn build_request<D: PlatformDialect>(
    node: &NodeShared<D>,
    call: &RunCall,
    body: Bytes,
    life: &TargetLife,
    time_left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .body(Full::new(body))
        .ok()?;
    let mut headers = HeaderMap::new();
    for (name, value) in &call.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    let mark = TargetMark {
        time_left,
        target: life.id.clone(),
        caller_service: call.caller_service.clone(),
    };
    node.dialect.mark_request(&mut headers, &mark);
    *request.headers_mut() = headers;
    Some(request)
}

/// The target's own word that it has not run the request.
fn refusal_in(mark: &AnswerMark, status: StatusCode) -> Option<RunReply> {
    mark.not_run.then(|| RunReply::NotRun {
        reason: if status == StatusCode::MISDIRECTED_REQUEST {
            RefusalReason::NotOwner
        } else {
            RefusalReason::TargetRefused
        },
        retry_after: LEAST_RETRY_AFTER,
        by_target: true,
    })
}

/// Why an answer cannot be passed on, if it cannot.
fn spoiled(mark: &AnswerMark, status: StatusCode, request: &RequestId) -> Option<UncertainReason> {
    let foreign = mark.request.as_ref() != Some(request);
    let unsigned = status.is_success() && !mark.sealed;
    // Without the target's word for it, these would tell the caller that nothing has run.
    let empty_promise = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    let spoiled = foreign || unsigned || empty_promise || mark.encoded;
    spoiled.then_some(UncertainReason::AnswerCutShort)
}
