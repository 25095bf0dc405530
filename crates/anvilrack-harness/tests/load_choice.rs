//! Target selection for a service that is not divided by key, in real processes: unhealthy targets
//! get few requests.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use anvilrack_fakes::TargetFaults;
use anvilrack_harness::{Deployment, DeploymentPlan};
use anvilrack_load::{LoadOptions, LoadReport, fetch_runs, run_load};
use serde_json::json;

/// Number of routers and targets.
const ROUTERS: usize = 6;

/// Time after which a flapping target freezes or resumes.
const FLAP_INTERVAL: Duration = Duration::from_millis(700);

fn start_deployment() -> Deployment {
    let mut plan = DeploymentPlan::new("documents", ROUTERS);
    plan.service_time = Duration::from_millis(5);
    plan.config["services"]["documents"]["divided_by_key"] = json!(false);
    let mut deployment = Deployment::with_plan(plan).unwrap();
    deployment.await_ready().unwrap();
    deployment
}

/// Runs a load and returns its report and the number of runs at each target.
fn run_load_and_count(deployment: &Deployment, claim_share: f64) -> (LoadReport, Vec<usize>) {
    let options = LoadOptions {
        claim_share,
        duration: Duration::from_secs(4),
        ..deployment.load()
    };
    let report = deployment.check_history(&run_load(&options)).unwrap();
    let runs = fetch_runs(&deployment.target_addresses).unwrap();
    (report, runs.iter().map(Vec::len).collect())
}

fn assert_no_violations(report: &LoadReport) {
    // Any target may serve any key here, so `two_owners` is not checked.
    let violations = [
        report.run_twice,
        report.wrong_answer,
        report.not_run_but_ran,
    ];
    assert_eq!(violations, [0, 0, 0], "{report}");
}

macro_rules! unhealthy_target_cases {
    ($($name:ident: $faults:expr => less than one in $part:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let deployment = start_deployment();
                deployment.set_target_faults(0, &$faults).unwrap();
                let (report, runs) = run_load_and_count(&deployment, 0.0);
                assert_no_violations(&report);
                let total: usize = runs.iter().sum();
                assert!(runs[0] * $part < total, "{runs:?} {report}");
                assert!(report.ran * 10 > report.sent * 9, "{report}");
            }
        )*
    };
}

unhealthy_target_cases! {
    slow_target_gets_few_requests: TargetFaults { slow_ms: 200, ..TargetFaults::default() }
        => less than one in 12;
    frozen_target_is_avoided: TargetFaults { frozen: true, ..TargetFaults::default() }
        => less than one in 12;
    slow_target_with_false_reports_is_avoided: TargetFaults {
        slow_ms: 200, lie_about_health: true, lie_about_load: true, ..TargetFaults::default()
    } => less than one in 12;
}

#[test]
fn non_idempotent_requests_go_to_the_owner_and_run_once() {
    let deployment = start_deployment();
    let (report, runs) = run_load_and_count(&deployment, 0.5);
    assert_no_violations(&report);
    assert!(report.ran > 0, "{report}");
    assert!(runs.iter().all(|count| *count > 0), "{runs:?}");
}

#[test]
fn flapping_target_gets_few_requests() {
    let deployment = start_deployment();
    let load_ended = AtomicBool::new(false);
    let (report, runs) = thread::scope(|scope| {
        scope.spawn(|| {
            let mut frozen = false;
            while !load_ended.load(Ordering::Relaxed) {
                frozen = !frozen;
                let faults = TargetFaults {
                    frozen,
                    ..TargetFaults::default()
                };
                deployment.set_target_faults(0, &faults).unwrap();
                thread::sleep(FLAP_INTERVAL);
            }
        });
        let outcome = run_load_and_count(&deployment, 0.0);
        load_ended.store(true, Ordering::Relaxed);
        outcome
    });
    assert_no_violations(&report);
    let total: usize = runs.iter().sum();
    assert!(runs[0] * 8 < total, "{runs:?} {report}");
    assert!(report.ran * 10 > report.sent * 9, "{report}");
}
