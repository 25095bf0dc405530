//! What targets are told of their grants and releases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use anvilrack_harness::Deployment;
use eyre::bail;
use serde_json::Value;

/// Longest time until a target was told.
const TOLD_LIMIT: Duration = Duration::from_secs(20);

/// Shards of the service.
const SHARDS: usize = 48;

macro_rules! notice_cases {
    ($($name:ident: $change:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut deployment = Deployment::new("bookings", 3).unwrap();
                deployment.await_ready().unwrap();
                await_told(&deployment, &[0, 1, 2]).unwrap();
                let change: fn(&mut Deployment) -> Vec<usize> = $change;
                let owners = change(&mut deployment);
                await_told(&deployment, &owners).unwrap();
            }
        )*
    };
}

notice_cases! {
    targets_are_told_of_their_first_grants: |_| vec![0, 1, 2];
    targets_are_told_of_a_planned_move: |deployment| {
        let owner = deployment.plain_owner().unwrap_or(2);
        deployment.drain(owner).unwrap();
        (0..3).filter(|index| *index != owner).collect()
    };
    targets_are_told_after_a_loss: |deployment| {
        let coordinator = deployment.coordinator(0).unwrap();
        deployment.routers[coordinator].kill();
        (0..3).filter(|index| *index != coordinator).collect()
    };
}

/// Waits until those targets together were told of every shard, each shard at one target.
fn await_told(deployment: &Deployment, owners: &[usize]) -> eyre::Result<()> {
    let until = Instant::now() + TOLD_LIMIT;
    loop {
        let mut told = Vec::new();
        for owner in owners {
            told.extend(held_by(deployment, *owner)?.into_keys());
        }
        told.sort_unstable();
        if told.iter().copied().eq(0..SHARDS as u64) {
            return Ok(());
        }
        if Instant::now() >= until {
            bail!("told of {told:?}");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The shards that a target may serve by all it was told, with their tokens.
fn held_by(deployment: &Deployment, index: usize) -> eyre::Result<BTreeMap<u64, u64>> {
    let address = deployment.target_addresses[index];
    let url = format!("http://{address}/_control/grants");
    let mut held = BTreeMap::new();
    for line in attohttpc::get(url).send()?.text()?.lines() {
        let notice: Value = serde_json::from_str(line)?;
        for entry in entries(&notice["released"]) {
            held.remove(&entry.0);
        }
        held.extend(entries(&notice["granted"]));
    }
    Ok(held)
}

fn entries(list: &Value) -> Vec<(u64, u64)> {
    let entries = list.as_array().into_iter().flatten();
    entries
        .filter_map(|entry| Some((entry["shard"].as_u64()?, entry["token"].as_u64()?)))
        .collect()
}
