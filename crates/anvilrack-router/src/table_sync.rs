//! Fetches the routing tables of other cells.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, ServiceName};
use anvilrack_peer::LinkClass;
use anvilrack_wire::{PeerReply, PeerRequest};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::boot_clock;
use crate::router_context::RouterContext;
use crate::store_records::{read_cell, read_config};

/// Mean interval between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of other cells whose coordinators are called in one round.
const PEERS_PER_ROUND: usize = 4;

/// Timeout for one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between two reads of the same key in the store.
const MIN_STORE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Fetches newer records of other cells and newer configurations until the process ends.
///
/// Only coordinators and routers without a cell do so; all other routers receive the records in the
/// replies to their heartbeats. A change therefore reaches other cells in two hops: to their
/// coordinators, and from there to their members.
pub fn run(context: &Arc<RouterContext>) {
    let mut reader = StoreReader::default();
    while context.pause(ROUND_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2))) {
        let in_cell = context.own_cell().is_some();
        if in_cell && context.coordinator().is_none() {
            continue;
        }
        if context.routes().config().revision == 0 {
            reader.read_config(context);
        }
        sync_round(context, &mut reader, in_cell);
    }
}

fn sync_round(context: &RouterContext, reader: &mut StoreReader, in_cell: bool) {
    let own = context.service().filter(|_| in_cell);
    let routes = context.routes();
    let services = routes.config().document.services.keys();
    let others: Vec<_> = services
        .filter(|service| Some(*service) != own.as_ref())
        .collect();
    let selected = others.choose_multiple(&mut rand::rng(), PEERS_PER_ROUND);
    for service in selected {
        let coordinator = routes.cell(service).and_then(|cell| {
            let member = cell.member(&cell.coordinator)?;
            Some(member.peer_address)
        });
        let request = PeerRequest::Pull(context.digest());
        let reply = coordinator.map(|address| {
            context
                .links
                .call(address, LinkClass::Control, &request, CALL_TIMEOUT)
        });
        match reply {
            Some(Ok(PeerReply::Update(update))) => context.accept_update(update),
            _ => reader.read_cell(context, service),
        }
    }
}

/// Reads the store at a limited rate for each key.
#[derive(Debug, Default)]
struct StoreReader {
    last_reads: BTreeMap<ServiceName, BootTime>,
}

impl StoreReader {
    fn read_cell(&mut self, context: &RouterContext, service: &ServiceName) {
        if !self.is_due(service) {
            return;
        }
        match read_cell(&context.store, service) {
            Ok((Some(record), _)) => context.accept_cell(Arc::new(record)),
            Ok((None, _)) => {}
            Err(error) => log::debug!("cannot read the cell record of {service}: {error}"),
        }
    }

    fn read_config(&mut self, context: &RouterContext) {
        if !self.is_due(&"".into()) {
            return;
        }
        match read_config(&context.store) {
            Ok((Some(config), _)) => context.accept_config(Arc::new(config)),
            Ok((None, _)) => {}
            Err(error) => log::debug!("cannot read the configuration: {error}"),
        }
    }

    fn is_due(&mut self, name: &ServiceName) -> bool {
        let now = boot_clock::now();
        let last = self.last_reads.get(name).copied();
        let due = last.is_none_or(|last| now > last + MIN_STORE_READ_INTERVAL);
        if due {
            self.last_reads.insert(name.clone(), now);
        }
        due
    }
}
