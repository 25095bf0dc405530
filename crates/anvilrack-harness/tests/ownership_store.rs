//! The platform's store down, slow, frozen, forgetful or put back to an older copy.

use std::thread;
use std::time::Duration;

use anvilrack_fakes::StoreFaults;
use anvilrack_harness::{Deployment, FailureTrial};

/// Longer than authority, lease and promise together.
const OUTAGE: Duration = Duration::from_secs(5);

/// Routers in each case.
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
    store_is_down: |deployment| outage(deployment, down());
    store_is_slow: |deployment| outage(deployment, slow(600));
    store_is_slower_than_any_call_waits: |deployment| outage(deployment, slow(2_000));
    store_process_freezes: |deployment| {
        deployment.store.freeze();
        thread::sleep(OUTAGE);
        deployment.store.resume();
        Ok(())
    };
    replies_are_lost_while_an_owner_is_lost: |deployment| {
        deployment.set_store_faults(lost_replies(3))?;
        let owner = deployment.plain_owner()?;
        deployment.routers[owner].kill();
        Ok(())
    };
    replies_are_lost_during_a_takeover: |deployment| {
        deployment.set_store_faults(lost_replies(2))?;
        let coordinator = deployment.coordinator(0)?;
        deployment.routers[coordinator].kill();
        Ok(())
    };
    store_is_put_back_to_an_older_copy: |deployment| {
        put_back_after_a_loss(deployment)
    };
    store_is_put_back_and_the_coordinator_is_lost: |deployment| {
        put_back_after_a_loss(deployment)?;
        let coordinator = deployment.coordinator(0)?;
        deployment.routers[coordinator].kill();
        Ok(())
    };
    owner_is_lost_during_an_outage: |deployment| {
        deployment.set_store_faults(down())?;
        let owner = deployment.plain_owner()?;
        deployment.routers[owner].kill();
        thread::sleep(OUTAGE);
        deployment.set_store_faults(StoreFaults::default())
    };
    coordinator_is_lost_during_an_outage: |deployment| {
        deployment.set_store_faults(down())?;
        let coordinator = deployment.coordinator(0)?;
        thread::sleep(Duration::from_secs(2));
        deployment.routers[coordinator].kill();
        thread::sleep(OUTAGE);
        deployment.set_store_faults(StoreFaults::default())
    };
}

/// What is owned stays owned and served while the store is away.
///
/// A shard whose next owner is being written when the store goes away has none until it is back:
/// nobody can tell whether the write took effect. So the outage begins when nothing moves.
#[test]
fn owned_keys_stay_served_while_the_store_is_down() {
    let mut trial = FailureTrial::new(ROUTERS)
        .unwrap()
        .with_load(Duration::from_secs(8));
    let deployment = &mut trial.deployment;
    deployment.await_still().unwrap();
    deployment.set_store_faults(down()).unwrap();
    thread::sleep(Duration::from_secs(3));
    let report = trial.run(|_| Ok(())).unwrap();
    println!("{report}");
    assert!(
        report.ran * 100 >= report.sent * 95,
        "keys were lost in an outage:\n{report}"
    );
}

/// A drain that begins in an outage waits for its end: nobody else could be given the shards.
#[test]
fn drain_waits_while_the_store_is_down() {
    let mut trial = FailureTrial::new(ROUTERS).unwrap();
    let deployment = &mut trial.deployment;
    deployment.await_still().unwrap();
    deployment.set_store_faults(down()).unwrap();
    thread::sleep(Duration::from_secs(2));
    let owner = deployment.plain_owner().unwrap();
    deployment.drain(owner).unwrap();
    let report = trial.run(|_| Ok(())).unwrap();
    assert!(report.ran * 100 >= report.sent * 95, "{report}");
    let status = trial.deployment.status(owner).unwrap();
    assert!(status["held_shards"].as_u64() > Some(0), "{status}");
}

fn outage(deployment: &mut Deployment, faults: StoreFaults) -> eyre::Result<()> {
    deployment.set_store_faults(faults)?;
    thread::sleep(OUTAGE);
    deployment.set_store_faults(StoreFaults::default())
}

fn put_back_after_a_loss(deployment: &mut Deployment) -> eyre::Result<()> {
    deployment.save_store()?;
    let owner = deployment.plain_owner()?;
    deployment.routers[owner].kill();
    thread::sleep(Duration::from_secs(3));
    deployment.restore_store()
}

fn down() -> StoreFaults {
    StoreFaults {
        down: true,
        ..StoreFaults::default()
    }
}

fn slow(slow_ms: u64) -> StoreFaults {
    StoreFaults {
        slow_ms,
        ..StoreFaults::default()
    }
}

fn lost_replies(lose_replies: u32) -> StoreFaults {
    StoreFaults {
        lose_replies,
        ..StoreFaults::default()
    }
}
