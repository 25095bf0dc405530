//! Checks that the current members can satisfy a configuration's placement rules.

use anvilrack_core::{CellRecord, ConfigDocument, ServiceRules};
use anvilrack_store::{KeyStore, cell_key};
use eyre::{WrapErr, bail};

/// Checks the placement rules of each service against the current members of its cell.
///
/// A service without a cell is skipped, and so are the allowed regions of a cell without members,
/// since targets may be started later.
///
/// # Errors
///
/// Fails with the first rule that would leave shards without an owner and the members that exist,
/// or when the store is unreachable or a record is malformed.
pub fn check_placement<S: KeyStore>(store: &S, document: &ConfigDocument) -> eyre::Result<()> {
    for (service, rules) in &document.services {
        let Some(stored) = store
            .read(&cell_key(service))
            .wrap_err("cannot read the record of a cell")?
        else {
            continue;
        };
        let cell: CellRecord = serde_json::from_slice(&stored.value)
            .wrap_err_with(|| format!("the stored record of {service} is malformed"))?;
        check_regions(&cell, rules)?;
        check_pins(&cell, rules)?;
    }
    Ok(())
}

fn check_regions(cell: &CellRecord, rules: &ServiceRules) -> eyre::Result<()> {
    let member_regions: Vec<_> = cell.members.iter().map(|member| &*member.region).collect();
    if member_regions.is_empty() || member_regions.iter().any(|region| rules.allows(region)) {
        return Ok(());
    }
    bail!(
        "not applied: services.{}.regions allows {:?}, but its members are in {member_regions:?}, \
         so no member could own its keys. Start targets in an allowed region first",
        cell.service,
        rules.regions
    );
}

fn check_pins(cell: &CellRecord, rules: &ServiceRules) -> eyre::Result<()> {
    for (key, node) in &rules.pinned_keys {
        let Some(member) = cell.member(node) else {
            bail!(
                "not applied: services.{}.pinned_keys pins `{key}` to `{node}`, \
                 which is not a member",
                cell.service
            );
        };
        if !rules.allows(&member.region) {
            bail!(
                "not applied: services.{}.pinned_keys pins `{key}` to `{node}`, which is in {}, \
                 not in services.{}.regions",
                cell.service,
                member.region,
                cell.service
            );
        }
    }
    Ok(())
}
