//! Overload of a service that others call while they run their own requests ("subsequent overload").
//!
//! If each service sheds load on its own, requests fail half done: their first service has spent its
//! slots on them when the second one refuses a call. The simulation compares this with refusal at the
//! entry, before any work is done. It has two services: views call bookings twice in each run, and
//! bookings also serve requests of their own.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilrack_core::{
    AdmissionHint, AdmissionQueue, AdmissionRequest, AdmissionStep, AdmittedShares, BootTime,
    DemandMeter, EntryAdmission, LatencyLimit, NodeId, OfferedRequest, RequestClass, RunAdmission,
    ServiceName, TicketId, WHOLE_SHARE,
};

const SLOTS: u32 = 4;
const SERVERS: usize = 6;
const STEP: Duration = Duration::from_millis(1);
const VIEW_WORK: Duration = Duration::from_millis(60);
const JOIN_WORK: Duration = Duration::from_millis(90);
const CALL_WORK: Duration = Duration::from_millis(20);
const CALLS_PER_VIEW: u32 = 2;
const VIEW_PRIORITY: u8 = 2;
const JOIN_PRIORITY: u8 = 1;

/// How requests are refused.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Each target's queue decides alone, and a call counts like any other request.
    EachServiceAlone,
    /// Targets publish the shares that they can serve, and calls go first.
    EntryAdmission,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent: u32,
    served: u32,
    in_time: u32,
    refused: u32,
    /// Runs that failed because one of their calls was refused.
    failed_runs: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    views: Outcome,
    joins: Outcome,
}

/// The kinds of request, with the service that runs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    View,
    Join,
    /// Call of the view with this number.
    Call(u32),
}

struct Job {
    kind: Kind,
    sent: BootTime,
    admitted: u16,
    calls_left: u32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum JobPhase {
    Waiting,
    Working(BootTime),
    /// A view whose call has not ended.
    Calling,
}

struct Server {
    name: NodeId,
    queue: AdmissionQueue,
    meter: DemandMeter,
    jobs: BTreeMap<TicketId, (Job, JobPhase)>,
    /// What the router of this server knows about the services that its target calls.
    calls: EntryAdmission,
}

impl Server {
    fn new(name: String) -> Self {
        Self {
            name: name.into(),
            queue: AdmissionQueue::new(LatencyLimit::new(SLOTS).with_fixed_limit()),
            meter: DemandMeter::default(),
            jobs: BTreeMap::new(),
            calls: EntryAdmission::default(),
        }
    }

    fn hint(&mut self, is_call: bool, now: BootTime) -> AdmissionHint {
        let limited = |shares: AdmittedShares| (!shares.is_all()).then_some(shares);
        AdmissionHint {
            own: limited(self.meter.shares(SLOTS, now)),
            called: limited(self.calls.called_shares(now)),
            is_call,
            ..AdmissionHint::default()
        }
    }
}

struct Simulation {
    policy: Policy,
    now: BootTime,
    views: Vec<Server>,
    bookings: Vec<Server>,
    entry: EntryAdmission,
    outcomes: Outcomes,
    sequence: u32,
}

fn simulate(policy: Policy, views_per_s: u32, joins_per_s: u32, seconds: u32) -> Outcomes {
    let servers = |service: &str| {
        (0..SERVERS)
            .map(|index| Server::new(format!("{service}-{index}")))
            .collect()
    };
    let mut simulation = Simulation {
        policy,
        now: BootTime::ZERO,
        views: servers("views"),
        bookings: servers("bookings"),
        entry: EntryAdmission::default(),
        outcomes: Outcomes::default(),
        sequence: 0,
    };
    for step in 0..seconds * 1_000 {
        simulation.now = STEP * step;
        let due = |per_s: u32| (step + 1) * per_s / 1_000 - step * per_s / 1_000;
        for _ in 0..due(views_per_s) {
            simulation.send(Kind::View);
        }
        for _ in 0..due(joins_per_s) {
            simulation.send(Kind::Join);
        }
        simulation.advance();
    }
    simulation.outcomes
}

impl Simulation {
    fn send(&mut self, kind: Kind) {
        self.sequence += 1;
        let id = self.sequence.to_string();
        let (service, route, priority, _) = properties(kind);
        self.outcome(kind).sent += 1;
        let mut admitted = WHOLE_SHARE;
        if self.policy == Policy::EntryAdmission {
            let shares = self.entry.shares(&service, None, self.now);
            if !shares.admits(priority, AdmittedShares::draw(&id)) {
                self.outcome(kind).refused += 1;
                return;
            }
            admitted = shares.share(priority);
        }
        let server = pick_server(self.sequence);
        let job = Job {
            kind,
            sent: self.now,
            admitted,
            calls_left: if kind == Kind::View {
                CALLS_PER_VIEW
            } else {
                0
            },
        };
        let accepted = self.offer(server, job, RunAdmission { priority, admitted });
        let now = self.now;
        let server = &mut self.servers(kind)[server];
        let (hint, name) = (server.hint(false, now), server.name.clone());
        self.entry
            .apply_hint(&service, &route.into(), &name, &hint, now);
        if !accepted {
            self.outcome(kind).refused += 1;
        }
    }

