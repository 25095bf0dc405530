//! Who owns a key, why, and since when.

use std::time::Duration;

use anvilrack_core::{PlacementNote, ShardHash, ShardId, ShardRoute};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{PeerReply, PeerRequest};
use serde_json::{Value, json};

use crate::boot_clock;
use crate::router_context::RouterContext;

/// Time to ask the cell's coordinator.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Explains where requests for a key go, as far as this router and the cell's coordinator know.
///
/// # Errors
///
/// What to tell the operator where the service is not known.
pub fn explain(context: &RouterContext, service: &str, key: &str) -> Result<Value, String> {
    let routes = context.routes();
    let known: Vec<_> = routes.config().document.services.keys().cloned().collect();
    let Some(rules) = routes.rules(service) else {
        return Err(format!(
            "no service `{service}`; the configuration has {known:?}"
        ));
    };
    let shard = ShardHash::new(rules.shards).shard_of(key);
    let route = routes.resolve(service, key).ok();
    let note = ask_coordinator(context, service, shard);
    let since = note
        .as_ref()
        .map(|note| boot_clock::unix_ms().saturating_sub(note.at_ms) / 1_000);
    Ok(json!({
        "service": service,
        "key": key,
        "shard": shard,
        "owner": route.as_ref().map(|route| &route.node),
        "owner_address": route.as_ref().map(|route| route.peer_address),
        "token": route.as_ref().map(|route| route.token),
        "cell_version": routes.cell(service).map(|cell| cell.version),
        "coordinator": routes.cell(service).map(|cell| &cell.coordinator),
        "why": why(route.as_ref(), note.as_ref()),
        "owner_for_seconds": since,
        "owner_before": note.as_ref().and_then(|note| note.from.clone()),
        "shards_by_member_then": note.as_ref().map(|note| &note.weighed),
    }))
}

fn why(route: Option<&ShardRoute>, note: Option<&PlacementNote>) -> String {
    match (route, note) {
        (None, _) => {
            "nobody owns it just now: its last owner may still be serving it, or no member \
                      is ready; it is given away by itself"
                .to_owned()
        }
        (Some(route), Some(note)) if route.token == note.token => note.reason.word().to_owned(),
        (Some(_), _) => {
            "decided before the present coordinator took office, which keeps no older notes"
                .to_owned()
        }
    }
}

/// The note of this router's own cell.
#[must_use]
pub fn own_note(context: &RouterContext, service: &str, shard: ShardId) -> Option<PlacementNote> {
    let coordinates = context
        .coordinator()
        .as_ref()
        .is_some_and(|state| &*state.record().service == service);
    let journal = context.journal();
    journal.latest(shard).filter(|_| coordinates).cloned()
}

fn ask_coordinator(
    context: &RouterContext,
    service: &str,
    shard: ShardId,
) -> Option<PlacementNote> {
    let routes = context.routes();
    let cell = routes.cell(service)?;
    if cell.coordinator == *context.node() {
        return own_note(context, service, shard);
    }
    let address = cell.member(&cell.coordinator)?.peer_address;
    let request = PeerRequest::Explain(service.into(), shard);
    match context
        .links
        .call(address, LinkClass::Control, &request, ASK_TIMEOUT)
    {
        Ok(PeerReply::Explained(note)) => note,
        _ => None,
    }
}
