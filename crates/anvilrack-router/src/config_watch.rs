//! The configuration in the store, watched by each cell's coordinator.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{ConfigRecord, events};
use anvilrack_store::{CONFIG_KEY, KeyStore, StoreIndex, StoredValue};
use rand::Rng;

use crate::coordinator_term::CoordinatorTerm;
use crate::log_event;
use crate::router_context::RouterContext;
use crate::store_records::parse_json;

/// How long a watch waits in one call.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Time before a failed call to the store is tried again, on average.
const STORE_RETRY: Duration = Duration::from_millis(250);

/// Waits for newer configurations while this router is in office.
///
/// One watch a cell: members get the configuration with their heartbeats.
pub fn run(term: &CoordinatorTerm) {
    let context = &term.context;
    let mut index = 0;
    while term.record().is_some() {
        match context.store.wait(CONFIG_KEY, index, WATCH_WAIT) {
            Ok(Some(stored)) => {
                index = stored.index;
                take(context, &stored);
            }
            Ok(None) => {
                index = 0;
                put_back(context, 0);
                context.pause(retry_pause());
            }
            Err(_) => {
                context.pause(retry_pause());
            }
        }
    }
}

fn retry_pause() -> Duration {
    STORE_RETRY.mul_f64(rand::rng().random_range(0.5..1.5))
}

fn take(context: &RouterContext, stored: &StoredValue) {
    let config: ConfigRecord = match parse_json(&stored.value) {
        Ok(config) => config,
        Err(error) => {
            log::error!("the store's configuration cannot be read: {error}");
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
        put_back(context, stored.index);
        return;
    }
    context.accept_config(Arc::new(config));
}

/// Writes the newest configuration back into a store that was put back to an earlier copy.
///
/// What operators were told is applied must not revert. Several coordinators may try this at once;
/// compare-and-swap lets one of them through, and all of them write the same.
fn put_back(context: &RouterContext, index: StoreIndex) {
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