    /// Offers a job to a server; returns false if it is refused at once.
    fn offer(&mut self, server: usize, job: Job, admission: RunAdmission) -> bool {
        let (policy, now) = (self.policy, self.now);
        let (_, route, _, work) = properties(job.kind);
        let is_call = matches!(job.kind, Kind::Call(_));
        let (objective, deadline) = if is_call { (100, 300) } else { (400, 1_000) };
        let class = match job.kind {
            Kind::Call(_) if policy == Policy::EntryAdmission => RequestClass::Call,
            Kind::Call(_) | Kind::Join => RequestClass::Read,
            Kind::View => RequestClass::Archive,
        };
        let server = &mut self.servers(job.kind)[server];
        if policy == Policy::EntryAdmission {
            let request = OfferedRequest {
                work: server.queue.service_time(route, now).max(work),
                admission,
                is_call,
            };
            server.meter.record(&request, now);
            server
                .queue
                .set_call_share(server.meter.call_share_percent(now));
        }
        let request = AdmissionRequest {
            class,
            kind: route.into(),
            objective: now + Duration::from_millis(objective),
            deadline: now + Duration::from_millis(deadline),
            caller: "a".into(),
        };
        match server.queue.offer(request, now) {
            AdmissionStep::Refuse(..) => false,
            AdmissionStep::Enter(ticket) | AdmissionStep::Wait(ticket, _) => {
                server.jobs.insert(ticket, (job, JobPhase::Waiting));
                true
            }
        }
    }

    fn advance(&mut self) {
        for index in 0..SERVERS {
            self.advance_bookings(index);
        }
        for index in 0..SERVERS {
            self.advance_views(index);
        }
    }

    fn advance_bookings(&mut self, index: usize) {
        let now = self.now;
        for ticket in self.bookings[index]
            .jobs
            .keys()
            .copied()
            .collect::<Vec<_>>()
        {
            let server = &mut self.bookings[index];
            let ended = start_or_end(server, ticket, now);
            let hint = server.hint(true, now);
            let Some((job, ran)) = ended else { continue };
            match job.kind {
                Kind::Call(view) => self.end_call(view, ran, &hint),
                kind => self.end_request(kind, &job, ran),
            }
        }
    }

    fn advance_views(&mut self, index: usize) {
        let now = self.now;
        for ticket in self.views[index].jobs.keys().copied().collect::<Vec<_>>() {
            let server = &mut self.views[index];
            let was_waiting = server.jobs[&ticket].1 == JobPhase::Waiting;
            let ended = start_or_end(server, ticket, now);
            let Some((job, ran)) = ended else {
                if was_waiting && server.jobs[&ticket].1 != JobPhase::Waiting {
                    let admitted = server.jobs[&ticket].0.admitted;
                    server.calls.on_run(RunAdmission {
                        priority: VIEW_PRIORITY,
                        admitted,
                    });
                }
                continue;
            };
            if !ran || job.calls_left == 0 {
                if ran {
                    self.views[index].queue.finish(ticket, true, now);
                }
                self.end_request(Kind::View, &job, ran);
                continue;
            }
            // The slot stays occupied while the view waits for its call.
            self.views[index]
                .jobs
                .insert(ticket, (job, JobPhase::Calling));
            let caller = u32::try_from(index).unwrap() << 24 | u32::try_from(ticket).unwrap();
            self.call(caller, index);
        }
    }

    fn call(&mut self, caller: u32, index: usize) {
        self.sequence += 1;
        let server = pick_server(self.sequence);
        let latest = self.views[index].calls.latest_run();
        let admission = latest.unwrap_or(RunAdmission {
            priority: VIEW_PRIORITY,
            admitted: WHOLE_SHARE,
        });
        let job = Job {
            kind: Kind::Call(caller),
            sent: self.now,
            admitted: WHOLE_SHARE,
            calls_left: 0,
        };
        if !self.offer(server, job, admission) {
            let hint = self.bookings[server].hint(true, self.now);
            self.end_call(caller, false, &hint);
        }
    }

