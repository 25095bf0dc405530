//! Reads and validates the operators' configuration file.

use std::path::Path;
use std::sync::Arc;

use anvilrack_core::{ConfigDocument, DomainName, ServiceRules};

use crate::router_settings::check_name;
use crate::{FieldError, SettingsError, read_checked};

/// Maximum number of shards of a service: a cell's record must fit into one value of the store.
const MAX_SHARDS: u32 = 8_192;

/// Maximum request timeout that a service may allow, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;

/// Reads and validates a configuration file.
///
/// # Errors
///
/// Returns a [`SettingsError`] when the file cannot be read or is invalid. For an invalid field it
/// names the file, the line, the field and the allowed values.
pub fn read_config(path: &Path) -> Result<ConfigDocument, SettingsError> {
    read_checked(path, check_config)
}

/// Validates a configuration on its own, without comparing it with the running system.
///
/// # Errors
///
/// Returns a [`FieldError`] for the first field with an invalid value.
pub fn check_config(document: &ConfigDocument) -> Result<(), FieldError> {
    check_site(document)?;
    if document.services.is_empty() {
        return Err(FieldError::new(
            "services",
            "must contain at least one service",
        ));
    }
    for (name, rules) in &document.services {
        let field = format!("services.{name}");
        check_name(&field, name)?;
        check_service(document, rules, &field)?;
    }
    Ok(())
}

fn check_site(document: &ConfigDocument) -> Result<(), FieldError> {
    let regions = &document.site.regions;
    if regions.is_empty() {
        return Err(FieldError::new(
            "site.regions",
            "must contain at least one region",
        ));
    }
    let mut known: Vec<&DomainName> = Vec::new();
    for (region, domains) in regions {
        let field = format!("site.regions.{region}");
        check_name(&field, region)?;
        if domains.is_empty() {
            return Err(FieldError::new(
                field,
                "must contain at least one failure domain",
            ));
        }
        for domain in domains {
            check_name(&field, domain)?;
            if known.contains(&domain) {
                let message = format!("failure domain `{domain}` must be listed only once");
                return Err(FieldError::new(field, message));
            }
            known.push(domain);
        }
    }
    Ok(())
}

fn check_service(
    document: &ConfigDocument,
    rules: &ServiceRules,
    field: &str,
) -> Result<(), FieldError> {
    let counts = [
        ("shards", u64::from(rules.shards), u64::from(MAX_SHARDS)),
        ("slots", u64::from(rules.slots), 65_536),
        ("connections", u64::from(rules.connections), 65_536),
        ("max_timeout_ms", rules.max_timeout_ms, MAX_TIMEOUT_MS),
    ];
    for (name, value, max) in counts {
        if value == 0 || value > max {
            let message = format!("must be from 1 to {max}");
            return Err(FieldError::new(format!("{field}.{name}"), message));
        }
    }
    for region in &rules.regions {
        if !document.site.regions.contains_key(region) {
            let message = format!("region `{region}` is not in site.regions");
            return Err(FieldError::new(format!("{field}.regions"), message));
        }
    }
    for key in rules.pinned_keys.keys() {
        check_pinned_key(field, key)?;
    }
    Ok(())
}

fn check_pinned_key(field: &str, key: &Arc<str>) -> Result<(), FieldError> {
    if key.is_empty() {
        let message = "a pinned key must not be empty";
        return Err(FieldError::new(format!("{field}.pinned_keys"), message));
    }
    Ok(())
}
