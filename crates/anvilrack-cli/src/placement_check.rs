//! Are there members for what a configuration asks?

use anvilrack_core::{CellRecord, ConfigDocument, ServiceRules};
use anvilrack_store::{KeyStore, cell_key};
use eyre::{WrapErr, bail};

/// Holds the rules of placement against the members that each cell has now.
///
/// A service that has no members yet is not held against anything: it may be started later.
///
/// # Errors
///
/// The first rule that would leave shards without an owner, with what is there.
pub fn check_placement<S: KeyStore>(store: &S, document: &ConfigDocument) -> eyre::Result<()> {
    for (service, rules) in &document.services {
        let Some(stored) = store
            .read(&cell_key(service))
            .wrap_err("cannot read the cells")?
        else {
            continue;
        };
        let cell: CellRecord = serde_json::from_slice(&stored.value)
            .wrap_err_with(|| format!("the store's record of {service} cannot be read"))?;
        check_regions(&cell, rules)?;
        check_pins(&cell, rules)?;
    }
    Ok(())
}

fn check_regions(cell: &CellRecord, rules: &ServiceRules) -> eyre::Result<()> {
    let present: Vec<_> = cell.members.iter().map(|member| &*member.region).collect();
    if present.is_empty() || present.iter().any(|region| rules.allows(region)) {
        return Ok(());
    }
    bail!(
        "not applied: services.{}.regions allows {:?}, but its members stand in {present:?}; nobody \
         could own its keys. Start targets there first",
        cell.service,
        rules.regions
    );
}

fn check_pins(cell: &CellRecord, rules: &ServiceRules) -> eyre::Result<()> {
    for (key, node) in &rules.pinned_keys {
        let Some(member) = cell.member(node) else {
            bail!(
                "not applied: services.{}.pinned_keys ties `{key}` to `{node}`, which is no member",
                cell.service
            );
        };
        if !rules.allows(&member.region) {
            bail!(
                "not applied: services.{}.pinned_keys ties `{key}` to `{node}`, which stands in {}, \
                 outside of services.{}.regions",
                cell.service,
                member.region,
                cell.service
            );
        }
    }
    Ok(())
}
