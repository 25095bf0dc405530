//! Applies a configuration to the store in one write.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anvilrack_core::{ConfigDocument, ConfigRecord, Revision};
use anvilrack_store::{CONFIG_KEY, KeyStore, StoreIndex, WriteOutcome};
use eyre::{WrapErr, bail, eyre};
use uuid::Uuid;

use crate::config_difference::difference;
use crate::placement_check::check_placement;

/// Maximum number of reads of the store after a lost response before the command gives up.
const READ_BACK_ATTEMPTS: u32 = 20;

/// Time between two reads of the store after a lost response.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);

/// Applies a document that is based on revision `from` and returns the new revision.
///
/// # Errors
///
/// Fails when another revision is in force (the message lists the differences), when a change is
/// not allowed, or when the store is unreachable. The message says whether the configuration may
/// have been applied.
pub fn apply<S: KeyStore>(
    store: &S,
    document: ConfigDocument,
    from: Option<Revision>,
) -> eyre::Result<Revision> {
    let (current, index) = read_config(store)?;
    check_revision(&current, &document, from)?;
    check_shard_counts(&current.document, &document)?;
    check_placement(store, &document)?;
    let next = ConfigRecord {
        revision: current.revision + 1,
        apply_id: Arc::from(Uuid::now_v7().to_string()),
        document,
    };
    let value = serde_json::to_vec(&next)?;
    match store.write(CONFIG_KEY, index, &value) {
        WriteOutcome::Written => Ok(next.revision),
        WriteOutcome::Conflict => Err(conflict_error(store, &next)),
        WriteOutcome::Unknown => read_back(store, &next, index, &value),
    }
}

/// Reads the configuration in force and its index in the store. Without one the revision and the
/// index are zero.
///
/// # Errors
///
/// Fails when the store is unreachable or the stored configuration is malformed.
pub fn read_config<S: KeyStore>(store: &S) -> eyre::Result<(ConfigRecord, StoreIndex)> {
    let stored = store
        .read(CONFIG_KEY)
        .wrap_err("cannot read the configuration in force")?;
    let Some(stored) = stored else {
        return Ok((ConfigRecord::default(), 0));
    };
    let record = serde_json::from_slice(&stored.value)
        .wrap_err("the configuration in the store is malformed")?;
    Ok((record, stored.index))
}

fn check_revision(
    current: &ConfigRecord,
    document: &ConfigDocument,
    from: Option<Revision>,
) -> eyre::Result<()> {
    let current_revision = current.revision;
    if from.unwrap_or(0) == current_revision {
        return Ok(());
    }
    let base = from.map_or("no revision".to_owned(), |from| format!("revision {from}"));
    bail!(
        "not applied: the file is based on {base}, but revision {current_revision} is in force.\n\
         Your file would change it as follows:\n{}\n\
         Merge the current values that must stay into your file, then apply it with \
         `--from {current_revision}`.",
        difference(&current.document, document)
    );
}

/// Refuses a changed number of shards: keys would map to other shards, which would leave keys with
/// two owners or none.
fn check_shard_counts(current: &ConfigDocument, next: &ConfigDocument) -> eyre::Result<()> {
    for (name, rules) in &next.services {
        let Some(before) = current.services.get(name) else {
            continue;
        };
        if before.shards != rules.shards {
            bail!(
                "not applied: services.{name}.shards is {} and cannot become {}; the number of \
                 shards cannot change during the lifetime of a service",
                before.shards,
                rules.shards
            );
        }
    }
    Ok(())
}

fn conflict_error<S: KeyStore>(store: &S, next: &ConfigRecord) -> eyre::Report {
    if let Ok((current, _)) = read_config(store) {
        eyre!(
            "not applied: another operator applied revision {} at the same time.\n\
         Your file would change it as follows:\n{}",
            current.revision,
            difference(&current.document, &next.document)
        )
    } else {
        eyre!("not applied: another operator applied a configuration at the same time")
    }
}

/// Finds out whether a write took effect after its response was lost.
fn read_back<S: KeyStore>(
    store: &S,
    next: &ConfigRecord,
    index: StoreIndex,
    value: &[u8],
) -> eyre::Result<Revision> {
    for _ in 0..READ_BACK_ATTEMPTS {
        thread::sleep(READ_BACK_INTERVAL);
        let Ok((current, current_index)) = read_config(store) else {
            continue;
        };
        if current.apply_id == next.apply_id {
            return Ok(next.revision);
        }
        if current_index != index {
            return Err(conflict_error(store, next));
        }
        // The index is unchanged, but the first write may still arrive. Repeating it unchanged is
        // safe: only one of the two can match the index, and both carry the same apply id.
        if store.write(CONFIG_KEY, index, value) == WriteOutcome::Written {
            return Ok(next.revision);
        }
    }
    bail!(
        "the store did not confirm whether revision {} was applied; check with `anvilrack show` \
         when it is reachable again (apply id {})",
        next.revision,
        next.apply_id
    )
}
