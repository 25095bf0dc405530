//! The member role while the failure domain of the local target is evacuated.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::events;
use anvilrack_router::boot_clock;
use tokio::time::sleep;

use crate::ownership::release_all;
use crate::{NodeState, PlatformDialect, emit_event, observe};

/// Time between two checks for keys that are left.
///
/// Until the keys have moved, each check sends a heartbeat, whose reply orders the next moves.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Sees to it that the local target holds no keys in time; ends with the evacuation.
///
/// The coordinator moves the keys away. Those that are left when their time is over are released without a
/// next owner, and so are those that a coordinator assigns which does not know of the evacuation.
pub async fn leave_domain<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let began = boot_clock::now();
    let Some(keys_until) = node.own_keys_until() else {
        return;
    };
    let mut held_before = false;
    // A second evacuation has a task of its own.
    while node.own_keys_until() == Some(keys_until) {
        let held = node.owner().held().count();
        let now = boot_clock::now();
        if held > 0 && now >= keys_until {
            emit_event!(Warn, events::EVACUATION_KEYS_RELEASED, shards = held);
            release_all(&node);
        } else if held > 0 {
            node.member_updates.notify_one();
        } else if held_before {
            emit_event!(
                Info,
                events::EVACUATION_KEYS_LEFT,
                after_ms = observe::millis(now.saturating_sub(began))
            );
        }
        held_before = held > 0;
        sleep(CHECK_INTERVAL).await;
    }
}
