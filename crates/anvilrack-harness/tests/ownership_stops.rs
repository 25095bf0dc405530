//! Planned stops: a graceful shutdown and a drain, under load.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_harness::{Deployment, DeploymentPlan, FailureTrial};
use eyre::ensure;

/// Longest time that a drain or a stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(30);

/// Routers in each case.
const ROUTERS: usize = 6;

macro_rules! stop_cases {
    ($($name:ident: $service_ms:literal ms, $stop:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mut plan = DeploymentPlan::new("bookings", ROUTERS);
                plan.service_time = Duration::from_millis($service_ms);
                let deployment = Deployment::with_plan(plan).unwrap();
                let mut trial = FailureTrial::with_deployment(deployment)
                    .unwrap()
                    .with_load(Duration::from_secs(6));
                let report = trial.run($stop).unwrap();
                println!("{report}");
                assert_eq!(report.may_have_run, 0, "a request was cut off:\n{report}");
            }
        )*
    };
}

stop_cases! {
    an_owner_stops_gracefully: 1 ms, stop_owner;
    an_owner_with_long_requests_stops_gracefully: 60 ms, stop_owner;
    the_coordinator_stops_gracefully: 1 ms, stop_coordinator;
    an_owner_drains: 1 ms, drain_owner;
    the_coordinator_drains: 1 ms, drain_coordinator;
}

fn stop_owner(deployment: &mut Deployment) -> eyre::Result<()> {
    let owner = deployment.plain_owner()?;
    stop(deployment, owner)
}

fn stop_coordinator(deployment: &mut Deployment) -> eyre::Result<()> {
    let coordinator = deployment.coordinator(0)?;
    stop(deployment, coordinator)
}

fn stop(deployment: &mut Deployment, index: usize) -> eyre::Result<()> {
    deployment.routers[index].terminate();
    let until = Instant::now() + STOP_LIMIT;
    while deployment.routers[index].is_running() {
        ensure!(Instant::now() < until, "the router does not stop");
        thread::sleep(Duration::from_millis(20));
    }
    let log = deployment.routers[index].log();
    ensure!(log.contains("in_flight=0"), "stopped with work in flight");
    Ok(())
}

fn drain_owner(deployment: &mut Deployment) -> eyre::Result<()> {
    let owner = deployment.plain_owner()?;
    drain(deployment, owner)
}

fn drain_coordinator(deployment: &mut Deployment) -> eyre::Result<()> {
    let coordinator = deployment.coordinator(0)?;
    drain(deployment, coordinator)
}

fn drain(deployment: &mut Deployment, index: usize) -> eyre::Result<()> {
    deployment.drain(index)?;
    let until = Instant::now() + STOP_LIMIT;
    while deployment.status(index)?["held_shards"] != 0 {
        ensure!(Instant::now() < until, "shards are still held");
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
