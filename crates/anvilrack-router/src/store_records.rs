//! Reads and writes the cells' records and the configuration in the store.

use anvilrack_core::{CellRecord, ConfigRecord};
use anvilrack_store::{CONFIG_KEY, KeyStore, StoreError, StoreIndex, WriteOutcome, cell_key};
use serde::de::DeserializeOwned;

/// Reads a cell's record and its index, which is zero if the store has no record of the cell.
///
/// # Errors
///
/// Returns an error if the store does not respond or the stored value is malformed.
pub fn read_cell<S: KeyStore>(
    store: &S,
    service: &str,
) -> Result<(Option<CellRecord>, StoreIndex), StoreError> {
    read_json(store, &cell_key(service))
}

/// Reads the configuration and its index, which is zero if the store has none.
///
/// # Errors
///
/// Returns an error if the store does not respond or the stored value is malformed.
pub fn read_config<S: KeyStore>(
    store: &S,
) -> Result<(Option<ConfigRecord>, StoreIndex), StoreError> {
    read_json(store, CONFIG_KEY)
}

/// Writes a cell's record if the stored one still has this index.
pub fn write_cell<S: KeyStore>(store: &S, record: &CellRecord, index: StoreIndex) -> WriteOutcome {
    match serde_json::to_vec(record) {
        Ok(value) => store.write(&cell_key(&record.service), index, &value),
        Err(_) => WriteOutcome::Conflict,
    }
}

/// Parses a stored value as JSON.
///
/// # Errors
///
/// [`StoreError::Malformed`] if the value is not valid JSON of type `T`.
pub fn parse_json<T: DeserializeOwned>(value: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(value).map_err(|error| StoreError::Malformed(error.to_string()))
}

fn read_json<S: KeyStore, T: DeserializeOwned>(
    store: &S,
    key: &str,
) -> Result<(Option<T>, StoreIndex), StoreError> {
    let Some(stored) = store.read(key)? else {
        return Ok((None, 0));
    };
    Ok((Some(parse_json(&stored.value)?), stored.index))
}
