//! Notifications to targets about their granted and released shards.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anvilrack_harness::Deployment;
use eyre::bail;
use serde_json::Value;

/// Maximum time until targets have received all notifications.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of shards of the service.
const SHARD_COUNT: usize = 48;

macro_rules! notification_cases {
    ($($name:ident: $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut deployment = Deployment::new("bookings", 3).unwrap();
                deployment.await_ready().unwrap();
                await_notified(&deployment, &[0, 1, 2]).unwrap();
                let change: fn(&mut Deployment) -> Vec<usize> = $change;
                let owners = change(&mut deployment);
                await_notified(&deployment, &owners).unwrap();
            }
        )*
    };
}

notification_cases! {
    targets_are_notified_of_first_grants: |_| vec![0, 1, 2];
    targets_are_notified_of_a_planned_move: |deployment| {
        let owner = deployment.owner_without_role().unwrap_or(2);
        deployment.drain(owner).unwrap();
        (0..3).filter(|index| *index != owner).collect()
    };
    targets_are_notified_after_a_loss: |deployment| {
        let coordinator = deployment.coordinator(0).unwrap();
        deployment.routers[coordinator].kill();
        (0..3).filter(|index| *index != coordinator).collect()
    };
}

/// Waits until each shard is granted to exactly one of the targets `owners`, according to their
/// notifications.
fn await_notified(deployment: &Deployment, owners: &[usize]) -> eyre::Result<()> {
    let until = Instant::now() + NOTIFICATION_TIMEOUT;
    loop {
        let mut granted = Vec::new();
        for owner in owners {
            granted.extend(granted_shards(deployment, *owner)?.into_keys());
        }
        granted.sort_unstable();
        if granted.iter().copied().eq(0..SHARD_COUNT as u64) {
            return Ok(());
        }
        if Instant::now() >= until {
            bail!("targets were notified of shards {granted:?} after {NOTIFICATION_TIMEOUT:?}");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the shards that a target may serve according to its notifications, with their fencing
/// tokens.
fn granted_shards(deployment: &Deployment, index: usize) -> eyre::Result<BTreeMap<u64, u64>> {
    let address = deployment.target_addresses[index];
    let url = format!("http://{address}/_control/grants");
    let mut held = BTreeMap::new();
    for line in attohttpc::get(url).send()?.text()?.lines() {
        let notification: Value = serde_json::from_str(line)?;
        for entry in shard_tokens(&notification["released"]) {
            held.remove(&entry.0);
        }
        held.extend(shard_tokens(&notification["granted"]));
    }
    Ok(held)
}

fn shard_tokens(list: &Value) -> Vec<(u64, u64)> {
    let entries = list.as_array().into_iter().flatten();
    entries
        .filter_map(|entry| Some((entry["shard"].as_u64()?, entry["token"].as_u64()?)))
        .collect()
}
