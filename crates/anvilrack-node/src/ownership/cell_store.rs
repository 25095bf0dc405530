//! Reads and writes cell records in the metadata store.

use anvilrack_core::{CellRecord, ServiceName};
use anvilrack_wire::{decode, encode};

use crate::directory::{MetadataStore, MetadataStoreError, StoreRevision, StoreWrite, WriteResult};
use crate::ownership::PackedCell;

/// Key prefix of the cell records.
const CELL_PREFIX: &str = "anvilrack/cell/";

/// Reads a cell's record and its revision; the revision is zero if there is no record.
///
/// # Errors
///
/// [`MetadataStoreError`] if the store cannot be read, or if the value is not a valid record. A value
/// that is not a valid record must not be overwritten.
pub async fn read_cell<S: MetadataStore>(
    store: &S,
    service: &ServiceName,
) -> Result<(Option<CellRecord>, StoreRevision), MetadataStoreError> {
    let Some(item) = store.read(&format!("{CELL_PREFIX}{service}")).await? else {
        return Ok((None, 0));
    };
    let packed: PackedCell = decode(&item.value)
        .map_err(|error| MetadataStoreError::Malformed(error.to_string().into()))?;
    Ok((Some(packed.unpack()), item.revision))
}

/// Returns whether the cell's record still has the given revision.
///
/// # Errors
///
/// [`MetadataStoreError`] if the store did not respond.
pub async fn is_unchanged<S: MetadataStore>(
    store: &S,
    service: &ServiceName,
    revision: StoreRevision,
) -> Result<bool, MetadataStoreError> {
    store
        .is_unchanged(&format!("{CELL_PREFIX}{service}"), revision)
        .await
}

/// Writes a cell's record, provided that the stored record still has the revision `base`.
///
/// # Errors
///
/// [`MetadataStoreError`] if the write failed. After [`MetadataStoreError::Unanswered`] the write may
/// have taken effect, or may still take effect later.
pub async fn write_cell<S: MetadataStore>(
    store: &S,
    record: &CellRecord,
    base: StoreRevision,
) -> Result<WriteResult, MetadataStoreError> {
    let value = encode(&PackedCell::new(record))
        .map_err(|error| MetadataStoreError::Refused(error.to_string().into()))?;
    let write = StoreWrite {
        key: format!("{CELL_PREFIX}{}", record.service).into(),
        value: Some(value.into()),
        base: Some(base),
        lease: 0,
    };
    store.write(write).await
}
