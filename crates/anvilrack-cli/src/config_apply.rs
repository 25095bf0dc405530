//! Applying a configuration as a whole.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{ConfigDocument, ConfigRecord, Revision};
use anvilrack_store::{CONFIG_KEY, KeyStore, StoreIndex, WriteOutcome};
use eyre::{WrapErr, bail, eyre};
use uuid::Uuid;

use crate::config_difference::difference;
use crate::placement_check::check_placement;

/// How often a lost reply is looked into before the command gives up.
const READ_BACK_TRIES: u32 = 20;

/// Time between two looks.
const READ_BACK_EVERY: Duration = Duration::from_millis(250);

/// Applies a document made from revision `from`; returns the new revision.
///
/// # Errors
///
/// A conflict with the difference shown, a change that is not allowed, or a store that does not
/// answer. The message says whether the configuration may be in force.
pub fn apply<S: KeyStore>(
    store: &S,
    document: ConfigDocument,
    from: Option<Revision>,
) -> eyre::Result<Revision> {
    let (current, index) = read_config(store)?;
    check_revision(&current, &document, from)?;
    check_change(&current.document, &document)?;
    check_placement(store, &document)?;
    let next = ConfigRecord {
        revision: current.revision + 1,
        apply_id: Arc::from(Uuid::now_v7().to_string()),
        document,
    };
    let value = serde_json::to_vec(&next)?;
    match store.write(CONFIG_KEY, index, &value) {
        WriteOutcome::Written => Ok(next.revision),
        WriteOutcome::Conflict => Err(conflict(store, &next)),
        WriteOutcome::Unknown => read_back(store, &next, index, &value),
    }
}

/// Reads the configuration in force; revision zero where there is none yet.
///
/// # Errors
///
/// Where the store does not answer.
pub fn read_config<S: KeyStore>(store: &S) -> eyre::Result<(ConfigRecord, StoreIndex)> {
    let stored = store
        .read(CONFIG_KEY)
        .wrap_err("cannot read the configuration in force")?;
    let Some(stored) = stored else {
        return Ok((ConfigRecord::default(), 0));
    };
    let record = serde_json::from_slice(&stored.value)
        .wrap_err("the store holds a configuration that cannot be read")?;
    Ok((record, stored.index))
}

fn check_revision(
    current: &ConfigRecord,
    document: &ConfigDocument,
    from: Option<Revision>,
) -> eyre::Result<()> {
    let in_force = current.revision;
    if from.unwrap_or(0) == in_force {
        return Ok(());
    }
    let made_from = from.map_or("no revision".to_owned(), |from| format!("revision {from}"));
    bail!(
        "not applied: the file was made from {made_from}, but revision {in_force} is in force.\n\
         What your file would change there:\n{}\n\
         Take these into your file, then apply it with `--from {in_force}`.",
        difference(&current.document, document)
    );
}

/// Changes that would leave keys with two owners or none.
fn check_change(current: &ConfigDocument, next: &ConfigDocument) -> eyre::Result<()> {
    for (name, rules) in &next.services {
        let Some(before) = current.services.get(name) else {
            continue;
        };
        if before.shards != rules.shards {
            bail!(
                "not applied: services.{name}.shards is {} and cannot become {}; the number of \
                 shards is fixed for the life of a service",
                before.shards,
                rules.shards
            );
        }
    }
    Ok(())
}

fn conflict<S: KeyStore>(store: &S, next: &ConfigRecord) -> eyre::Report {
    if let Ok((current, _)) = read_config(store) {
        eyre!(
            "not applied: somebody applied revision {} at the same time.\n\
         What your file would change there:\n{}",
            current.revision,
            difference(&current.document, &next.document)
        )
    } else {
        eyre!("not applied: somebody applied another configuration at the same time")
    }
}

/// The reply was lost: find out whether the write took effect.
fn read_back<S: KeyStore>(
    store: &S,
    next: &ConfigRecord,
    index: StoreIndex,
    value: &[u8],
) -> eyre::Result<Revision> {
    for _ in 0..READ_BACK_TRIES {
        thread::sleep(READ_BACK_EVERY);
        let Ok((current, found)) = read_config(store) else {
            continue;
        };
        if current.apply_id == next.apply_id {
            return Ok(next.revision);
        }
        if found != index {
            return Err(conflict(store, next));
        }
        // The write may still be under way, so it is sent again just as it was.
        if store.write(CONFIG_KEY, index, value) == WriteOutcome::Written {
            return Ok(next.revision);
        }
    }
    bail!(
        "the store did not say whether revision {} was applied; look with `anvilrack show` when it \
         answers again (apply id {})",
        next.revision,
        next.apply_id
    )
}
