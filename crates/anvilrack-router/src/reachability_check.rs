//! Detects members of the cell that cannot be reached.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvilrack_core::{NodeId, events};
use anvilrack_peer::LinkClass;
use anvilrack_wire::PeerRequest;

use crate::coordinator_handle::CoordinatorHandle;
use crate::log_event;

/// Interval between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout for one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Consecutive probes without a reply after which a member counts as unreachable.
const UNREACHABLE_AFTER_PROBES: u32 = 2;

/// Probes every member periodically until the epoch ends.
///
/// Heartbeats do not show that a member is reachable: they may arrive although no other router can
/// send requests to it.
pub fn run(handle: &CoordinatorHandle) {
    let mut missed_probes = BTreeMap::<NodeId, u32>::new();
    let mut logged = BTreeSet::new();
    while handle.context.pause(PROBE_INTERVAL) {
        let Some(replied) = probe_members(handle) else {
            return;
        };
        missed_probes.retain(|node, _| replied.contains_key(node));
        for (node, has_replied) in replied {
            let count = missed_probes.entry(node).or_default();
            *count = if has_replied { 0 } else { *count + 1 };
        }
        let unreachable: BTreeSet<NodeId> = missed_probes
            .iter()
            .filter(|(_, count)| **count >= UNREACHABLE_AFTER_PROBES)
            .map(|(node, _)| node.clone())
            .collect();
        for node in unreachable.difference(&logged) {
            log_event!(Warn, events::MEMBER_UNREACHABLE, "node" = node);
        }
        handle.with_state(|state| state.set_unreachable(&unreachable));
        logged = unreachable;
    }
}

/// Returns whether each member replied, or `None` once the epoch has ended.
fn probe_members(handle: &CoordinatorHandle) -> Option<BTreeMap<NodeId, bool>> {
    let record = handle.record()?;
    let context = &handle.context;
    let others = record.members.iter();
    let (nodes, addresses): (Vec<_>, Vec<_>) = others
        .filter(|member| member.node != *context.node())
        .map(|member| (member.node.clone(), member.peer_address))
        .unzip();
    let request = PeerRequest::Pull(context.digest());
    let replies = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, PROBE_TIMEOUT);
    Some(
        nodes
            .into_iter()
            .zip(replies.iter().map(Result::is_ok))
            .collect(),
    )
}
