//! Measurement of a single loss: how long keys are unavailable and how many shards move.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_core::CellRecord;
use anvilrack_store::{HttpStore, KeyStore, cell_key};
use eyre::{bail, eyre};
use serde::Serialize;

use crate::{Deployment, UnavailabilityProbe};

/// Number of keys that are read; with 48 shards, nearly every shard contains some of them.
const KEYS: usize = 144;

/// Time for which keys are read before the loss, so that connections are open.
const READ_BEFORE_LOSS: Duration = Duration::from_millis(600);

/// Maximum time until every key is served again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The kind of a loss: which router is lost, stopped or drained, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LossKind {
    /// The router of an owner is killed.
    Owner,
    /// The coordinator's router, which owns shards too, is killed.
    Coordinator,
    /// The coordinator and another owner are killed at the same time.
    CoordinatorAndOwner,
    /// The router of an owner is suspended.
    FrozenOwner,
    /// An owner drains, that is, hands over all its shards.
    Drain,
    /// The coordinator's router is stopped gracefully.
    CoordinatorStop,
}

impl LossKind {
    /// All kinds, with their names on the command line.
    pub const ALL: [(&'static str, Self); 6] = [
        ("owner", Self::Owner),
        ("coordinator", Self::Coordinator),
        ("coordinator-and-owner", Self::CoordinatorAndOwner),
        ("frozen-owner", Self::FrozenOwner),
        ("drain", Self::Drain),
        ("coordinator-stop", Self::CoordinatorStop),
    ];
}

/// The measured effects of one loss.
#[derive(Clone, Debug, Serialize)]
pub struct LossOutcome {
    /// The longest time for which any key was not served.
    pub unavailable: Duration,
    /// Number of shards whose record changed, which means a new owner.
    pub churn: usize,
}

/// Causes a loss, measures its effects, and restarts the lost routers.
///
/// # Errors
///
/// Returns an error if keys stay unserved or the deployment does not become ready again.
pub fn run_loss_trial(deployment: &mut Deployment, kind: LossKind) -> eyre::Result<LossOutcome> {
    let lost = routers_to_lose(deployment, kind)?;
    let callers = (0..deployment.caller_addresses.len())
        .filter(|index| !lost.contains(index))
        .map(|index| deployment.caller_addresses[index])
        .collect();
    let before = read_cell_record(deployment)?;
    let probe = UnavailabilityProbe::start(deployment.service(), KEYS, callers);
    thread::sleep(READ_BEFORE_LOSS);
    probe.reset();
    inject_loss(deployment, kind, &lost)?;
    wait_until_served(&probe)?;
    let gaps = probe.stop();
    let after = read_cell_record(deployment)?;
    for index in lost {
        deployment.routers[index].resume();
        deployment.restart_router(index)?;
    }
    deployment.await_ready()?;
    Ok(LossOutcome {
        unavailable: gaps.into_iter().max().unwrap_or_default(),
        churn: count_changed_shards(&before, &after),
    })
}

fn routers_to_lose(deployment: &Deployment, kind: LossKind) -> eyre::Result<Vec<usize>> {
    Ok(match kind {
        LossKind::Owner | LossKind::FrozenOwner | LossKind::Drain => {
            vec![deployment.owner_without_role()?]
        }
        LossKind::Coordinator | LossKind::CoordinatorStop => vec![deployment.coordinator(0)?],
        LossKind::CoordinatorAndOwner => {
            vec![deployment.coordinator(0)?, deployment.owner_without_role()?]
        }
    })
}

fn inject_loss(deployment: &mut Deployment, kind: LossKind, lost: &[usize]) -> eyre::Result<()> {
    for index in lost {
        match kind {
            LossKind::FrozenOwner => deployment.routers[*index].freeze(),
            LossKind::Drain => deployment.drain(*index)?,
            LossKind::CoordinatorStop => deployment.routers[*index].terminate(),
            _ => deployment.routers[*index].kill(),
        }
    }
    match kind {
        LossKind::Drain => wait_until(|| Ok(deployment.status(lost[0])?["held_shards"] == 0)),
        LossKind::CoordinatorStop => wait_until(|| Ok(!deployment.routers[lost[0]].is_running())),
        _ => Ok(()),
    }
}

fn wait_until_served(probe: &UnavailabilityProbe) -> eyre::Result<()> {
    // A key that is unavailable now was last served before this time.
    let since = Instant::now() + POLL_INTERVAL;
    wait_until(|| Ok(probe.all_served_after(since)))
}

fn wait_until(mut done: impl FnMut() -> eyre::Result<bool>) -> eyre::Result<()> {
    let until = Instant::now() + RECOVERY_TIMEOUT;
    while Instant::now() < until {
        if done()? {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    bail!("no recovery within {RECOVERY_TIMEOUT:?}")
}

fn read_cell_record(deployment: &Deployment) -> eyre::Result<CellRecord> {
    let store = HttpStore::new(deployment.store_address);
    let key = cell_key(deployment.service());
    let stored = store.read(&key)?;
    let stored = stored.ok_or_else(|| eyre!("the store has no record of the cell"))?;
    Ok(serde_json::from_slice(&stored.value)?)
}

fn count_changed_shards(before: &CellRecord, after: &CellRecord) -> usize {
    let shards = before.shards.iter().zip(&after.shards);
    shards.filter(|(before, after)| before != after).count()
}
