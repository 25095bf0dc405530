//! One deployment under the load that it is known for.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan};
use anvilrack_load::{
    LoadHistory, LoadReport, LoadShape, RunSpread, fetch_runs, judge, longest_gaps, run_load,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use crate::median;

/// Targets of each service.
const TARGETS: usize = 2;

/// Time that a target takes for each request: long, so that the machine is not what is measured.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Shards of each service.
const SHARDS: u32 = 48;

/// When the router is lost, as a share of the load.
const LOSS_AT: f64 = 0.3;

/// What goes wrong during a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShapeFault {
    /// Nothing.
    None,
    /// The router beside one of the first service's targets is killed.
    RouterLost,
}

/// One load to make.
#[derive(Clone, Debug)]
pub struct ShapePlan {
    /// Whose load.
    pub shape: LoadShape,
    /// Rate as a multiple of what the targets can do.
    pub factor: f64,
    /// Length of the load.
    pub duration: Duration,
    /// What goes wrong.
    pub fault: ShapeFault,
    /// Keys of each service, where not as many as the shape says.
    pub keys: Option<u32>,
    /// Fields put into each router's settings.
    pub settings: Value,
}

/// What a service showed under a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShapeRow {
    /// Name of the shape.
    pub shape: String,
    /// Name of the service.
    pub service: String,
    /// Rate as a multiple of what the targets can do.
    pub factor: f64,
    /// Requests a second that were to be sent.
    pub offered: f64,
    /// Answers a second while requests were sent.
    pub goodput: f64,
    /// Greatest number of runs of a target over the mean.
    pub imbalance_max: f64,
    /// The number of runs that 99 in 100 targets keep, over the mean.
    pub imbalance_p99: f64,
    /// Median over the keys of the longest time without an answer, in milliseconds.
    pub gap_median_ms: f64,
    /// The longest time that any key was without an answer, in milliseconds.
    pub gap_max_ms: f64,
    /// Verdicts, latencies and goodput.
    pub report: LoadReport,
}

/// Starts a deployment, makes the load, and judges it service by service.
///
/// # Errors
///
/// Where a process cannot be started, or a target does not tell its runs.
pub fn run_shape(plan: &ShapePlan) -> eyre::Result<Vec<ShapeRow>> {
    let mut deployment = Deployment::with_plan(deployment_plan(plan))?;
    deployment.await_ready()?;
    let capacity = f64::from(plan.shape.slots) * TARGETS as f64 / SERVICE_TIME.as_secs_f64();
    let offered = capacity * plan.factor;
    let mut loads = plan
        .shape
        .loads(&deployment.callers, offered, plan.duration);
    for load in &mut loads {
        load.keys = plan.keys.unwrap_or(load.keys);
    }
    let histories: Vec<LoadHistory> = thread::scope(|scope| {
        let loads = loads.iter().map(|load| scope.spawn(|| run_load(load)));
        let running: Vec<_> = loads.collect();
        if plan.fault == ShapeFault::RouterLost {
            thread::sleep(plan.duration.mul_f64(LOSS_AT));
            let coordinator = deployment.coordinator(1).map(|index| index == 0);
            log::info!("killing router-1; it coordinates its cell: {coordinator:?}");
            deployment.routers[0].kill();
        }
        let ended = running.into_iter();
        ended.map(|load| load.join().unwrap_or_default()).collect()
    });
    let services = plan.shape.services.iter().zip(&histories).enumerate();
    let rows = services.map(|(index, (service, history))| {
        let targets = &deployment.target_addresses[index * TARGETS..][..TARGETS];
        let runs = fetch_runs(targets)?;
        let counts: Vec<u64> = runs.iter().map(|runs| runs.len() as u64).collect();
        let spread = RunSpread::new(&counts);
        let gaps = gaps_ms(history);
        let report = judge(history, &runs);
        Ok(ShapeRow {
            goodput: report.ran as f64 / plan.duration.as_secs_f64(),
            shape: plan.shape.name.to_owned(),
            service: service.service.to_owned(),
            factor: plan.factor,
            offered,
            imbalance_max: spread.max_over_mean,
            imbalance_p99: spread.p99_over_mean,
            gap_max_ms: gaps.iter().copied().fold(0.0, f64::max),
            gap_median_ms: median(gaps),
            report,
        })
    });
    rows.collect()
}

fn gaps_ms(history: &LoadHistory) -> Vec<f64> {
    let gaps = longest_gaps(history).into_values();
    gaps.map(|gap| gap.as_secs_f64() * 1e3).collect()
}

fn deployment_plan(wanted: &ShapePlan) -> DeploymentPlan {
    let shape = &wanted.shape;
    let names = shape.services.map(|service| service.service);
    let mut plan = DeploymentPlan::new(names[0], names.len() * TARGETS);
    plan.services = names
        .iter()
        .flat_map(|name| vec![(*name).to_owned(); TARGETS])
        .collect();
    plan.settings = wanted.settings.clone();
    plan.slots = shape.slots;
    plan.service_time = SERVICE_TIME;
    let rules = json!({
        "divided_by_key": true,
        "shards": SHARDS,
        "slots": shape.slots,
        "connections": 110,
        "checks_fence": true,
    });
    let services: Map<String, Value> = names
        .iter()
        .map(|name| ((*name).to_owned(), rules.clone()))
        .collect();
    plan.config["services"] = services.into();
    plan
}
