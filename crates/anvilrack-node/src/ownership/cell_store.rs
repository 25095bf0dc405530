//! The cell's record in the platform's store.

use anvilrack_core::{CellRecord, ServiceName};
use anvilrack_wire::{decode, encode};

use crate::directory::{MetadataStore, StoreFault, StoreRevision, StoreWrite, WriteResult};
use crate::ownership::PackedCell;

/// Where the records stand.
const CELL_PREFIX: &str = "anvilrack/cell/";

/// Reads a cell's record and the revision that it has; zero where there is none.
///
/// # Errors
///
/// [`StoreFault`], also where the value is no record: then nobody may write over it.
pub async fn read_cell<S: MetadataStore>(
    store: &S,
    service: &ServiceName,
) -> Result<(Option<CellRecord>, StoreRevision), StoreFault> {
    let Some(item) = store.read(&format!("{CELL_PREFIX}{service}")).await? else {
        return Ok((None, 0));
    };
    let packed: PackedCell =
        decode(&item.value).map_err(|error| StoreFault::Malformed(error.to_string().into()))?;
    Ok((Some(packed.unpack()), item.revision))
}

/// True where the cell's record still has that revision.
///
/// # Errors
///
/// [`StoreFault`] where the store did not answer.
pub async fn is_unchanged<S: MetadataStore>(
    store: &S,
    service: &ServiceName,
    revision: StoreRevision,
) -> Result<bool, StoreFault> {
    store
        .is_unchanged(&format!("{CELL_PREFIX}{service}"), revision)
        .await
}

/// Writes a cell's record if it still has the revision `base`.
///
/// # Errors
///
/// [`StoreFault`]; after `Unanswered` the write may have taken effect, or may still do so.
pub async fn write_cell<S: MetadataStore>(
    store: &S,
    record: &CellRecord,
    base: StoreRevision,
) -> Result<WriteResult, StoreFault> {
    let value = encode(&PackedCell::new(record))
        .map_err(|error| StoreFault::Refused(error.to_string().into()))?;
    let write = StoreWrite {
        key: format!("{CELL_PREFIX}{}", record.service).into(),
        value: Some(value.into()),
        base: Some(base),
        lease: 0,
    };
    store.write(write).await
}
