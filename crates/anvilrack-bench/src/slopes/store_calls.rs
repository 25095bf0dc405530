//! Rate of calls to the store by the number of cells.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_harness::{Deployment, DeploymentPlan};
use serde_json::{Map, Value};

use crate::{MeasuredSlope, SlopePoint};

/// Numbers of cells of a deployment; each cell has one router.
const CELLS: [usize; 3] = [1, 3, 6];

/// How long calls are counted.
const COUNT_TIME: Duration = Duration::from_secs(10);

/// Time after the start of the deployment before the count begins.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Calls to the store per second.
struct CallRates {
    cells: usize,
    reads: f64,
    writes: f64,
    watches: f64,
}

/// Measures reads, writes and watches per second of a deployment that receives no requests.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let rates = CELLS.into_iter().map(count_calls);
    let rates = rates.collect::<eyre::Result<Vec<CallRates>>>()?;
    let slope = |name: &str, label: &str, rate: fn(&CallRates) -> f64| {
        let points = rates.iter().map(|rates| SlopePoint {
            x: rates.cells as f64,
            y: rate(rates),
        });
        MeasuredSlope::new(name, "cells", label, points.collect())
    };
    Ok(vec![
        slope("store-calls.reads", "reads a second", |rates| rates.reads),
        slope("store-calls.writes", "writes a second", |rates| {
            rates.writes
        }),
        slope("store-calls.watches", "watches a second", |rates| {
            rates.watches
        }),
    ])
}

fn count_calls(cells: usize) -> eyre::Result<CallRates> {
    let mut deployment = Deployment::with_plan(cells_plan(cells))?;
    deployment.await_ready()?;
    thread::sleep(SETTLE_TIME);
    let start = Instant::now();
    let before = deployment.store_counters()?;
    thread::sleep(COUNT_TIME);
    let after = deployment.store_counters()?;
    let seconds = start.elapsed().as_secs_f64();
    let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
    Ok(CallRates {
        cells,
        reads: rate(before.reads, after.reads),
        writes: rate(before.writes, after.writes),
        watches: rate(before.watches, after.watches),
    })
}

fn cells_plan(cells: usize) -> DeploymentPlan {
    let mut plan = DeploymentPlan::new("service-0", cells);
    plan.services = (0..cells).map(|cell| format!("service-{cell}")).collect();
    let rules = plan.config["services"]["service-0"].clone();
    let services = plan.services.iter();
    let services: Map<String, Value> = services
        .map(|service| (service.clone(), rules.clone()))
        .collect();
    plan.config["services"] = services.into();
    plan
}
