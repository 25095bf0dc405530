//! Routers that other routers cannot reach although callers can.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan, FailureTrial, TcpRelay};

/// Longer than the coordinator's authority, a lease and a standby's promise together.
const LINK_OUTAGE: Duration = Duration::from_secs(5);

/// Number of routers in each test.
const ROUTERS: usize = 6;

macro_rules! link_cases {
    ($($name:ident: $select_router:ident, $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let plan = DeploymentPlan::new("bookings", ROUTERS).with_relays();
                let deployment = Deployment::with_plan(plan).unwrap();
                let mut trial = FailureTrial::with_deployment(deployment)
                    .unwrap()
                    .with_load(Duration::from_secs(8));
                let report = trial.run(|deployment| {
                    let index = $select_router(deployment)?;
                    TcpRelay::$fault(&deployment.peer_relays[index]);
                    thread::sleep(LINK_OUTAGE);
                    deployment.peer_relays[index].resume_forwarding();
                    Ok(())
                });
                println!("{}", report.unwrap());
            }
        )*
    };
}

link_cases! {
    coordinator_is_cut_off: coordinator, cut;
    coordinator_goes_silent: coordinator, stop_forwarding;
    owner_is_cut_off: owner, cut;
    owner_goes_silent: owner, stop_forwarding;
}

/// A new coordinator takes over while the old one is still running but unreachable.
#[test]
fn coordinator_that_stays_cut_off_is_replaced() {
    let plan = DeploymentPlan::new("bookings", ROUTERS).with_relays();
    let deployment = Deployment::with_plan(plan).unwrap();
    let mut trial = FailureTrial::with_deployment(deployment)
        .unwrap()
        .with_load(Duration::from_secs(8));
    let old_coordinator = coordinator(&trial.deployment).unwrap();
    let report = trial.run(|deployment| {
        deployment.peer_relays[old_coordinator].cut();
        Ok(())
    });
    println!("{}", report.unwrap());
    let observer = usize::from(old_coordinator == 0);
    let new_coordinator = trial.deployment.coordinator(observer).unwrap();
    assert_ne!(new_coordinator, old_coordinator);
}

fn coordinator(deployment: &Deployment) -> eyre::Result<usize> {
    deployment.coordinator(0)
}

fn owner(deployment: &Deployment) -> eyre::Result<usize> {
    deployment.owner_without_role()
}
