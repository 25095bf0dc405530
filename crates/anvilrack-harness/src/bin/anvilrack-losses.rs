//! `anvilrack-losses` measures how long keys are unavailable after a loss, or how often routers
//! call the store.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan, LossKind, LossOutcome, run_loss_trial};
use anvilrack_load::run_load;
use eyre::{bail, eyre};
use serde::Serialize;
use serde_json::json;

/// The service that each deployment runs.
const SERVICE: &str = "bookings";

/// Time over which calls to the store are counted, with a load of reads.
const COUNT_TIME: Duration = Duration::from_secs(10);

mod flags {
    xflags::xflags! {
        /// Measures losses in a small deployment of real processes on loopback.
        cmd anvilrack-losses {
            /// Kinds of losses to measure, separated by commas; all kinds by default.
            optional --losses losses: String
            /// Number of measurements of each kind; 20 by default.
            optional --times times: usize
            /// Number of routers; 6 by default.
            optional --routers routers: usize
            /// Instead, count calls to the store with each of these numbers of routers (a,b,c).
            optional --store-rates routers: String
            /// Print the figures as JSON.
            optional --json
        }
    }
}

/// The measured figures of one kind of loss.
#[derive(Debug, Serialize)]
struct LossFigures {
    loss: LossKind,
    times: usize,
    unavailable_p50_ms: u128,
    unavailable_max_ms: u128,
    churn_p50: usize,
    churn_max: usize,
}

/// The rate of calls to the store in one deployment.
#[derive(Debug, Serialize)]
struct StoreFigures {
    routers: usize,
    reads_per_second: f64,
    writes_per_second: f64,
    watches_per_second: f64,
}

fn main() -> eyre::Result<()> {
    let flags = flags::AnvilrackLosses::from_env_or_exit();
    if let Some(sizes) = &flags.store_rates {
        return print_store_rates(sizes, flags.json);
    }
    let kinds = parse_kinds(flags.losses.as_deref())?;
    let routers = flags.routers.unwrap_or(6);
    let mut deployment = Deployment::with_plan(reduced_plan(routers))?;
    deployment.await_ready()?;
    let mut figures = Vec::new();
    for kind in kinds {
        figures.push(measure(&mut deployment, kind, flags.times.unwrap_or(20))?);
    }
    if flags.json {
        println!("{}", json!(figures));
    } else {
        print_losses(&figures);
    }
    Ok(())
}

fn parse_kinds(names: Option<&str>) -> eyre::Result<Vec<LossKind>> {
    let Some(names) = names else {
        return Ok(LossKind::ALL.iter().map(|(_, kind)| *kind).collect());
    };
    let parse_kind = |name: &str| {
        let found = LossKind::ALL.iter().find(|(known, _)| *known == name);
        found
            .map(|(_, kind)| *kind)
            .ok_or_else(|| eyre!("unknown loss {name}: use {:?}", LossKind::ALL.map(|l| l.0)))
    };
    names.split(',').map(parse_kind).collect()
}

/// Returns a plan with few threads in each process, so that many routers fit on one machine.
fn reduced_plan(routers: usize) -> DeploymentPlan {
    let mut plan = DeploymentPlan::new(SERVICE, routers);
    plan.settings = json!({ "limits": { "caller_workers": 16, "guard_workers": 8 } });
    plan.slots = 4;
    if let Some(shards) = plan.config.pointer_mut("/services/bookings/shards") {
        *shards = json!((routers * 8).max(48));
    }
    plan
}

// --- losses -------------------------------------------------------------------------------------

fn measure(deployment: &mut Deployment, loss: LossKind, times: usize) -> eyre::Result<LossFigures> {
    let mut outcomes = Vec::new();
    for round in 1..=times {
        let outcome = run_loss_trial(deployment, loss)?;
        eprintln!("{loss:?} {round}: {outcome:?}");
        outcomes.push(outcome);
    }
    let times_ms = sorted(&outcomes, |outcome| outcome.unavailable.as_millis());
    let churn = sorted(&outcomes, |outcome| outcome.churn);
    let (Some(last_ms), Some(last_churn)) = (times_ms.last(), churn.last()) else {
        bail!("--times must be greater than zero");
    };
    Ok(LossFigures {
        loss,
        times,
        unavailable_p50_ms: times_ms[times / 2],
        unavailable_max_ms: *last_ms,
        churn_p50: churn[times / 2],
        churn_max: *last_churn,
    })
}

fn sorted<T: Ord>(outcomes: &[LossOutcome], value: impl Fn(&LossOutcome) -> T) -> Vec<T> {
    let mut values: Vec<T> = outcomes.iter().map(value).collect();
    values.sort();
    values
}

fn print_losses(figures: &[LossFigures]) {
    println!(
        "{:<24}{:>6}{:>10}{:>10}{:>8}",
        "loss", "times", "p50, ms", "max, ms", "churn"
    );
    for figure in figures {
        println!(
            "{:<24}{:>6}{:>10}{:>10}{:>8}",
            format!("{:?}", figure.loss),
            figure.times,
            figure.unavailable_p50_ms,
            figure.unavailable_max_ms,
            figure.churn_max
        );
    }
}

// --- the store ----------------------------------------------------------------------------------

fn print_store_rates(sizes: &str, as_json: bool) -> eyre::Result<()> {
    let mut figures = Vec::new();
    for size in sizes.split(',') {
        figures.push(count_calls(size.parse()?)?);
    }
    if as_json {
        println!("{}", json!(figures));
        return Ok(());
    }
    println!(
        "{:>8}{:>10}{:>10}{:>10}",
        "routers", "reads/s", "writes/s", "watches/s"
    );
    for figure in &figures {
        println!(
            "{:>8}{:>10.2}{:>10.2}{:>10.2}",
            figure.routers,
            figure.reads_per_second,
            figure.writes_per_second,
            figure.watches_per_second
        );
    }
    Ok(())
}

fn count_calls(routers: usize) -> eyre::Result<StoreFigures> {
    let mut deployment = Deployment::with_plan(reduced_plan(routers))?;
    deployment.await_ready()?;
    let mut options = deployment.load();
    options.claim_share = 0.0;
    options.duration = COUNT_TIME;
    let load = thread::spawn(move || run_load(&options));
    let before = deployment.store_counters()?;
    thread::sleep(COUNT_TIME);
    let after = deployment.store_counters()?;
    let _ = load.join();
    let rate = |before: u64, after: u64| (after - before) as f64 / COUNT_TIME.as_secs_f64();
    Ok(StoreFigures {
        routers,
        reads_per_second: rate(before.reads, after.reads),
        writes_per_second: rate(before.writes, after.writes),
        watches_per_second: rate(before.watches, after.watches),
    })
}
