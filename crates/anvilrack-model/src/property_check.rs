//! What must hold in each state.

use std::sync::Arc;

use anvilrack_core::{CellRecord, FencingToken};

use crate::NODE_COUNT;
use crate::system_state::SystemState;

/// A property that a state breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BrokenProperty {
    /// Two routers would serve the shard in the same instant.
    TwoOwners,
    /// An assignment that was told is missing from a later record.
    AssignmentLost,
    /// Two different records were told under the same version, or an older epoch went on writing.
    RecordsDiverge,
    /// The shard is not served again although all faults have ended.
    NeverServed,
}

pub(crate) fn check_owners(state: &SystemState, checks_fence: bool) -> Option<BrokenProperty> {
    let serving = (0..NODE_COUNT).filter(|rank| {
        let now = state.clock(*rank);
        state.routers[*rank].serves(now, checks_fence)
    });
    (serving.count() > 1).then_some(BrokenProperty::TwoOwners)
}

/// Without a restore, the store never falls behind what was told.
pub(crate) fn check_store(state: &SystemState) -> Option<BrokenProperty> {
    let behind = !state.restored && state.store.record.version < state.told.version;
    behind.then_some(BrokenProperty::AssignmentLost)
}

/// Compares a record with the newest one that was told before.
pub(crate) fn check_told(state: &mut SystemState, record: &Arc<CellRecord>) {
    let told = &state.told;
    let newer = record.version > told.version;
    let later = record.epoch > told.epoch;
    let same = record.version == told.version && record.is_same_write(told);
    let forgets =
        (0..told.shards.len()).any(|shard| token_of(record, shard) < token_of(told, shard));
    let broken = if later && !newer || newer && (forgets || record.last_token < told.last_token) {
        Some(BrokenProperty::AssignmentLost)
    } else if record.version == told.version && !same || newer && record.epoch < told.epoch {
        Some(BrokenProperty::RecordsDiverge)
    } else {
        None
    };
    if newer {
        state.told = record.clone();
    }
    state.broken = state.broken.or(broken);
}

fn token_of(record: &CellRecord, shard: usize) -> Option<FencingToken> {
    let owner = record.shards.get(shard)?.as_ref()?;
    Some(owner.token)
}
