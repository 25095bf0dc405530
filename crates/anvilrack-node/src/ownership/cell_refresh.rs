//! Getting a newer record of a cell than this router has.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, ServiceName};
use anvilrack_router::boot_clock;
use rand::seq::IndexedRandom;

use crate::ownership::read_cell;
use crate::peers::{PeerCall, PeerReply};
use crate::{NodeShared, PlatformDialect};

/// Time between two tries for one service, however many requests ask.
const REFRESH_EVERY: Duration = Duration::from_millis(150);

/// Time between two reads from the store for one service.
///
/// Routers tell each other within milliseconds; the store is for a router that finds nobody.
const STORE_EVERY: Duration = Duration::from_millis(900);

/// Routers that are asked side by side.
const ASKED: usize = 2;

/// Time for one answer.
const ASK_LIMIT: Duration = Duration::from_millis(300);

/// When records of one service were asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefreshTimes {
    asked_at: Option<BootTime>,
    read_at: Option<BootTime>,
}

impl RefreshTimes {
    /// True where routers may be asked now; counts as asked then.
    fn may_ask(&mut self, now: BootTime) -> bool {
        let due = self.asked_at.is_none_or(|at| now >= at + REFRESH_EVERY);
        if due {
            self.asked_at = Some(now);
        }
        due
    }

    /// True where the store may be read now; counts as read then.
    fn may_read(&mut self, now: BootTime) -> bool {
        let due = self.read_at.is_none_or(|at| now >= at + STORE_EVERY);
        if due {
            self.read_at = Some(now);
        }
        due
    }
}

/// Starts to look for a newer record, unless that was done a moment ago.
pub fn refresh_cell<D: PlatformDialect>(node: &Arc<NodeShared<D>>, service: &ServiceName) {
    if node.with_refresh(service, |times| times.may_ask(boot_clock::now())) {
        tokio::spawn(look_for_cell(node.clone(), service.clone()));
    }
}

async fn look_for_cell<D: PlatformDialect>(node: Arc<NodeShared<D>>, service: ServiceName) {
    let known = node.cell(&service).map(|cell| cell.version);
    let members = node.service_addresses(&service);
    let asked: Vec<_> = members
        .choose_multiple(&mut rand::rng(), ASKED)
        .copied()
        .collect();
    let call = PeerCall::PullCell(service.clone());
    for answer in node.links.call_all(asked, &call, ASK_LIMIT).await {
        if let Ok(PeerReply::Cell(Some(packed))) = answer {
            node.take_cell(packed.unpack());
        }
    }
    let newer = node.cell(&service).map(|cell| cell.version) != known;
    if newer || !node.with_refresh(&service, |times| times.may_read(boot_clock::now())) {
        return;
    }
    match read_cell(&node.store, &service).await {
        Ok((Some(record), _)) => node.take_cell(record),
        Ok((None, _)) => {}
        Err(fault) => log::debug!("cell of {service} cannot be read: {fault}"),
    }
}
