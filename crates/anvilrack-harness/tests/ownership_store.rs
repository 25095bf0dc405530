//! Failures of the platform's store: it is down, slow or frozen, loses responses, or is restored
//! from an older copy.

use std::thread;
use std::time::Duration;

use anvilrack_fakes::StoreFaults;
use anvilrack_harness::{Deployment, FailureTrial};

/// Longer than the coordinator's authority, a lease and a standby's promise together.
const OUTAGE: Duration = Duration::from_secs(5);

/// Number of routers in each test.
const ROUTERS: usize = 6;

macro_rules! store_cases {
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

store_cases! {
    store_is_down: |deployment| run_store_outage(deployment, store_down());
    store_is_slow: |deployment| run_store_outage(deployment, slow_store(600));
    store_is_slower_than_the_call_timeout: |deployment| run_store_outage(deployment, slow_store(2_000));
    store_process_freezes: |deployment| {
        deployment.store.freeze();
        thread::sleep(OUTAGE);
        deployment.store.resume();
        Ok(())
    };
    replies_are_lost_while_an_owner_is_lost: |deployment| {
        deployment.set_store_faults(loses_responses(3))?;
        let owner = deployment.owner_without_role()?;
        deployment.routers[owner].kill();
        Ok(())
    };
    replies_are_lost_during_a_takeover: |deployment| {
        deployment.set_store_faults(loses_responses(2))?;
        let coordinator = deployment.coordinator(0)?;
        deployment.routers[coordinator].kill();
        Ok(())
    };
    store_is_restored_from_an_older_copy: |deployment| {
        restore_store_after_owner_loss(deployment)
    };
    store_is_restored_and_the_coordinator_is_lost: |deployment| {
        restore_store_after_owner_loss(deployment)?;
        let coordinator = deployment.coordinator(0)?;
        deployment.routers[coordinator].kill();
        Ok(())
    };
    owner_is_lost_during_an_outage: |deployment| {
        deployment.set_store_faults(store_down())?;
        let owner = deployment.owner_without_role()?;
        deployment.routers[owner].kill();
        thread::sleep(OUTAGE);
        deployment.set_store_faults(StoreFaults::default())
    };
    coordinator_is_lost_during_an_outage: |deployment| {
        deployment.set_store_faults(store_down())?;
        let coordinator = deployment.coordinator(0)?;
        thread::sleep(Duration::from_secs(2));
        deployment.routers[coordinator].kill();
        thread::sleep(OUTAGE);
        deployment.set_store_faults(StoreFaults::default())
    };
}

/// Keys stay owned and served while the store is down.
///
/// If the store fails while a shard's next owner is being written, it is unknown whether the write
/// took effect, and the shard has no owner until the store is back. The outage therefore begins
/// while no shard is moving.
#[test]
fn owned_keys_stay_served_while_the_store_is_down() {
    let mut trial = FailureTrial::new(ROUTERS)
        .unwrap()
        .with_load(Duration::from_secs(8));
    let deployment = &mut trial.deployment;
    deployment.await_no_moving_shards().unwrap();
    deployment.set_store_faults(store_down()).unwrap();
    thread::sleep(Duration::from_secs(3));
    let report = trial.run(|_| Ok(())).unwrap();
    println!("{report}");
    assert!(
        report.ran * 100 >= report.sent * 95,
        "keys were not served during the outage:\n{report}"
    );
}

/// A drain that begins during an outage waits until the store is back, because the new owners cannot
/// be recorded before.
#[test]
fn drain_waits_while_the_store_is_down() {
    let mut trial = FailureTrial::new(ROUTERS).unwrap();
    let deployment = &mut trial.deployment;
    deployment.await_no_moving_shards().unwrap();
    deployment.set_store_faults(store_down()).unwrap();
    thread::sleep(Duration::from_secs(2));
    let owner = deployment.owner_without_role().unwrap();
    deployment.drain(owner).unwrap();
    let report = trial.run(|_| Ok(())).unwrap();
    assert!(report.ran * 100 >= report.sent * 95, "{report}");
    let status = trial.deployment.status(owner).unwrap();
    assert!(status["held_shards"].as_u64() > Some(0), "{status}");
}

fn run_store_outage(deployment: &mut Deployment, faults: StoreFaults) -> eyre::Result<()> {
    deployment.set_store_faults(faults)?;
    thread::sleep(OUTAGE);
    deployment.set_store_faults(StoreFaults::default())
}

fn restore_store_after_owner_loss(deployment: &mut Deployment) -> eyre::Result<()> {
    deployment.save_store()?;
    let owner = deployment.owner_without_role()?;
    deployment.routers[owner].kill();
    thread::sleep(Duration::from_secs(3));
    deployment.restore_store()
}

fn store_down() -> StoreFaults {
    StoreFaults {
        down: true,
        ..StoreFaults::default()
    }
}

fn slow_store(slow_ms: u64) -> StoreFaults {
    StoreFaults {
        slow_ms,
        ..StoreFaults::default()
    }
}

fn loses_responses(lose_replies: u32) -> StoreFaults {
    StoreFaults {
        lose_replies,
        ..StoreFaults::default()
    }
}
