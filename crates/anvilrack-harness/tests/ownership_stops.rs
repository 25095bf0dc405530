//! Planned stops under load: graceful shutdown and drain.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_harness::{Deployment, DeploymentPlan, FailureTrial};
use eyre::ensure;

/// Maximum time for a drain or a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of routers in each test.
const ROUTERS: usize = 6;

macro_rules! stop_cases {
    ($($name:ident: $service_ms:literal ms, $stop_router:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut plan = DeploymentPlan::new("bookings", ROUTERS);
                plan.service_time = Duration::from_millis($service_ms);
                let deployment = Deployment::with_plan(plan).unwrap();
                let mut trial = FailureTrial::with_deployment(deployment)
                    .unwrap()
                    .with_load(Duration::from_secs(6));
                let report = trial.run($stop_router).unwrap();
                println!("{report}");
                let uncertain = trial.deployment.logged_lines("verdict=may-have-run");
                assert_eq!(
                    report.may_have_run,
                    0,
                    "a request was cut off:\n{report}\n{}",
                    uncertain.join("\n")
                );
            }
        )*
    };
}

stop_cases! {
    an_owner_stops_gracefully: 1 ms, stop_owner;
    an_owner_with_long_requests_stops_gracefully: 60 ms, stop_owner;
    the_coordinator_stops_gracefully: 1 ms, stop_coordinator;
    an_owner_drains: 1 ms, drain_an_owner;
    the_coordinator_drains: 1 ms, drain_coordinator;
}

fn stop_owner(deployment: &mut Deployment) -> eyre::Result<()> {
    let owner = deployment.owner_without_role()?;
    stop_router(deployment, owner)
}

fn stop_coordinator(deployment: &mut Deployment) -> eyre::Result<()> {
    let coordinator = deployment.coordinator(0)?;
    stop_router(deployment, coordinator)
}

fn stop_router(deployment: &mut Deployment, index: usize) -> eyre::Result<()> {
    deployment.routers[index].terminate();
    let until = Instant::now() + STOP_TIMEOUT;
    while deployment.routers[index].is_running() {
        ensure!(
            Instant::now() < until,
            "the router did not stop within {STOP_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(20));
    }
    let log = deployment.routers[index].log();
    ensure!(
        log.contains("in_flight=0"),
        "the router stopped with requests in flight"
    );
    Ok(())
}

fn drain_an_owner(deployment: &mut Deployment) -> eyre::Result<()> {
    let owner = deployment.owner_without_role()?;
    drain_router(deployment, owner)
}

fn drain_coordinator(deployment: &mut Deployment) -> eyre::Result<()> {
    let coordinator = deployment.coordinator(0)?;
    drain_router(deployment, coordinator)
}

fn drain_router(deployment: &mut Deployment, index: usize) -> eyre::Result<()> {
    deployment.drain(index)?;
    let until = Instant::now() + STOP_TIMEOUT;
    while deployment.status(index)?["held_shards"] != 0 {
        ensure!(
            Instant::now() < until,
            "the router still holds shards after {STOP_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
