//! Notifies the local target of its grants.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, FencingToken, ShardId, events};
use serde_json::{Value, json};

use crate::router_context::RouterContext;
use crate::{boot_clock, log_event};

/// Interval between two checks for changed grants.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for one call to the target, which runs on the same VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The shards that a target may serve, with their fencing tokens.
type GrantTable = BTreeMap<ShardId, FencingToken>;

/// Sends each grant and release to the target with `POST /_grants`, until the process ends.
///
/// A target that doesn't implement the call gets it too, and its error response counts as received.
/// The call is repeated if there is no response or the status is 503.
pub fn run(context: &Arc<RouterContext>) {
    let mut last_sent = GrantTable::new();
    while context.pause(CHECK_INTERVAL) {
        let now = boot_clock::now();
        let address = context.target().ready_address(now);
        let Some(address) = address else {
            // The target may come back as a new process without grants, which needs all of them.
            last_sent.clear();
            continue;
        };
        let (lease_until, granted) = current_grants(context, now);
        if granted != last_sent && send_changes(address, lease_until, &last_sent, &granted) {
            log_event!(
                Info,
                events::TARGET_TOLD,
                "shards" = granted.len(),
                "before" = last_sent.len()
            );
            last_sent = granted;
        }
    }
}

fn current_grants(context: &RouterContext, now: BootTime) -> (BootTime, GrantTable) {
    let owner = context.owner();
    let lease_until = owner.lease_until();
    let granted = if now < lease_until {
        owner.held().collect()
    } else {
        GrantTable::new()
    };
    (lease_until, granted)
}

fn send_changes(
    address: SocketAddr,
    lease_until: BootTime,
    last_sent: &GrantTable,
    current: &GrantTable,
) -> bool {
    let lease_end_ms = u64::try_from(lease_until.as_millis()).unwrap_or(u64::MAX);
    let granted: Vec<Value> = changes(current, last_sent)
        .map(|(shard, token)| json!({ "shard": shard, "token": token, "lease_end_ms": lease_end_ms }))
        .collect();
    let released: Vec<Value> = changes(last_sent, current)
        .map(|(shard, token)| json!({ "shard": shard, "token": token }))
        .collect();
    let body = json!({ "granted": granted, "released": released });
    let response = ureq::post(format!("http://{address}/_grants"))
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .send(body.to_string());
    response.is_ok_and(|response| response.status() != 503)
}

/// Returns the entries of `table` that `other` lacks or has with a different token.
fn changes<'a>(
    table: &'a GrantTable,
    other: &'a GrantTable,
) -> impl Iterator<Item = (&'a ShardId, &'a FencingToken)> {
    table
        .iter()
        .filter(|(shard, token)| other.get(*shard) != Some(*token))
}
