//! Can the members of the cell be called?

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvilrack_core::{NodeId, events};
use anvilrack_peer::LinkClass;
use anvilrack_wire::PeerRequest;

use crate::coordinator_term::CoordinatorTerm;
use crate::log_event;

/// Time between two rounds of calls.
const ROUND_EVERY: Duration = Duration::from_millis(300);

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Calls in a row without an answer after which a member counts as unreachable.
const LOST_CALLS: u32 = 2;

/// Calls each member again and again during a term of office.
///
/// A member whose heartbeats arrive may still be one that no other router can send requests to.
pub fn run(term: &CoordinatorTerm) {
    let mut lost = BTreeMap::<NodeId, u32>::new();
    let mut told = BTreeSet::new();
    while term.context.pause(ROUND_EVERY) {
        let Some(answered) = call_members(term) else {
            return;
        };
        lost.retain(|node, _| answered.contains_key(node));
        for (node, has_answered) in answered {
            let count = lost.entry(node).or_default();
            *count = if has_answered { 0 } else { *count + 1 };
        }
        let unreachable: BTreeSet<NodeId> = lost
            .iter()
            .filter(|(_, count)| **count >= LOST_CALLS)
            .map(|(node, _)| node.clone())
            .collect();
        for node in unreachable.difference(&told) {
            log_event!(Warn, events::MEMBER_UNREACHABLE, "node" = node);
        }
        term.with_state(|state| state.on_reach(&unreachable));
        told = unreachable;
    }
}

/// Which members answered; none once the term has ended.
fn call_members(term: &CoordinatorTerm) -> Option<BTreeMap<NodeId, bool>> {
    let record = term.record()?;
    let context = &term.context;
    let others = record.members.iter();
    let (nodes, addresses): (Vec<_>, Vec<_>) = others
        .filter(|member| member.node != *context.node())
        .map(|member| (member.node.clone(), member.peer_address))
        .unzip();
    let request = PeerRequest::Pull(context.digest());
    let answers = context
        .links
        .call_all(&addresses, LinkClass::Control, &request, CALL_TIMEOUT);
    Some(
        nodes
            .into_iter()
            .zip(answers.iter().map(Result::is_ok))
            .collect(),
    )
}
