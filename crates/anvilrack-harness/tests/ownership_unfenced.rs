//! Losses where targets do not check who gives them an order, so that leases alone keep two owners
//! apart.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan, FailureTrial};
use serde_json::json;

/// Longer than authority, lease and the longest request together.
const LONG_PAUSE: Duration = Duration::from_secs(6);

/// Longest time that a request may take, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 1_000;

/// So few that each key is asked for often.
const FEW_KEYS: u32 = 40;

/// Routers in each case.
const ROUTERS: usize = 6;

macro_rules! unfenced_cases {
    ($($name:ident: $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let deployment = Deployment::with_plan(unfenced_plan()).unwrap();
                let mut trial = FailureTrial::with_deployment(deployment)
                    .unwrap()
                    .with_load(Duration::from_secs(9));
                let report = trial.run($fault).unwrap();
                println!("{report}");
            }
        )*
    };
}

unfenced_cases! {
    owner_freezes_past_its_lease: |deployment| {
        let owner = deployment.plain_owner()?;
        freeze(deployment, &[owner]);
        Ok(())
    };
    coordinator_freezes_past_its_authority: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        freeze(deployment, &[coordinator]);
        Ok(())
    };
    coordinator_is_lost_while_an_owner_is_frozen: |deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.plain_owner()?);
        deployment.routers[coordinator].kill();
        freeze(deployment, &[owner]);
        Ok(())
    };
    coordinator_is_cut_off_and_its_owners_go_on: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        deployment.relays[coordinator].cut();
        thread::sleep(LONG_PAUSE);
        deployment.relays[coordinator].mend();
        Ok(())
    };
}

/// The owner serves its own callers under its lease while the new coordinator cannot call it.
#[test]
fn coordinator_is_lost_while_an_owner_cannot_be_called() {
    let deployment = Deployment::with_plan(unfenced_plan()).unwrap();
    let mut trial = FailureTrial::with_deployment(deployment)
        .unwrap()
        .with_load(Duration::from_secs(9))
        .with_keys(FEW_KEYS);
    let report = trial.run(|deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.plain_owner()?);
        deployment.relays[owner].cut();
        deployment.routers[coordinator].kill();
        thread::sleep(LONG_PAUSE);
        deployment.relays[owner].mend();
        Ok(())
    });
    println!("{}", report.unwrap());
}

fn unfenced_plan() -> DeploymentPlan {
    let mut plan = DeploymentPlan::new("bookings", ROUTERS).with_relays();
    plan.checks_fence = false;
    plan.service_time = Duration::from_millis(10);
    let rules = &mut plan.config["services"]["bookings"];
    rules["checks_fence"] = json!(false);
    rules["max_timeout_ms"] = json!(MAX_TIMEOUT_MS);
    plan
}

fn freeze(deployment: &mut Deployment, routers: &[usize]) {
    for index in routers {
        deployment.routers[*index].freeze();
    }
    thread::sleep(LONG_PAUSE);
    for index in routers {
        deployment.routers[*index].resume();
    }
}
