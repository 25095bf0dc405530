//! One loss, measured again and again.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_core::CellRecord;
use anvilrack_store::{HttpStore, KeyStore, cell_key};
use eyre::{bail, eyre};
use serde::Serialize;

use crate::{Deployment, GapProbe};

/// Keys that are read; nearly every shard has some of them.
const KEYS: usize = 144;

/// Reads before the loss, so that connections are open.
const LEAD_IN: Duration = Duration::from_millis(600);

/// Longest time until every key is served again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// What is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LossKind {
    /// One owner's router is killed.
    Owner,
    /// The coordinator's router, which is an owner too, is killed.
    Coordinator,
    /// The coordinator and one more owner are killed in the same moment.
    CoordinatorAndOwner,
    /// One owner's router freezes.
    FrozenOwner,
    /// One owner drains.
    Drain,
    /// The coordinator's router is stopped gracefully.
    CoordinatorStop,
}

impl LossKind {
    /// All of them, with the names that a command line takes.
    pub const ALL: [(&'static str, Self); 6] = [
        ("owner", Self::Owner),
        ("coordinator", Self::Coordinator),
        ("coordinator-and-owner", Self::CoordinatorAndOwner),
        ("frozen-owner", Self::FrozenOwner),
        ("drain", Self::Drain),
        ("coordinator-stop", Self::CoordinatorStop),
    ];
}

/// What one loss did.
#[derive(Clone, Debug, Serialize)]
pub struct LossOutcome {
    /// The longest time that any key was not served.
    pub unavailable: Duration,
    /// Shards that changed their owner.
    pub churn: usize,
}

/// Makes one loss, measures it, and brings back what was lost.
///
/// # Errors
///
/// Where keys stay unserved or the deployment does not become ready again.
pub fn lose(deployment: &mut Deployment, kind: LossKind) -> eyre::Result<LossOutcome> {
    let lost = victims(deployment, kind)?;
    let callers = (0..deployment.callers.len())
        .filter(|index| !lost.contains(index))
        .map(|index| deployment.callers[index])
        .collect();
    let before = record(deployment)?;
    let probe = GapProbe::start(deployment.service(), KEYS, callers);
    thread::sleep(LEAD_IN);
    probe.reset();
    make(deployment, kind, &lost)?;
    await_served(&probe)?;
    let gaps = probe.close();
    let after = record(deployment)?;
    for index in lost {
        deployment.routers[index].resume();
        deployment.restart_router(index)?;
    }
    deployment.await_ready()?;
    Ok(LossOutcome {
        unavailable: gaps.into_iter().max().unwrap_or_default(),
        churn: changed_owners(&before, &after),
    })
}

fn victims(deployment: &Deployment, kind: LossKind) -> eyre::Result<Vec<usize>> {
    Ok(match kind {
        LossKind::Owner | LossKind::FrozenOwner | LossKind::Drain => {
            vec![deployment.plain_owner()?]
        }
        LossKind::Coordinator | LossKind::CoordinatorStop => vec![deployment.coordinator(0)?],
        LossKind::CoordinatorAndOwner => {
            vec![deployment.coordinator(0)?, deployment.plain_owner()?]
        }
    })
}

fn make(deployment: &mut Deployment, kind: LossKind, lost: &[usize]) -> eyre::Result<()> {
    for index in lost {
        match kind {
            LossKind::FrozenOwner => deployment.routers[*index].freeze(),
            LossKind::Drain => deployment.drain(*index)?,
            LossKind::CoordinatorStop => deployment.routers[*index].terminate(),
            _ => deployment.routers[*index].kill(),
        }
    }
    match kind {
        LossKind::Drain => await_true(|| Ok(deployment.status(lost[0])?["held_shards"] == 0)),
        LossKind::CoordinatorStop => await_true(|| Ok(!deployment.routers[lost[0]].is_running())),
        _ => Ok(()),
    }
}

fn await_served(probe: &GapProbe) -> eyre::Result<()> {
    // A key that is not served was last served before this.
    let since = Instant::now() + LOOK_EVERY;
    await_true(|| Ok(probe.all_served_after(since)))
}

fn await_true(mut done: impl FnMut() -> eyre::Result<bool>) -> eyre::Result<()> {
    let until = Instant::now() + RECOVERY_LIMIT;
    while Instant::now() < until {
        if done()? {
            return Ok(());
        }
        thread::sleep(LOOK_EVERY);
    }
    bail!("no recovery in {RECOVERY_LIMIT:?}")
}

fn record(deployment: &Deployment) -> eyre::Result<CellRecord> {
    let store = HttpStore::new(deployment.store_address);
    let key = cell_key(deployment.service());
    let stored = store.read(&key)?;
    let stored = stored.ok_or_else(|| eyre!("the cell is not in the store"))?;
    Ok(serde_json::from_slice(&stored.value)?)
}

fn changed_owners(before: &CellRecord, after: &CellRecord) -> usize {
    let shards = before.shards.iter().zip(&after.shards);
    shards.filter(|(before, after)| before != after).count()
}
