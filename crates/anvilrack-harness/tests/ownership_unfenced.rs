//! Losses when targets do not check fencing tokens, so that leases alone prevent two owners from
//! using the same key.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan, FailureTrial};
use serde_json::json;

/// Longer than the coordinator's authority, a lease and the longest request together.
const OUTAGE: Duration = Duration::from_secs(6);

/// Maximum timeout of a request, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 1_000;

/// Few enough that each key is requested often.
const KEY_COUNT: u32 = 40;

/// Number of routers in each test.
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
        let owner = deployment.owner_without_role()?;
        freeze_and_resume(deployment, &[owner]);
        Ok(())
    };
    coordinator_freezes_past_its_authority: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        freeze_and_resume(deployment, &[coordinator]);
        Ok(())
    };
    coordinator_is_lost_while_an_owner_is_frozen: |deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.owner_without_role()?);
        deployment.routers[coordinator].kill();
        freeze_and_resume(deployment, &[owner]);
        Ok(())
    };
    coordinator_is_cut_off_while_owners_keep_serving: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        deployment.peer_relays[coordinator].cut();
        thread::sleep(OUTAGE);
        deployment.peer_relays[coordinator].resume_forwarding();
        Ok(())
    };
}

/// The owner keeps serving its own callers under its lease while the new coordinator cannot reach
/// it.
#[test]
fn coordinator_is_lost_while_an_owner_is_unreachable() {
    let deployment = Deployment::with_plan(unfenced_plan()).unwrap();
    let mut trial = FailureTrial::with_deployment(deployment)
        .unwrap()
        .with_load(Duration::from_secs(9))
        .with_keys(KEY_COUNT);
    let report = trial.run(|deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.owner_without_role()?);
        deployment.peer_relays[owner].cut();
        deployment.routers[coordinator].kill();
        thread::sleep(OUTAGE);
        deployment.peer_relays[owner].resume_forwarding();
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

fn freeze_and_resume(deployment: &mut Deployment, routers: &[usize]) {
    for index in routers {
        deployment.routers[*index].freeze();
    }
    thread::sleep(OUTAGE);
    for index in routers {
        deployment.routers[*index].resume();
    }
}
