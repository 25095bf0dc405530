//! The latest changes of a cell's record, for routers that have an earlier version.

use std::collections::VecDeque;

use crate::{CellRecord, RecordDelta, RecordStamp};

/// Maximum number of deltas that are kept.
const MAX_DELTAS: usize = 64;

/// Maximum number of shards that all kept deltas change together.
///
/// A longer history would be no smaller than the record.
const MAX_CHANGED_SHARDS: usize = 600;

/// The deltas that led to the latest record of one cell.
///
/// A router that asks for the record names the one that it has, and gets the difference. In a busy minute
/// each router asks several times a second, and the whole record is twenty to fifty times as large.
#[derive(Clone, Debug, Default)]
pub struct RecordHistory {
    deltas: VecDeque<RecordDelta>,
}

impl RecordHistory {
    /// Adds the change from `old`, the latest record so far, to `new`.
    pub fn advance(&mut self, old: &CellRecord, new: &CellRecord) {
        self.deltas.push_back(RecordDelta::new(old, new));
        let changed_shards = |deltas: &VecDeque<RecordDelta>| -> usize {
            deltas.iter().map(|delta| delta.shards.len()).sum()
        };
        while self.deltas.len() > MAX_DELTAS || changed_shards(&self.deltas) > MAX_CHANGED_SHARDS {
            self.deltas.pop_front();
        }
    }

    /// Returns the change from the record `known` to the latest one; `None` if the history does not reach
    /// back to it.
    #[must_use]
    pub fn delta_since(&self, known: &RecordStamp) -> Option<RecordDelta> {
        let first = self.deltas.iter().position(|delta| delta.base == *known)?;
        let mut deltas = self.deltas.iter().skip(first).cloned();
        let oldest = deltas.next()?;
        Some(deltas.fold(oldest, RecordDelta::followed_by))
    }
}
