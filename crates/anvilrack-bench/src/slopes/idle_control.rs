//! Processor time of the control work of routers that receive no requests.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_harness::{ChildProcess, Deployment};

use crate::cpu_clock::cpu_time_of;
use crate::slope_fit::median;
use crate::{MeasuredSlope, SlopePoint};

/// Numbers of routers of the cell.
const ROUTER_COUNTS: [usize; 4] = [2, 6, 12, 24];

/// How long processor time is measured.
const MEASURE_TIME: Duration = Duration::from_secs(5);

/// Time after the start of the deployment before the measurement begins.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Processor time of a cell's coordinator, and median processor time of its other members, in
/// thousandths of a core.
struct ControlShares {
    routers: usize,
    coordinator: f64,
    member: f64,
}

/// Measures the processor time of the coordinator and of a member, by routers of the cell.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let shares = ROUTER_COUNTS.into_iter().map(measure_shares);
    let shares = shares.collect::<eyre::Result<Vec<ControlShares>>>()?;
    let slope = |name: &str, share: fn(&ControlShares) -> f64| {
        let points = shares.iter().map(|shares| SlopePoint {
            x: shares.routers as f64,
            y: share(shares),
        });
        let label = "thousandths of a core";
        MeasuredSlope::new(name, "routers of the cell", label, points.collect())
    };
    Ok(vec![
        slope("idle-control.coordinator", |shares| shares.coordinator),
        slope("idle-control.member", |shares| shares.member),
    ])
}

fn measure_shares(routers: usize) -> eyre::Result<ControlShares> {
    let mut deployment = Deployment::new("bookings", routers)?;
    deployment.await_ready()?;
    thread::sleep(SETTLE_TIME);
    let coordinator = deployment.coordinator(0)?;
    let pids: Vec<u32> = deployment.routers.iter().map(ChildProcess::id).collect();
    let read_cpu_times =
        || -> eyre::Result<Vec<Duration>> { pids.iter().map(|pid| cpu_time_of(*pid)).collect() };
    let start = Instant::now();
    let before = read_cpu_times()?;
    thread::sleep(MEASURE_TIME);
    let after = read_cpu_times()?;
    let seconds = start.elapsed().as_secs_f64();
    let pairs = before.iter().zip(&after);
    let mut shares: Vec<f64> = pairs
        .map(|(before, after)| after.saturating_sub(*before).as_secs_f64() * 1e3 / seconds)
        .collect();
    let coordinator = shares.remove(coordinator);
    Ok(ControlShares {
        routers,
        coordinator,
        member: median(shares),
    })
}
