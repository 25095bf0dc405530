//! Model of the store.

use std::sync::Arc;

use anvilrack_core::CellRecord;

/// What happens to a write whose response is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LostResponseOutcome {
    /// The write took effect.
    Applied,
    /// The write never takes effect.
    Dropped,
    /// The write may take effect at any later time.
    Delayed,
}

/// A single record that changes by compare-and-swap on its index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreModel {
    /// The stored record.
    pub(crate) record: Arc<CellRecord>,
    /// The record before the last write, which [`Self::restore`] brings back.
    pub(crate) previous: Arc<CellRecord>,
    /// Rises with every change of the record.
    pub(crate) index: u64,
    /// A write that has not arrived yet: its record and the index on which it is based.
    pub(crate) delayed: Option<(Arc<CellRecord>, u64)>,
}

impl StoreModel {
    /// Creates a store that contains `record`.
    #[must_use]
    pub fn new(record: Arc<CellRecord>) -> Self {
        Self {
            previous: record.clone(),
            record,
            index: 1,
            delayed: None,
        }
    }

    /// Writes `record` if `index` is still the current index, and returns whether it did.
    pub fn write(&mut self, record: &Arc<CellRecord>, index: u64) -> bool {
        if index != self.index {
            return false;
        }
        self.previous = std::mem::replace(&mut self.record, record.clone());
        self.index += 1;
        true
    }

    /// Handles a write whose response is lost.
    pub fn write_with_lost_response(
        &mut self,
        record: &Arc<CellRecord>,
        index: u64,
        outcome: LostResponseOutcome,
    ) {
        match outcome {
            LostResponseOutcome::Applied => {
                self.write(record, index);
            }
            LostResponseOutcome::Dropped => {}
            LostResponseOutcome::Delayed => self.delayed = Some((record.clone(), index)),
        }
    }

    /// Applies the delayed write, if there is one; it fails if the index has changed since.
    pub fn apply_delayed_write(&mut self) {
        if let Some((record, index)) = self.delayed.take() {
            self.write(&record, index);
        }
    }

    /// Restores the record from before the last write, under a new index.
    pub fn restore(&mut self) {
        self.record = self.previous.clone();
        self.index += 1;
    }
}
