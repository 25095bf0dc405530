//! The store as the model sees it.

use std::sync::Arc;

use anvilrack_core::CellRecord;

/// What becomes of a write whose reply is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteFate {
    /// It took effect.
    Applied,
    /// It never does.
    Dropped,
    /// It may take effect at any later time.
    Delayed,
}

/// One value that changes by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreModel {
    pub(crate) record: Arc<CellRecord>,
    pub(crate) previous: Arc<CellRecord>,
    pub(crate) index: u64,
    pub(crate) delayed: Option<(Arc<CellRecord>, u64)>,
}

impl StoreModel {
    /// You give the value to begin with.
    #[must_use]
    pub fn new(record: Arc<CellRecord>) -> Self {
        Self {
            previous: record.clone(),
            record,
            index: 1,
            delayed: None,
        }
    }

    /// Writes if the index still stands; says whether it did.
    pub fn write(&mut self, record: &Arc<CellRecord>, index: u64) -> bool {
        if index != self.index {
            return false;
        }
        self.previous = std::mem::replace(&mut self.record, record.clone());
        self.index += 1;
        true
    }

    /// Takes a write whose reply is lost.
    pub fn write_unanswered(&mut self, record: &Arc<CellRecord>, index: u64, fate: WriteFate) {
        match fate {
            WriteFate::Applied => {
                self.write(record, index);
            }
            WriteFate::Dropped => {}
            WriteFate::Delayed => self.delayed = Some((record.clone(), index)),
        }
    }

    /// Lets the delayed write arrive.
    pub fn land_delayed(&mut self) {
        if let Some((record, index)) = self.delayed.take() {
            self.write(&record, index);
        }
    }

    /// Puts the value back to the copy before the last write, under a new index.
    pub fn restore(&mut self) {
        self.record = self.previous.clone();
        self.index += 1;
    }
}
