//! Processor time of a coordinator's decisions, by the number of members of its cell.

use std::hint::black_box;
use std::time::Duration;

use anvilrack_core::{CellRecord, CoordinatorState};

use super::ROUNDS;
use crate::MeasuredSlope;
use crate::cpu_clock::thread_cpu_time;
use crate::sample_cell::{SAMPLE_NOW, sample_coordinator, sample_report, sample_rules};
use crate::slope_fit::median_points;

/// Numbers of members of a cell.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Calls in one measurement.
const CALLS: u32 = 10;

/// Number of failure domains; the members of a domain are every 23rd one.
const DOMAIN_COUNT: u32 = 23;

/// Revision of the sample configuration.
const REVISION: u64 = 40_000;

/// Measures the processor time of a plan without changes, of a heartbeat, of the plan that replaces
/// a lost failure domain, and of copying and parsing the record.
pub(super) fn measure() -> Vec<MeasuredSlope> {
    let slope = |name: &str, label: &str, work: fn(u32) -> f64| {
        let points = median_points(&MEMBERS, ROUNDS, work);
        MeasuredSlope::new(name, "members of the cell", label, points)
    };
    vec![
        slope(
            "coordinator.plan",
            "one plan with no change, us",
            idle_plan_us,
        ),
        slope("coordinator.heartbeat", "one heartbeat, us", heartbeat_us),
        slope(
            "coordinator.domain-loss",
            "the plan after the loss of a domain, us",
            domain_loss_us,
        ),
        slope(
            "coordinator.clone",
            "one copy of the record, us",
            record_copy_us,
        ),
        slope(
            "coordinator.read",
            "one record read from the store, us",
            record_read_us,
        ),
    ]
}

/// Calls `work` `count` times and returns the mean processor time of a call, in microseconds.
fn mean_cpu_us(count: u32, mut work: impl FnMut(u32)) -> f64 {
    let before = thread_cpu_time();
    (0..count).for_each(&mut work);
    let used = thread_cpu_time().saturating_sub(before);
    used.as_secs_f64() * 1e6 / f64::from(count)
}

fn settled_coordinator(members: u32) -> CoordinatorState {
    let mut state = sample_coordinator(members);
    if state
        .plan(&sample_rules(members), REVISION, SAMPLE_NOW)
        .is_some()
    {
        state.on_committed(SAMPLE_NOW);
    }
    state
}

fn idle_plan_us(members: u32) -> f64 {
    let mut state = settled_coordinator(members);
    let rules = sample_rules(members);
    mean_cpu_us(CALLS, |_| {
        black_box(state.plan(&rules, REVISION, SAMPLE_NOW));
    })
}

fn heartbeat_us(members: u32) -> f64 {
    let mut state = settled_coordinator(members);
    let reports: Vec<_> = (0..members).map(sample_report).collect();
    mean_cpu_us(members, |number| {
        black_box(state.on_heartbeat(&reports[number as usize], SAMPLE_NOW));
    })
}

fn domain_loss_us(members: u32) -> f64 {
    let state = settled_coordinator(members);
    let rules = sample_rules(members);
    let later = SAMPLE_NOW + Duration::from_secs(3);
    let lost = |number: u32| number % DOMAIN_COUNT == 3;
    let mut state = state.clone();
    for number in (0..members).filter(|number| !lost(*number)) {
        state.on_heartbeat(&sample_report(number), later);
    }
    let mut states = vec![state; CALLS as usize];
    mean_cpu_us(CALLS, |index| {
        black_box(states[index as usize].plan(&rules, REVISION, later));
    })
}

fn record_copy_us(members: u32) -> f64 {
    let state = settled_coordinator(members);
    mean_cpu_us(CALLS, |_| {
        black_box(state.record().clone());
    })
}

fn record_read_us(members: u32) -> f64 {
    let text = serde_json::to_vec(settled_coordinator(members).record()).unwrap_or_default();
    mean_cpu_us(CALLS, |_| {
        let _ = black_box(serde_json::from_slice::<CellRecord>(&text));
    })
}
