//! Compares load policies: runs the same load with each mode in turn, on six routers.
//!
//! Usage: `measure_load admission adaptive,slots,none 2`, `measure_load placement load,count 2` or
//! `measure_load choice two-choices,random,round-robin,owner 2`. The last argument is the number of
//! rounds. Prints one row for each run.

use std::time::Duration;

use anvilrack_fakes::TargetFaults;
use anvilrack_harness::{Deployment, DeploymentPlan};
use anvilrack_load::{LoadOptions, LoadReport, fetch_runs, run_load};
use serde_json::json;

/// Number of routers and targets.
const ROUTERS: usize = 6;
/// Number of requests that a target runs concurrently.
const SLOTS: u32 = 12;
/// Time that a target takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(240);
/// Requests per second that all targets together can run: `ROUTERS * SLOTS / SERVICE_TIME`.
const CAPACITY: f64 = 300.0;
/// Offered loads, as multiples of the capacity.
const LOADS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];
/// Offered loads for `placement`; constant, because placement takes some time to follow the load.
const PLACEMENT_LOADS: [f64; 8] = [0.5; 8];
/// Share of the load that goes to ten hot keys when placement is compared.
const HOT_SHARE: f64 = 0.5;
/// Additional time that the one slow target takes for a request, in milliseconds.
const SLOW_MS: u64 = 600;

fn main() -> eyre::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [policy, modes, rounds] = arguments.as_slice() else {
        eyre::bail!("usage: measure_load admission|choice|placement MODE,MODE... ROUNDS");
    };
    println!("slow mode round load offered goodput not_run unknown p50_ms p99_ms max/mean placed");
    let with_slow_target = policy != "placement";
    for slow in [false, true]
        .into_iter()
        .filter(|slow| !slow || with_slow_target)
    {
        for round in 1..=rounds.parse()? {
            for mode in modes.split(',') {
                measure(policy, mode, round, slow)?;
            }
        }
    }
    Ok(())
}

/// Runs all loads on one deployment and prints a row for each.
fn measure(policy: &str, mode: &str, round: usize, slow: bool) -> eyre::Result<()> {
    let mut deployment = Deployment::with_plan(plan(policy, mode))?;
    deployment.await_ready()?;
    if slow {
        let faults = TargetFaults {
            slow_ms: SLOW_MS,
            ..TargetFaults::default()
        };
        deployment.set_target_faults(0, &faults)?;
    }
    let is_placement = policy == "placement";
    let loads: &[f64] = if is_placement {
        &PLACEMENT_LOADS
    } else {
        &LOADS
    };
    let placed_before = placements(&deployment);
    for load in loads {
        let before = runs_by_target(&deployment)?;
        let options = LoadOptions {
            rate: Some(CAPACITY * load),
            workers: 96,
            hot_share: if is_placement { HOT_SHARE } else { 0.0 },
            claim_share: 0.1,
            timeout: Duration::from_millis(1_500),
            ..deployment.load()
        };
        let report = deployment.check_history(&run_load(&options))?;
        let after = runs_by_target(&deployment)?;
        let runs: Vec<_> = after
            .iter()
            .zip(&before)
            .map(|(after_count, before_count)| after_count - before_count)
            .collect();
        let max = runs.iter().copied().max().unwrap_or(0) as f64;
        let mean = runs.iter().sum::<usize>() as f64 / runs.len() as f64;
        println!(
            "{slow} {mode} {round} {load} {} {:.0} {} {} {:.1} {:.1} {:.2} {}{}",
            report.sent,
            report.requests_per_second,
            report.not_run,
            report.may_have_run,
            report.p50_us as f64 / 1e3,
            report.p99_us as f64 / 1e3,
            max / mean.max(1.0),
            placements(&deployment) - placed_before,
            if is_clean(&report, policy) {
                ""
            } else {
                " NOT CLEAN"
            }
        );
    }
    Ok(())
}

fn plan(policy: &str, mode: &str) -> DeploymentPlan {
    let mut plan = DeploymentPlan::new("documents", ROUTERS);
    plan.slots = SLOTS;
    plan.service_time = SERVICE_TIME;
    let rules = &mut plan.config["services"]["documents"];
    rules["slots"] = json!(SLOTS);
    rules["divided_by_key"] = json!(policy != "choice");
    plan.settings = json!({ "policies": { policy: mode } });
    plan
}

fn runs_by_target(deployment: &Deployment) -> eyre::Result<Vec<usize>> {
    let runs = fetch_runs(&deployment.target_addresses)?;
    Ok(runs.iter().map(Vec::len).collect())
}

/// Returns whether the report shows no violation. With the `choice` policy any target may serve a
/// key, so two owners of a key are allowed.
fn is_clean(report: &LoadReport, policy: &str) -> bool {
    let mut report = report.clone();
    if policy == "choice" {
        report.two_owners = 0;
    }
    report.is_clean()
}

/// Counts the placements of shards in the routers' logs so far.
fn placements(deployment: &Deployment) -> usize {
    let logs = deployment
        .routers
        .iter()
        .map(anvilrack_harness::ChildProcess::log);
    logs.map(|log| log.matches("E1401 ").count()).sum()
}
