//! The safety properties that must hold in each state.

use std::sync::Arc;

use anvilrack_core::{CellRecord, FencingToken};

use crate::ROUTER_COUNT;
use crate::model_terms::ticks;
use crate::system_state::SystemState;

/// The violation of a property by a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PropertyViolation {
    /// Two routers would serve the shard at the same time.
    TwoOwners,
    /// The targets of two routers hold the shard at the same time.
    TwoHolders,
    /// A later record lacks an assignment that was published.
    AssignmentLost,
    /// Two different records were published under the same version, or a coordinator of an older epoch
    /// published a newer version.
    RecordsDiverge,
    /// The shard is not served again within the time allowed after all faults have ended.
    NeverServed,
}

/// Checks that at most one router serves the shard.
pub(crate) fn check_owners(state: &SystemState, checks_fence: bool) -> Option<PropertyViolation> {
    let serving = (0..ROUTER_COUNT).filter(|rank| {
        let now = state.clock(*rank);
        state.routers[*rank].serves(now, checks_fence)
    });
    (serving.count() > 1).then_some(PropertyViolation::TwoOwners)
}

/// Checks that at most one target holds the shard.
pub(crate) fn check_holders(state: &SystemState) -> Option<PropertyViolation> {
    let now = ticks(state.tick);
    let holders = state.routers.iter();
    let holders = holders.filter(|router| now < router.target.held_until);
    (holders.count() > 1).then_some(PropertyViolation::TwoHolders)
}

/// Checks that, unless the store was restored, its record is not older than the newest published one.
pub(crate) fn check_store(state: &SystemState) -> Option<PropertyViolation> {
    let is_older = !state.restored && state.store.record.version < state.newest_published.version;
    is_older.then_some(PropertyViolation::AssignmentLost)
}

/// Checks a record that is published against the newest one published before.
pub(crate) fn check_published(state: &mut SystemState, record: &Arc<CellRecord>) {
    let published = &state.newest_published;
    let newer_version = record.version > published.version;
    let newer_epoch = record.epoch > published.epoch;
    let same_write = record.version == published.version && record.is_same_write(published);
    let lacks_assignment = (0..published.shards.len())
        .any(|shard| token_of(record, shard) < token_of(published, shard));
    let new_violation = if newer_epoch && !newer_version
        || newer_version && (lacks_assignment || record.last_token < published.last_token)
    {
        Some(PropertyViolation::AssignmentLost)
    } else if record.version == published.version && !same_write
        || newer_version && record.epoch < published.epoch
    {
        Some(PropertyViolation::RecordsDiverge)
    } else {
        None
    };
    if newer_version {
        state.newest_published = record.clone();
    }
    state.violation = state.violation.or(new_violation);
}

fn token_of(record: &CellRecord, shard: usize) -> Option<FencingToken> {
    let owner = record.shards.get(shard)?.as_ref()?;
    Some(owner.token)
}
