//! Keys of the system's records in the store.

/// Key of the operators' configuration.
pub const CONFIG_KEY: &str = "anvilrack/config";

/// Returns the key of the record of a service's cell.
#[must_use]
pub fn cell_key(service: &str) -> String {
    format!("anvilrack/cells/{service}")
}
