//! Watches the configuration in the store; runs on the coordinator of each cell.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{ConfigRecord, events};
use anvilrack_store::{CONFIG_KEY, KeyStore, StoreIndex, StoredValue};
use rand::Rng;

use crate::coordinator_handle::CoordinatorHandle;
use crate::log_event;
use crate::router_context::RouterContext;
use crate::store_records::parse_json;

/// Maximum time for which one watch call blocks.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Mean time before a failed call to the store is retried.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Watches for newer configurations while this router is the coordinator.
///
/// Each cell has a single watch; members receive the configuration in the replies to their
/// heartbeats.
pub fn run(handle: &CoordinatorHandle) {
    let context = &handle.context;
    let mut index = 0;
    while handle.record().is_some() {
        match context.store.wait(CONFIG_KEY, index, WATCH_WAIT) {
            Ok(Some(stored)) => {
                index = stored.index;
                accept_stored(context, &stored);
            }
            Ok(None) => {
                index = 0;
                restore_config(context, 0);
                context.pause(retry_backoff());
            }
            Err(_) => {
                context.pause(retry_backoff());
            }
        }
    }
}

fn retry_backoff() -> Duration {
    STORE_RETRY_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))
}

fn accept_stored(context: &RouterContext, stored: &StoredValue) {
    let config: ConfigRecord = match parse_json(&stored.value) {
        Ok(config) => config,
        Err(error) => {
            log::error!("cannot parse the configuration in the store: {error}");
            return;
        }
    };
    let known = context.routes().config().revision;
    let offered = config.revision;
    if offered < known {
        log_event!(
            Warn,
            events::CONFIG_REFUSED,
            "offered" = offered,
            "known" = known
        );
        restore_config(context, stored.index);
        return;
    }
    context.accept_config(Arc::new(config));
}

/// Writes the newest known configuration to a store that was restored from an older copy.
///
/// A configuration that was reported to an operator as applied must not be reverted. Several
/// coordinators may attempt this at once; compare-and-swap lets one of them succeed, and all write
/// the same value.
fn restore_config(context: &RouterContext, index: StoreIndex) {
    let config = context.routes().config().clone();
    if config.revision == 0 {
        return;
    }
    if let Ok(value) = serde_json::to_vec(&*config) {
        let outcome = context.store.write(CONFIG_KEY, index, &value);
        log_event!(
            Warn,
            events::CONFIG_PUT_BACK,
            "revision" = config.revision,
            "outcome" = format_args!("{outcome:?}")
        );
    }
}
