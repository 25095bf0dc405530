//! What the target is told of its grants.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, FencingToken, ShardId, events};
use serde_json::{Value, json};

use crate::router_context::RouterContext;
use crate::{boot_clock, log_event};

/// Time between two looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Time for one call to the target, which runs on the same VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The shards a target may serve, with their tokens.
type GrantTable = BTreeMap<ShardId, FencingToken>;

/// Tells the target of each grant and release by `POST /_grants`, until the process ends.
///
/// A target that does not know the call is told all the same. One that does not answer, or refuses
/// with 503, is told again.
pub fn run(context: &Arc<RouterContext>) {
    let mut told = GrantTable::new();
    while context.pause(LOOK_EVERY) {
        let now = boot_clock::now();
        let address = context.target().ready_address(now);
        let Some(address) = address else {
            // It may come back as a new process that knows nothing.
            told.clear();
            continue;
        };
        let (lease_until, granted) = granted_now(context, now);
        if granted != told && tell(address, lease_until, &told, &granted) {
            log_event!(
                Info,
                events::TARGET_TOLD,
                "shards" = granted.len(),
                "before" = told.len()
            );
            told = granted;
        }
    }
}

fn granted_now(context: &RouterContext, now: BootTime) -> (BootTime, GrantTable) {
    let owner = context.owner();
    let lease_until = owner.lease_until();
    let granted = if now < lease_until {
        owner.held().collect()
    } else {
        GrantTable::new()
    };
    (lease_until, granted)
}

fn tell(address: SocketAddr, lease_until: BootTime, told: &GrantTable, now: &GrantTable) -> bool {
    let lease_end_ms = u64::try_from(lease_until.as_millis()).unwrap_or(u64::MAX);
    let granted: Vec<Value> = changes(now, told)
        .map(|(shard, token)| json!({ "shard": shard, "token": token, "lease_end_ms": lease_end_ms }))
        .collect();
    let released: Vec<Value> = changes(told, now)
        .map(|(shard, token)| json!({ "shard": shard, "token": token }))
        .collect();
    let notice = json!({ "granted": granted, "released": released });
    let answer = ureq::post(format!("http://{address}/_grants"))
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .send(notice.to_string());
    answer.is_ok_and(|answer| answer.status() != 503)
}

/// The entries of `table` that `other` lacks or has under another token.
fn changes<'a>(
    table: &'a GrantTable,
    other: &'a GrantTable,
) -> impl Iterator<Item = (&'a ShardId, &'a FencingToken)> {
    table
        .iter()
        .filter(|(shard, token)| other.get(*shard) != Some(*token))
}
