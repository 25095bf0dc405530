//! Where the system's records stand in the store.

/// Key of the configuration.
pub const CONFIG_KEY: &str = "anvilrack/config";

/// Key of a cell's record.
#[must_use]
pub fn cell_key(service: &str) -> String {
    format!("anvilrack/cells/{service}")
}
