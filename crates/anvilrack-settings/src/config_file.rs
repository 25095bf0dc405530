//! The operators' configuration file.

use std::path::Path;
use std::sync::Arc;

use anvilrack_core::{ConfigDocument, DomainName, ServiceRules};

use crate::router_settings::name_fault;
use crate::{FieldFault, SettingsError, read_checked};

/// Most shards of a service: what one record of a cell can hold within the store's value size.
const SHARD_LIMIT: u32 = 8_192;

/// Longest time that a request may be allowed, in milliseconds.
const TIMEOUT_LIMIT_MS: u64 = 600_000;

/// Reads and checks a configuration file.
///
/// # Errors
///
/// [`SettingsError`] with the file, the line, the field and what is allowed.
pub fn read_config(path: &Path) -> Result<ConfigDocument, SettingsError> {
    read_checked(path, check_config)
}

/// Checks a configuration by itself, without looking at what is running.
///
/// # Errors
///
/// [`FieldFault`] for the first field that is not allowed.
pub fn check_config(document: &ConfigDocument) -> Result<(), FieldFault> {
    check_site(document)?;
    if document.services.is_empty() {
        return Err(FieldFault::new(
            "services",
            "must name at least one service",
        ));
    }
    for (name, rules) in &document.services {
        let field = format!("services.{name}");
        name_fault(&field, name)?;
        check_service(document, rules, &field)?;
    }
    Ok(())
}

fn check_site(document: &ConfigDocument) -> Result<(), FieldFault> {
    let regions = &document.site.regions;
    if regions.is_empty() {
        return Err(FieldFault::new(
            "site.regions",
            "must name at least one region",
        ));
    }
    let mut seen: Vec<&DomainName> = Vec::new();
    for (region, domains) in regions {
        let field = format!("site.regions.{region}");
        name_fault(&field, region)?;
        if domains.is_empty() {
            return Err(FieldFault::new(
                field,
                "must name at least one failure domain",
            ));
        }
        for domain in domains {
            name_fault(&field, domain)?;
            if seen.contains(&domain) {
                let fault = format!("failure domain `{domain}` must be named once only");
                return Err(FieldFault::new(field, fault));
            }
            seen.push(domain);
        }
    }
    Ok(())
}

fn check_service(
    document: &ConfigDocument,
    rules: &ServiceRules,
    field: &str,
) -> Result<(), FieldFault> {
    let counts = [
        ("shards", u64::from(rules.shards), u64::from(SHARD_LIMIT)),
        ("slots", u64::from(rules.slots), 65_536),
        ("connections", u64::from(rules.connections), 65_536),
        ("max_timeout_ms", rules.max_timeout_ms, TIMEOUT_LIMIT_MS),
    ];
    for (name, value, high) in counts {
        if value == 0 || value > high {
            let fault = format!("must be from 1 to {high}");
            return Err(FieldFault::new(format!("{field}.{name}"), fault));
        }
    }
    for region in &rules.regions {
        if !document.site.regions.contains_key(region) {
            let fault = format!("region `{region}` is not in site.regions");
            return Err(FieldFault::new(format!("{field}.regions"), fault));
        }
    }
    for key in rules.pinned_keys.keys() {
        pinned_key_fault(field, key)?;
    }
    Ok(())
}

fn pinned_key_fault(field: &str, key: &Arc<str>) -> Result<(), FieldFault> {
    if key.is_empty() {
        let fault = "a pinned key must not be empty";
        return Err(FieldFault::new(format!("{field}.pinned_keys"), fault));
    }
    Ok(())
}
