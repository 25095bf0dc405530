//! What a coordinator's decisions cost by members of its cell.

use std::hint::black_box;
use std::time::Duration;

use anvilrack_core::{CellRecord, CoordinatorState};

use super::ROUNDS;
use crate::MeasuredSlope;
use crate::cpu_clock::thread_cpu;
use crate::sample_cell::{SAMPLE_NOW, sample_coordinator, sample_report, sample_rules};
use crate::slope_fit::median_points;

/// Sizes of a cell.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Repeats within one measurement.
const REPEATS: u32 = 10;

/// Members of a failure domain: one of 23.
const DOMAIN_SHARE: u32 = 23;

/// Revision of the sample configuration.
const REVISION: u64 = 40_000;

/// Processor time of one look with nothing to do, of one heartbeat, and of the look that replaces
/// a lost failure domain.
pub(super) fn measure() -> Vec<MeasuredSlope> {
    let slope = |name: &str, label: &str, work: fn(u32) -> f64| {
        let points = median_points(&MEMBERS, ROUNDS, work);
        MeasuredSlope::new(name, "members of the cell", label, points)
    };
    vec![
        slope("coordinator.plan", "one plan with no change, us", idle_plan),
        slope("coordinator.heartbeat", "one heartbeat, us", heartbeat),
        slope(
            "coordinator.domain-loss",
            "the plan after the loss of a domain, us",
            domain_loss,
        ),
        slope(
            "coordinator.clone",
            "one copy of the record, us",
            record_copy,
        ),
        slope(
            "coordinator.read",
            "one record read from the store, us",
            record_read,
        ),
    ]
}

/// Microseconds of processor time for each of `count` calls.
fn each_us(count: u32, mut work: impl FnMut(u32)) -> f64 {
    let before = thread_cpu();
    (0..count).for_each(&mut work);
    let used = thread_cpu().saturating_sub(before);
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

fn idle_plan(members: u32) -> f64 {
    let mut state = settled_coordinator(members);
    let rules = sample_rules(members);
    each_us(REPEATS, |_| {
        black_box(state.plan(&rules, REVISION, SAMPLE_NOW));
    })
}

fn heartbeat(members: u32) -> f64 {
    let mut state = settled_coordinator(members);
    let reports: Vec<_> = (0..members).map(sample_report).collect();
    each_us(members, |number| {
        black_box(state.on_heartbeat(&reports[number as usize], SAMPLE_NOW));
    })
}

fn domain_loss(members: u32) -> f64 {
    let state = settled_coordinator(members);
    let rules = sample_rules(members);
    let later = SAMPLE_NOW + Duration::from_secs(3);
    let lost = |number: u32| number % DOMAIN_SHARE == 3;
    let mut state = state.clone();
    for number in (0..members).filter(|number| !lost(*number)) {
        state.on_heartbeat(&sample_report(number), later);
    }
    let mut states = vec![state; REPEATS as usize];
    each_us(REPEATS, |turn| {
        black_box(states[turn as usize].plan(&rules, REVISION, later));
    })
}

fn record_copy(members: u32) -> f64 {
    let state = settled_coordinator(members);
    each_us(REPEATS, |_| {
        black_box(state.record().clone());
    })
}

fn record_read(members: u32) -> f64 {
    let text = serde_json::to_vec(settled_coordinator(members).record()).unwrap_or_default();
    each_us(REPEATS, |_| {
        let _ = black_box(serde_json::from_slice::<CellRecord>(&text));
    })
}
