//! The liveness check: the shard must be served again once all faults have ended.

use std::sync::Arc;

use crate::system_state::{SystemSetup, SystemState};
use crate::{ModelOptions, ROUTER_COUNT, SystemAction};

/// Number of ticks without faults within which the shard must be served again.
const MAX_RECOVERY_TICKS: u32 = 60;

/// Bits of the routers that have a target; once all of them are lost, no router can serve the shard.
const ROUTERS_WITH_TARGET: u8 = 0b110;

/// Returns whether the shard is served again once all faults have ended.
///
/// Late messages and a delayed write arrive first, and routers learn of restarts of their targets; then the schedule runs without faults.
#[must_use]
pub fn shard_recovers(state: &SystemState, options: ModelOptions) -> bool {
    recovers(state, &SystemSetup::new(options))
}

pub(crate) fn recovers(state: &SystemState, setup: &SystemSetup) -> bool {
    if state.lost & ROUTERS_WITH_TARGET == ROUTERS_WITH_TARGET {
        return true;
    }
    let mut state = without_faults(state, setup);
    let until = state.tick + MAX_RECOVERY_TICKS;
    while state.tick < until {
        if is_served(&state) {
            return true;
        }
        match state.apply(setup, state.next_scheduled()) {
            Some(next) => state = next,
            None => return false,
        }
    }
    false
}

fn is_served(state: &SystemState) -> bool {
    (0..ROUTER_COUNT).any(|rank| {
        let lost = state.lost >> rank & 1 == 1;
        let now = state.clock(rank);
        state.routers[rank].owner.grant(0, now).is_ok() && !lost
    })
}

fn without_faults(state: &SystemState, setup: &SystemSetup) -> SystemState {
    let mut state = state.clone();
    state.partition = 0;
    state.paused = state.lost;
    Arc::make_mut(&mut state.store).apply_delayed_write();
    for rank in 0..ROUTER_COUNT {
        if state.is_paused(rank) {
            continue;
        }
        for action in [
            SystemAction::DeliverLate(rank),
            SystemAction::NoticeTarget(rank),
        ] {
            let has_noticed = !state.routers[rank].target.restarted;
            if has_noticed && action == SystemAction::NoticeTarget(rank) {
                continue;
            }
            if let Some(next) = state.apply(setup, action) {
                state = next;
            }
        }
    }
    state
}
