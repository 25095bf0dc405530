//! Logs that clients have reached the limits of the VM.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::events;
use anvilrack_limits::LimitCounts;

use crate::log_event;
use crate::router_context::RouterContext;

/// Minimum time between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Logs at most once in an interval what was refused in it, until the process ends.
pub fn run(context: &Arc<RouterContext>) {
    let mut before = LimitCounts::default();
    while context.pause(REPORT_INTERVAL) {
        let counts = LimitCounts::of(&context.memory, [&context.caller_gate, &context.peer_gate]);
        let Some(added) = counts.since(before) else {
            continue;
        };
        let (capacity, held) = context.memory.usage();
        log_event!(
            Warn,
            events::LIMITS_REACHED,
            "bodies_refused" = added.bodies_refused,
            "bodies_evicted" = added.bodies_evicted,
            "connections_closed" = added.connections_closed,
            "connections_refused" = added.connections_refused,
            "held_bytes" = held,
            "capacity_bytes" = capacity
        );
        before = counts;
    }
}
