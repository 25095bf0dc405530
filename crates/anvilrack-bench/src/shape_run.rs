//! Runs one deployment under the load of a load shape.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan};
use anvilrack_load::{
    LoadHistory, LoadReport, LoadShape, RunImbalance, check_history, fetch_runs,
    longest_response_gaps, run_load,
};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use crate::median;

/// Number of targets of each service.
const TARGETS_PER_SERVICE: usize = 2;

/// Time that a target takes for each request; long, so that the targets rather than the machine
/// limit the throughput.
const SERVICE_TIME: Duration = Duration::from_millis(200);

/// Number of shards of each service.
const SHARDS_PER_SERVICE: u32 = 48;

/// When the router is killed, as a fraction of the load's duration.
const ROUTER_LOSS_FRACTION: f64 = 0.3;

/// The fault that is injected during a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShapeFault {
    /// No fault.
    None,
    /// The router next to the first target of the first service is killed.
    RouterLost,
}

/// The parameters of one load run.
#[derive(Clone, Debug)]
pub struct ShapePlan {
    /// The load shape.
    pub shape: LoadShape,
    /// Request rate as a multiple of the targets' capacity.
    pub factor: f64,
    /// Duration of the load.
    pub duration: Duration,
    /// The fault to inject.
    pub fault: ShapeFault,
    /// Number of keys of each service; `None` for the shape's own number.
    pub keys: Option<u32>,
    /// Fields to add to each router's settings.
    pub settings: Value,
}

/// The results of one service under a load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShapeRow {
    /// Name of the load shape.
    pub shape: String,
    /// Name of the service.
    pub service: String,
    /// Request rate as a multiple of the targets' capacity.
    pub factor: f64,
    /// Requests per second that the load was set to send.
    pub offered: f64,
    /// Requests that ran, per second of the load's duration.
    pub goodput: f64,
    /// Largest number of requests executed by one target, divided by the mean of all targets.
    pub imbalance_max: f64,
    /// 99th percentile of the requests executed by each target, divided by the mean of all targets.
    pub imbalance_p99: f64,
    /// Median over the keys of each key's longest time without a response, in milliseconds.
    pub gap_median_ms: f64,
    /// The longest time that any key was without a response, in milliseconds.
    pub gap_max_ms: f64,
    /// Counts of verdicts and violations, and latencies.
    pub report: LoadReport,
}

/// Starts a deployment, runs the load, and returns the results of each service.
///
/// # Errors
///
/// When a process cannot be started, or a target does not report the requests it executed.
pub fn run_shape(plan: &ShapePlan) -> eyre::Result<Vec<ShapeRow>> {
    let mut deployment = Deployment::with_plan(deployment_plan(plan))?;
    deployment.await_ready()?;
    let capacity =
        f64::from(plan.shape.slots) * TARGETS_PER_SERVICE as f64 / SERVICE_TIME.as_secs_f64();
    let offered = capacity * plan.factor;
    let mut loads = plan
        .shape
        .loads(&deployment.caller_addresses, offered, plan.duration);
    for load in &mut loads {
        load.keys = plan.keys.unwrap_or(load.keys);
    }
    let histories: Vec<LoadHistory> = thread::scope(|scope| {
        let loads = loads.iter().map(|load| scope.spawn(|| run_load(load)));
        let load_threads: Vec<_> = loads.collect();
        if plan.fault == ShapeFault::RouterLost {
            thread::sleep(plan.duration.mul_f64(ROUTER_LOSS_FRACTION));
            let coordinator = deployment.coordinator(1).map(|index| index == 0);
            log::info!("killing router-1; it coordinates its cell: {coordinator:?}");
            deployment.routers[0].kill();
        }
        let finished_threads = load_threads.into_iter();
        finished_threads
            .map(|load| load.join().unwrap_or_default())
            .collect()
    });
    let services = plan.shape.services.iter().zip(&histories).enumerate();
    let rows = services.map(|(index, (service, history))| {
        let targets =
            &deployment.target_addresses[index * TARGETS_PER_SERVICE..][..TARGETS_PER_SERVICE];
        let runs = fetch_runs(targets)?;
        let counts: Vec<u64> = runs.iter().map(|runs| runs.len() as u64).collect();
        let imbalance = RunImbalance::new(&counts);
        let gaps = longest_gaps_ms(history);
        let report = check_history(history, &runs);
        Ok(ShapeRow {
            goodput: report.ran as f64 / plan.duration.as_secs_f64(),
            shape: plan.shape.name.to_owned(),
            service: service.service.to_owned(),
            factor: plan.factor,
            offered,
            imbalance_max: imbalance.max_over_mean,
            imbalance_p99: imbalance.p99_over_mean,
            gap_max_ms: gaps.iter().copied().fold(0.0, f64::max),
            gap_median_ms: median(gaps),
            report,
        })
    });
    rows.collect()
}

fn longest_gaps_ms(history: &LoadHistory) -> Vec<f64> {
    let gaps = longest_response_gaps(history).into_values();
    gaps.map(|gap| gap.as_secs_f64() * 1e3).collect()
}

fn deployment_plan(shape_plan: &ShapePlan) -> DeploymentPlan {
    let shape = &shape_plan.shape;
    let names = shape.services.map(|service| service.service);
    let mut plan = DeploymentPlan::new(names[0], names.len() * TARGETS_PER_SERVICE);
    plan.services = names
        .iter()
        .flat_map(|name| vec![(*name).to_owned(); TARGETS_PER_SERVICE])
        .collect();
    plan.settings = shape_plan.settings.clone();
    plan.slots = shape.slots;
    plan.service_time = SERVICE_TIME;
    let rules = json!({
        "divided_by_key": true,
        "shards": SHARDS_PER_SERVICE,
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
