//! Routers that are killed or suspended, one at a time and several at once.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, FailureTrial};

/// Longer than the coordinator's authority, a lease and a standby's promise together.
const FREEZE_TIME: Duration = Duration::from_secs(5);

/// Number of routers in each test.
const ROUTERS: usize = 6;

macro_rules! loss_cases {
    ($($name:ident: $fault:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut trial = FailureTrial::new(ROUTERS)
                    .unwrap()
                    .with_load(Duration::from_secs(8));
                let report = trial.run($fault).unwrap();
                println!("{report}");
            }
        )*
    };
}

loss_cases! {
    coordinator_is_killed: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        deployment.routers[coordinator].kill();
        Ok(())
    };
    coordinator_is_killed_and_restarted: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        deployment.restart_router(coordinator)
    };
    coordinator_freezes_past_its_authority: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        freeze_and_resume(deployment, &[coordinator]);
        Ok(())
    };
    first_standby_is_killed: |deployment| {
        let standby = deployment.first_standby(0)?;
        deployment.routers[standby].kill();
        Ok(())
    };
    owner_is_killed: |deployment| {
        let owner = deployment.owner_without_role()?;
        deployment.routers[owner].kill();
        Ok(())
    };
    owner_is_killed_and_restarted: |deployment| {
        let owner = deployment.owner_without_role()?;
        deployment.restart_router(owner)
    };
    owner_freezes_past_its_lease: |deployment| {
        let owner = deployment.owner_without_role()?;
        freeze_and_resume(deployment, &[owner]);
        Ok(())
    };
    owner_freezes_repeatedly: |deployment| {
        let owner = deployment.owner_without_role()?;
        for _ in 0..4 {
            deployment.routers[owner].freeze();
            thread::sleep(Duration::from_millis(1_100));
            deployment.routers[owner].resume();
            thread::sleep(Duration::from_millis(300));
        }
        Ok(())
    };
    coordinator_and_owner_are_lost_together: |deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.owner_without_role()?);
        deployment.routers[coordinator].kill();
        deployment.routers[owner].kill();
        Ok(())
    };
    coordinator_and_owner_freeze_together: |deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.owner_without_role()?);
        freeze_and_resume(deployment, &[coordinator, owner]);
        Ok(())
    };
    coordinator_and_first_standby_are_lost_together: |deployment| {
        let (coordinator, standby) = (deployment.coordinator(0)?, deployment.first_standby(0)?);
        deployment.routers[coordinator].kill();
        deployment.routers[standby].kill();
        Ok(())
    };
    every_lease_expires_while_all_routers_are_frozen: |deployment| {
        freeze_and_resume(deployment, &[0, 1, 2, 3, 4, 5]);
        Ok(())
    };
}

fn freeze_and_resume(deployment: &mut Deployment, routers: &[usize]) {
    for index in routers {
        deployment.routers[*index].freeze();
    }
    thread::sleep(FREEZE_TIME);
    for index in routers {
        deployment.routers[*index].resume();
    }
}
