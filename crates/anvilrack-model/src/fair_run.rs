//! The run that follows once all faults have ended.

use std::sync::Arc;

use crate::system_state::{SystemSetup, SystemState};
use crate::{ModelOptions, NODE_COUNT, SystemAction};

/// Ticks within which the shard must be served again.
const SERVED_WITHIN_TICKS: u32 = 60;

/// The routers beside a target; where all are lost there is nobody to serve.
const TARGETS: u8 = 0b110;

/// True where the shard is served again once all faults have ended.
///
/// Late messages and a delayed write arrive at the beginning of the run; each router then takes its
/// turns without a fault.
#[must_use]
pub fn is_served_soon(state: &SystemState, options: ModelOptions) -> bool {
    serves_soon(state, &SystemSetup::new(options))
}

pub(crate) fn serves_soon(state: &SystemState, setup: &SystemSetup) -> bool {
    if state.lost & TARGETS == TARGETS {
        return true;
    }
    let mut state = undisturbed(state, setup);
    let until = state.tick + SERVED_WITHIN_TICKS;
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
    (0..NODE_COUNT).any(|rank| {
        let lost = state.lost >> rank & 1 == 1;
        let now = state.clock(rank);
        state.routers[rank].owner.grant(0, now).is_ok() && !lost
    })
}

fn undisturbed(state: &SystemState, setup: &SystemSetup) -> SystemState {
    let mut state = state.clone();
    state.partition = 0;
    state.paused = state.lost;
    Arc::make_mut(&mut state.store).land_delayed();
    for rank in 0..NODE_COUNT {
        if state.is_paused(rank) {
            continue;
        }
        if let Some(next) = state.apply(setup, SystemAction::Deliver(rank)) {
            state = next;
        }
    }
    state
}