    fn end_call(&mut self, caller: u32, ran: bool, hint: &AdmissionHint) {
        let now = self.now;
        let (index, ticket) = ((caller >> 24) as usize, TicketId::from(caller & 0xff_ffff));
        let server = &mut self.views[index];
        let bookings: ServiceName = "bookings".into();
        let router: NodeId = "bookings-0".into();
        server
            .calls
            .apply_hint(&bookings, &"check".into(), &router, hint, now);
        let (mut job, _) = server.jobs.remove(&ticket).unwrap();
        if ran {
            job.calls_left -= 1;
            server.jobs.insert(ticket, (job, JobPhase::Working(now)));
        } else {
            server.queue.finish(ticket, true, now);
            self.outcomes.views.failed_runs += 1;
        }
    }

    fn end_request(&mut self, kind: Kind, job: &Job, ran: bool) {
        let in_time = self.now <= job.sent + Duration::from_millis(400);
        let outcome = self.outcome(kind);
        outcome.served += u32::from(ran);
        outcome.in_time += u32::from(ran && in_time);
        outcome.refused += u32::from(!ran);
    }

    fn outcome(&mut self, kind: Kind) -> &mut Outcome {
        match kind {
            Kind::View => &mut self.outcomes.views,
            Kind::Join | Kind::Call(_) => &mut self.outcomes.joins,
        }
    }

    fn servers(&mut self, kind: Kind) -> &mut Vec<Server> {
        match kind {
            Kind::View => &mut self.views,
            Kind::Join | Kind::Call(_) => &mut self.bookings,
        }
    }
}

/// Starts or ends a job; returns it with `true` if its work is done, with `false` if it was refused.
///
/// A job of the bookings service releases its slot here; a view keeps it for its calls.
fn start_or_end(server: &mut Server, ticket: TicketId, now: BootTime) -> Option<(Job, bool)> {
    let (job, phase) = server.jobs.get_mut(&ticket)?;
    match *phase {
        JobPhase::Waiting => match server.queue.poll(ticket, now) {
            AdmissionStep::Wait(..) => None,
            AdmissionStep::Enter(_) => {
                *phase = JobPhase::Working(now + properties(job.kind).3);
                None
            }
            AdmissionStep::Refuse(..) => server.jobs.remove(&ticket).map(|(job, _)| (job, false)),
        },
        JobPhase::Working(ends) if ends <= now => {
            if job.kind != Kind::View {
                server.queue.finish(ticket, true, now);
            }
            server.jobs.remove(&ticket).map(|(job, _)| (job, true))
        }
        JobPhase::Working(_) | JobPhase::Calling => None,
    }
}

/// Spreads requests over the servers without a pattern.
fn pick_server(sequence: u32) -> usize {
    (sequence.wrapping_mul(0x9e37_79b1) >> 16) as usize % SERVERS
}

/// Returns the service, the route, the priority and the work of a kind of request.
fn properties(kind: Kind) -> (ServiceName, &'static str, u8, Duration) {
    match kind {
        Kind::View => ("views".into(), "view", VIEW_PRIORITY, VIEW_WORK),
        Kind::Join => ("bookings".into(), "join", JOIN_PRIORITY, JOIN_WORK),
        Kind::Call(_) => ("bookings".into(), "check", JOIN_PRIORITY, CALL_WORK),
    }
}

/// Requests a second: bookings need 1.4 times their slots, views 1.2 times.
const VIEWS_PER_S: u32 = 280;
const JOINS_PER_S: u32 = 260;

#[test]
fn runs_are_not_begun_that_fail_at_their_calls() {
    let alone = simulate(Policy::EachServiceAlone, VIEWS_PER_S, JOINS_PER_S, 20);
    let entry = simulate(Policy::EntryAdmission, VIEWS_PER_S, JOINS_PER_S, 20);
    assert!(
        alone.views.failed_runs * 10 > alone.views.served,
        "the load shows the fault: {alone:?}"
    );
    assert!(
        entry.views.failed_runs * 10 < entry.views.served,
        "{entry:?}"
    );
    let served = |outcomes: &Outcomes| outcomes.views.served + outcomes.joins.served;
    assert!(served(&entry) > served(&alone), "{entry:?}, {alone:?}");
}

#[test]
fn urgent_requests_are_not_served_less_often_than_others() {
    let Outcomes { views, joins } = simulate(Policy::EntryAdmission, VIEWS_PER_S, JOINS_PER_S, 20);
    let percent = |outcome: Outcome| outcome.served * 100 / outcome.sent;
    assert!(percent(joins) + 5 >= percent(views), "{views:?}, {joins:?}");
}

#[test]
fn nothing_is_refused_without_overload() {
    let outcomes = simulate(Policy::EntryAdmission, 100, 120, 20);
    assert_eq!(
        outcomes.views.refused + outcomes.joins.refused,
        0,
        "{outcomes:?}"
    );
    assert_eq!(outcomes.views.failed_runs, 0, "{outcomes:?}");
}
