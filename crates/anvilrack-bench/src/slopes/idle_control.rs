//! Processor time of routers that have nothing but control to do.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_harness::{ChildProcess, Deployment};

use crate::cpu_clock::cpu_of;
use crate::slope_fit::median;
use crate::{MeasuredSlope, SlopePoint};

/// Routers of the cell.
const ROUTERS: [usize; 4] = [2, 6, 12, 24];

/// How long processor time is counted.
const COUNT_TIME: Duration = Duration::from_secs(5);

/// Time after the start that does not count.
const REST: Duration = Duration::from_secs(2);

/// What a cell's routers used, as parts of a thousand of one core.
struct ControlShares {
    routers: usize,
    coordinator: f64,
    member: f64,
}

/// The coordinator's and a member's share of a core, by routers of the cell.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let shares = ROUTERS.into_iter().map(count_shares);
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

fn count_shares(routers: usize) -> eyre::Result<ControlShares> {
    let mut deployment = Deployment::new("bookings", routers)?;
    deployment.await_ready()?;
    thread::sleep(REST);
    let coordinator = deployment.coordinator(0)?;
    let pids: Vec<u32> = deployment.routers.iter().map(ChildProcess::id).collect();
    let read = || -> eyre::Result<Vec<Duration>> { pids.iter().map(|pid| cpu_of(*pid)).collect() };
    let began = Instant::now();
    let before = read()?;
    thread::sleep(COUNT_TIME);
    let after = read()?;
    let seconds = began.elapsed().as_secs_f64();
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
