//! Fetches a newer record of a cell from other routers or from the store.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, RecordStamp, ServiceName};
use anvilrack_router::boot_clock;
use rand::seq::IndexedRandom;

use crate::ownership::read_cell;
use crate::peers::{CellRequest, PeerCall, PeerReply};
use crate::{NodeState, PlatformDialect};

/// Minimum time between two refreshes for one service, however many requests ask for one.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between two store reads for one service while no other router replies.
const MIN_STORE_READ_INTERVAL: Duration = Duration::from_millis(900);

/// Minimum time between two store reads for one service while other routers reply that they have no newer
/// record.
///
/// Routers send each other new records within milliseconds, so the store has a newer one only if these
/// routers are cut off from the coordinator as well.
const REPLIED_STORE_READ_INTERVAL: Duration = Duration::from_secs(3);

/// Number of routers that are asked in parallel.
const PEERS_TO_ASK: usize = 2;

/// Timeout for the reply of one router.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Times of the latest attempts to fetch a newer record of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefreshTimes {
    /// When other routers were last asked.
    asked_at: Option<BootTime>,
    /// When the store was last read.
    read_at: Option<BootTime>,
}

impl RefreshTimes {
    /// Returns whether other routers may be asked now and, if so, counts them as asked.
    fn claim_peer_query(&mut self, now: BootTime) -> bool {
        let due = self
            .asked_at
            .is_none_or(|at| now >= at + MIN_REFRESH_INTERVAL);
        if due {
            self.asked_at = Some(now);
        }
        due
    }

    /// Returns whether the store may be read now and, if so, counts it as read.
    fn claim_store_read(&mut self, interval: Duration, now: BootTime) -> bool {
        let due = self.read_at.is_none_or(|at| now >= at + interval);
        if due {
            self.read_at = Some(now);
        }
        due
    }
}

/// Starts a background task that looks for a newer record, unless one was started very recently.
pub fn refresh_cell<D: PlatformDialect>(node: &Arc<NodeState<D>>, service: &ServiceName) {
    if node.with_refresh_times(service, |times| times.claim_peer_query(boot_clock::now())) {
        tokio::spawn(fetch_newer_cell(node.clone(), service.clone()));
    }
}

async fn fetch_newer_cell<D: PlatformDialect>(node: Arc<NodeState<D>>, service: ServiceName) {
    let known = node.cell(&service).map(|cell| cell.version);
    let members = node.service_addresses(&service);
    let addresses: Vec<_> = members
        .choose_multiple(&mut rand::rng(), PEERS_TO_ASK)
        .copied()
        .collect();
    let call = PeerCall::PullCell(CellRequest {
        service: service.clone(),
        known: node.cell(&service).map(|cell| RecordStamp::new(&cell)),
        is_member: node.settings.service == service,
    });
    let mut interval = MIN_STORE_READ_INTERVAL;
    for reply in node.links.call_all(addresses, &call, ASK_TIMEOUT).await {
        if let Ok(PeerReply::Cell(update)) = reply {
            interval = REPLIED_STORE_READ_INTERVAL;
            if let Some(update) = update {
                node.apply_cell_update(update);
            }
        }
    }
    let newer = node.cell(&service).map(|cell| cell.version) != known;
    let may_read = |times: &mut RefreshTimes| times.claim_store_read(interval, boot_clock::now());
    if newer || !node.with_refresh_times(&service, may_read) {
        return;
    }
    match read_cell(&node.store, &service).await {
        Ok((Some(record), _)) => node.store_cell_record(record),
        Ok((None, _)) => {}
        Err(error) => log::debug!("cannot read the cell record of {service}: {error}"),
    }
}
