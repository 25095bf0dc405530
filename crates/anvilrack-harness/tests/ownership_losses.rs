//! Routers that are lost or frozen, one at a time and together.

use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, FailureTrial};

/// Longer than authority, lease and promise together.
const LONG_PAUSE: Duration = Duration::from_secs(5);

/// Routers in each case.
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
    coordinator_is_killed_and_comes_back: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        deployment.restart_router(coordinator)
    };
    coordinator_freezes_past_its_authority: |deployment| {
        let coordinator = deployment.coordinator(0)?;
        freeze(deployment, &[coordinator]);
        Ok(())
    };
    first_standby_is_killed: |deployment| {
        let standby = deployment.first_standby(0)?;
        deployment.routers[standby].kill();
        Ok(())
    };
    owner_is_killed: |deployment| {
        let owner = deployment.plain_owner()?;
        deployment.routers[owner].kill();
        Ok(())
    };
    owner_is_killed_and_comes_back: |deployment| {
        let owner = deployment.plain_owner()?;
        deployment.restart_router(owner)
    };
    owner_freezes_past_its_lease: |deployment| {
        let owner = deployment.plain_owner()?;
        freeze(deployment, &[owner]);
        Ok(())
    };
    owner_freezes_again_and_again: |deployment| {
        let owner = deployment.plain_owner()?;
        for _ in 0..4 {
            deployment.routers[owner].freeze();
            thread::sleep(Duration::from_millis(1_100));
            deployment.routers[owner].resume();
            thread::sleep(Duration::from_millis(300));
        }
        Ok(())
    };
    coordinator_and_owner_are_lost_together: |deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.plain_owner()?);
        deployment.routers[coordinator].kill();
        deployment.routers[owner].kill();
        Ok(())
    };
    coordinator_and_owner_freeze_together: |deployment| {
        let (coordinator, owner) = (deployment.coordinator(0)?, deployment.plain_owner()?);
        freeze(deployment, &[coordinator, owner]);
        Ok(())
    };
    coordinator_and_first_standby_are_lost_together: |deployment| {
        let (coordinator, standby) = (deployment.coordinator(0)?, deployment.first_standby(0)?);
        deployment.routers[coordinator].kill();
        deployment.routers[standby].kill();
        Ok(())
    };
    every_lease_lapses_while_all_routers_are_paused: |deployment| {
        freeze(deployment, &[0, 1, 2, 3, 4, 5]);
        Ok(())
    };
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
