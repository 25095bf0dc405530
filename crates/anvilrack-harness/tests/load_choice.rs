//! A service that is not divided by key, in real processes: sick targets get little work.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_fakes::TargetFaults;
use anvilrack_harness::{Deployment, DeploymentPlan};
use anvilrack_load::{LoadOptions, LoadReport, fetch_runs, run_load};
use serde_json::json;

const ROUTERS: usize = 6;

/// Time after which a flapping target changes its state.
const FLAP_EVERY: Duration = Duration::from_millis(700);

fn start() -> Deployment {
    let mut plan = DeploymentPlan::new("documents", ROUTERS);
    plan.service_time = Duration::from_millis(5);
    plan.config["services"]["documents"]["divided_by_key"] = json!(false);
    let mut deployment = Deployment::with_plan(plan).unwrap();
    deployment.await_ready().unwrap();
    deployment
}

/// Runs a load and counts the runs at each target.
fn run(deployment: &Deployment, claim_share: f64) -> (LoadReport, Vec<usize>) {
    let options = LoadOptions {
        claim_share,
        duration: Duration::from_secs(4),
        ..deployment.load()
    };
    let report = deployment.judge(&run_load(&options)).unwrap();
    let runs = fetch_runs(&deployment.target_addresses).unwrap();
    (report, runs.iter().map(Vec::len).collect())
}

fn assert_sound(report: &LoadReport) {
    // Two targets may serve one key here, so `two_owners` is not looked at.
    let faults = [
        report.run_twice,
        report.wrong_answer,
        report.not_run_but_ran,
    ];
    assert_eq!(faults, [0, 0, 0], "{report}");
}

macro_rules! sick_target_cases {
    ($($name:ident: $faults:expr => less than one in $part:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let deployment = start();
                deployment.set_target_faults(0, &$faults).unwrap();
                let (report, runs) = run(&deployment, 0.0);
                assert_sound(&report);
                let all: usize = runs.iter().sum();
                assert!(runs[0] * $part < all, "{runs:?} {report}");
                assert!(report.ran * 10 > report.sent * 9, "{report}");
            }
        )*
    };
}

sick_target_cases! {
    slow_target_gets_little: TargetFaults { slow_ms: 200, ..TargetFaults::default() }
        => less than one in 12;
    frozen_target_is_avoided: TargetFaults { frozen: true, ..TargetFaults::default() }
        => less than one in 12;
    lying_target_is_avoided: TargetFaults {
        slow_ms: 200, lie_about_health: true, lie_about_load: true, ..TargetFaults::default()
    } => less than one in 12;
}

#[test]
fn non_idempotent_requests_go_to_the_owner_and_run_once() {
    let deployment = start();
    let (report, runs) = run(&deployment, 0.5);
    assert_sound(&report);
    assert!(report.ran > 0, "{report}");
    assert!(runs.iter().all(|count| *count > 0), "{runs:?}");
}

#[test]
fn flapping_target_gets_little() {
    let deployment = start();
    let ended = AtomicBool::new(false);
    let (report, runs) = thread::scope(|scope| {
        scope.spawn(|| {
            let mut frozen = false;
            while !ended.load(Ordering::Relaxed) {
                frozen = !frozen;
                let faults = TargetFaults {
                    frozen,
                    ..TargetFaults::default()
                };
                deployment.set_target_faults(0, &faults).unwrap();
                thread::sleep(FLAP_EVERY);
            }
        });
        let outcome = run(&deployment, 0.0);
        ended.store(true, Ordering::Relaxed);
        outcome
    });
    assert_sound(&report);
    let all: usize = runs.iter().sum();
    assert!(runs[0] * 8 < all, "{runs:?} {report}");
    assert!(report.ran * 10 > report.sent * 9, "{report}");
}
