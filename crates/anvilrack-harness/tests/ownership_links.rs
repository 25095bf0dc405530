//! Routers that others cannot reach, though callers can.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan, FailureTrial, TcpRelay};

/// Longer than authority, lease and promise together.
const LONG_CUT: Duration = Duration::from_secs(5);

/// Routers in each case.
const ROUTERS: usize = 6;

macro_rules! link_cases {
    ($($name:ident: $who:ident, $fault:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let plan = DeploymentPlan::new("bookings", ROUTERS).with_relays();
                let deployment = Deployment::with_plan(plan).unwrap();
                let mut trial = FailureTrial::with_deployment(deployment)
                    .unwrap()
                    .with_load(Duration::from_secs(8));
                let report = trial.run(|deployment| {
                    let index = $who(deployment)?;
                    TcpRelay::$fault(&deployment.relays[index]);
                    thread::sleep(LONG_CUT);
                    deployment.relays[index].mend();
                    Ok(())
                });
                println!("{}", report.unwrap());
            }
        )*
    };
}

link_cases! {
    coordinator_is_cut_off: coordinator, cut;
    coordinator_goes_silent: coordinator, fall_silent;
    owner_is_cut_off: owner, cut;
    owner_goes_silent: owner, fall_silent;
}

/// Members find a new coordinator while the old one is still up and cannot be reached.
#[test]
fn a_coordinator_that_stays_cut_off_is_replaced() {
    let plan = DeploymentPlan::new("bookings", ROUTERS).with_relays();
    let deployment = Deployment::with_plan(plan).unwrap();
    let mut trial = FailureTrial::with_deployment(deployment)
        .unwrap()
        .with_load(Duration::from_secs(8));
    let old = coordinator(&trial.deployment).unwrap();
    let report = trial.run(|deployment| {
        deployment.relays[old].cut();
        Ok(())
    });
    println!("{}", report.unwrap());
    let seen_from = usize::from(old == 0);
    let new = trial.deployment.coordinator(seen_from).unwrap();
    assert_ne!(new, old);
}

fn coordinator(deployment: &Deployment) -> eyre::Result<usize> {
    deployment.coordinator(0)
}

fn owner(deployment: &Deployment) -> eyre::Result<usize> {
    deployment.plain_owner()
}
