//! Admission to an overloaded target: which requests are served in time and which are refused at once.
//!
//! Guards against a queue in which every response is late when a burst of traffic, a hot key or the loss
//! of other targets overloads a target, and against refusing the calls that targets need from each other
//! to finish requests in progress.

use std::collections::BTreeMap;
use std::time::Duration;

use anvilrack_core::{
    AdmissionQueue, AdmissionRequest, AdmissionStep, BootTime, LatencyLimit, RefusalReason,
    RequestClass, TicketId,
};

const SLOTS: u32 = 4;
const STEP: Duration = Duration::from_millis(1);

/// A periodic stream of requests of one kind.
#[derive(Clone, Copy)]
struct LoadKind {
    name: &'static str,
    class: RequestClass,
    /// Number of steps between two requests.
    every: u32,
    work: Duration,
    objective: Duration,
    deadline: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct KindOutcome {
    sent: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

struct RunningWork {
    kind: usize,
    sent: BootTime,
    ends: BootTime,
}

/// Sends all kinds of load to one target for `steps` steps of a simulated clock and counts the outcomes.
fn simulate(loads: &[LoadKind], steps: u32) -> Vec<KindOutcome> {
    let mut queue = AdmissionQueue::new(LatencyLimit::new(SLOTS).with_fixed_limit());
    let mut outcomes = vec![KindOutcome::default(); loads.len()];
    let mut open: BTreeMap<TicketId, (usize, BootTime)> = BTreeMap::new();
    let mut running: BTreeMap<TicketId, RunningWork> = BTreeMap::new();
    for step in 0..steps {
        let now = STEP * step;
        let ended = running.extract_if(.., |_, work| work.ends <= now);
        for (ticket, work) in ended.collect::<Vec<_>>() {
            queue.finish(ticket, true, now);
            let outcome = &mut outcomes[work.kind];
            let late = now > work.sent + loads[work.kind].objective;
            outcome.late += u32::from(late);
            outcome.in_time += u32::from(!late);
        }
        for (kind, load) in loads
            .iter()
            .enumerate()
            .filter(|(_, load)| step % load.every == 0)
        {
            outcomes[kind].sent += 1;
            let request = AdmissionRequest {
                class: load.class,
                kind: load.name.into(),
                objective: now + load.objective,
                deadline: now + load.deadline,
                caller: "a".into(),
            };
            match queue.offer(request, now) {
                AdmissionStep::Refuse(..) => outcomes[kind].refused += 1,
                AdmissionStep::Enter(ticket) | AdmissionStep::Wait(ticket, _) => {
                    open.insert(ticket, (kind, now));
                }
            }
        }
        open.retain(|ticket, (kind, sent)| match queue.poll(*ticket, now) {
            AdmissionStep::Wait(..) => true,
            AdmissionStep::Refuse(..) => {
                outcomes[*kind].refused += 1;
                false
            }
            AdmissionStep::Enter(_) => {
                let work = RunningWork {
                    kind: *kind,
                    sent: *sent,
                    ends: now + loads[*kind].work,
                };
                running.insert(*ticket, work);
                false
            }
        });
    }
    outcomes
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Interactive look-ups.
const VIEWS: LoadKind = LoadKind {
    name: "view",
    class: RequestClass::Read,
    every: 1,
    work: Duration::from_millis(10),
    objective: Duration::from_millis(30),
    deadline: Duration::from_millis(80),
};

/// Short calls from other services, whose own requests occupy a slot elsewhere meanwhile.
const CALLS: LoadKind = LoadKind {
    name: "call",
    class: RequestClass::Read,
    every: 20,
    work: Duration::from_millis(5),
    objective: Duration::from_millis(20),
    deadline: Duration::from_millis(60),
};

#[test]
fn burst_is_answered_in_time_or_refused() {
    // 2.5 times the capacity of four slots, for four seconds.
    let [views] = simulate(&[VIEWS], 4_000)[..] else {
        unreachable!("one kind was simulated");
    };
    assert!(views.in_time >= 1_500, "{views:?}: the capacity is 1600");
    assert!(views.late * 20 <= views.in_time, "{views:?}");
}

#[test]
fn short_calls_are_served_despite_long_requests() {
    // The long requests alone would keep every slot busy.
    let long = LoadKind {
        name: "join",
        every: 10,
        work: ms(45),
        objective: ms(150),
        deadline: ms(250),
        ..VIEWS
    };
    let [long, calls] = simulate(&[long, CALLS], 6_000)[..] else {
        unreachable!("two kinds were simulated");
    };
    assert!(calls.refused * 50 <= calls.sent, "{calls:?}");
    assert!(long.in_time * 10 >= long.sent * 5, "{long:?}");
}

#[test]
fn most_urgent_class_waits_beyond_its_objective() {
    let slow = LoadKind {
        class: RequestClass::Claim,
        every: 12,
        work: ms(60),
        objective: ms(70),
        deadline: ms(300),
        ..CALLS
    };
    let [calls] = simulate(&[slow], 3_000)[..] else {
        unreachable!("one kind was simulated");
    };
    assert!(calls.late > 0, "{calls:?}");
    assert!(
        (calls.in_time + calls.late) * 100 >= calls.sent * 75,
        "{calls:?}"
    );
}

#[test]
fn requests_to_target_slower_than_the_objective_are_still_run() {
    let slow = LoadKind {
        every: 30,
        work: ms(100),
        ..VIEWS
    };
    let slow = LoadKind {
        deadline: ms(300),
        ..slow
    };
    let [views] = simulate(&[slow], 3_000)[..] else {
        unreachable!("one kind was simulated");
    };
    assert!(views.late * 10 >= views.sent * 9, "{views:?}");
}

#[test]
fn refusal_reports_the_drain_time_of_the_queue() {
    let mut queue = AdmissionQueue::new(LatencyLimit::new(1).with_fixed_limit());
    let request = |objective_ms| AdmissionRequest {
        class: RequestClass::Read,
        kind: "view".into(),
        objective: ms(objective_ms),
        deadline: ms(1_000),
        caller: "a".into(),
    };
    let AdmissionStep::Enter(first) = queue.offer(request(100), ms(0)) else {
        panic!("an empty queue starts a request at once");
    };
    queue.finish(first, true, ms(40));
    assert!(matches!(
        queue.offer(request(140), ms(40)),
        AdmissionStep::Enter(_)
    ));
    assert!(matches!(
        queue.offer(request(140), ms(40)),
        AdmissionStep::Wait(..)
    ));
    let refusal = AdmissionStep::Refuse(RefusalReason::Overloaded, ms(80));
    assert_eq!(queue.offer(request(140), ms(40)), refusal);
}
