//! Becoming coordinator: creates a cell, or replaces a coordinator that stopped replying.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{BootTime, CellRecord, CoordinatorState, TakeoverStep, WriterStamp, events};
use anvilrack_router::boot_clock;
use tokio::time::sleep;

use crate::directory::{MetadataStoreError, StoreRevision, WriteResult};
use crate::ownership::cell_store::{read_cell, write_cell};
use crate::ownership::{SHARD_COUNT, coordinator_role};
use crate::peers::{PeerCall, PeerReply};
use crate::{NodeState, PlatformDialect, emit_event};

/// Interval between attempts to read back a write whose response was lost.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of the call that checks whether a router is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Loads the cell of this router's service from the store, or creates it if there is no record.
pub async fn find_or_create<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let service = &node.settings.service;
    match read_cell(&node.store, service).await {
        Ok((Some(record), _)) => node.store_cell_record(record),
        Ok((None, base)) => {
            let Some(member) = node.member() else { return };
            let record = CellRecord {
                service: service.clone(),
                epoch: 1,
                version: 1,
                writer: writer_stamp(node),
                coordinator: node.settings.node.clone(),
                members: vec![member],
                shards: vec![None; SHARD_COUNT as usize],
                ..CellRecord::default()
            };
            if let Some(sent_at) = write_until_resolved(node, &record, base).await {
                emit_event!(Info, events::CELL_CREATED, service = &**service);
                become_coordinator(node, record, sent_at, BootTime::ZERO);
            }
        }
        Err(error) => log::debug!("cannot read the cell record of {service}: {error}"),
    }
}

/// Takes over from a coordinator that stopped replying, or from this router's own previous run.
pub async fn take_over<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    known: &CellRecord,
    step: TakeoverStep,
) {
    let Ok((stored, base)) = read_cell(&node.store, &known.service).await else {
        return;
    };
    // If the record is missing or older, the store lost data or was restored from a backup, so the
    // known record is used.
    let record = stored.filter(|stored| stored.version >= known.version);
    let record = record.unwrap_or_else(|| known.clone());
    let restarted = record.coordinator == node.settings.node && node.coordinator().is_none();
    let may_take_over = match step {
        TakeoverStep::Wait => restarted,
        TakeoverStep::AsStandby => node.standby().is_named_standby(&record),
        TakeoverStep::AsOutsider => true,
    };
    if record.epoch > known.epoch || !may_take_over {
        node.store_cell_record(record);
        node.standby().on_answer(boot_clock::now());
        return;
    }
    let outsider = step == TakeoverStep::AsOutsider && !restarted;
    if outsider && may_be_taken_over_by_others(node, &record).await {
        return;
    }
    let Some(member) = node.member() else {
        return;
    };
    let next = record.next_epoch(member, writer_stamp(node));
    let silent_wait = if outsider {
        node.lease_terms.max_outage + node.lease_terms.silent_wait()
    } else {
        node.lease_terms.silent_wait()
    };
    node.standby().begin_takeover();
    let written = write_until_resolved(node, &next, base).await;
    node.standby().finish_takeover(boot_clock::now());
    if let Some(sent_at) = written {
        emit_event!(
            Warn,
            events::CELL_TAKEN_OVER,
            service = &*next.service,
            epoch = next.epoch,
            coordinator = &*next.coordinator,
            former = &*record.coordinator
        );
        become_coordinator(node, next, sent_at, silent_wait);
    }
}

/// Calls the coordinator and the standbys, and returns whether one of them can take over the cell.
///
/// An outsider, which is neither, has to wait long for silent owners because it does not know which
/// promises the standbys gave. A standby that is alive has to take over the cell instead, and a coordinator
/// that has restarted takes up its role again. A standby whose target has started another incarnation is no
/// standby any more, and a coordinator without a target cannot be one.
async fn may_be_taken_over_by_others<D: PlatformDialect>(
    node: &NodeState<D>,
    record: &CellRecord,
) -> bool {
    let candidates: Vec<_> = record
        .standbys
        .iter()
        .chain([&record.coordinator])
        .filter(|name| **name != node.settings.node)
        .filter_map(|name| record.member(name))
        .collect();
    let addresses = candidates.iter().map(|member| member.peer_address);
    let addresses = addresses.collect();
    let replies = node
        .links
        .call_all(addresses, &PeerCall::PullEntry, PROBE_TIMEOUT)
        .await;
    let mut replies = candidates.iter().zip(replies);
    replies.any(|(member, reply)| {
        let Ok(PeerReply::Entry(entry)) = reply else {
            return false;
        };
        let is_coordinator = member.node == record.coordinator;
        let target = entry.target.as_ref();
        target.is_some_and(|target| is_coordinator || target.incarnation == member.incarnation)
    })
}

/// Starts the coordinator role with a record that is known to be in the store.
fn become_coordinator<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    record: CellRecord,
    sent_at: BootTime,
    silent_wait: BootTime,
) {
    let now = boot_clock::now();
    let epoch = record.epoch;
    let state = CoordinatorState::new(record.clone(), node.lease_terms, sent_at, now, silent_wait);
    *node.coordinator() = Some(state);
    node.store_cell_record(record);
    tokio::spawn(coordinator_role::run(node.clone(), epoch));
}

/// Writes a record and retries until it is known whether the write took effect.
///
/// Returns the send time of the call that proved the write, or `None` if it had no effect.
async fn write_until_resolved<D: PlatformDialect>(
    node: &NodeState<D>,
    record: &CellRecord,
    base: StoreRevision,
) -> Option<BootTime> {
    let mut is_retry = false;
    loop {
        let sent_at = boot_clock::now();
        match write_cell(&node.store, record, base).await {
            Ok(WriteResult::Written(_)) => return Some(sent_at),
            Ok(WriteResult::Conflict | WriteResult::LeaseEnded)
            | Err(MetadataStoreError::Refused(_))
                if !is_retry =>
            {
                return None;
            }
            Ok(_) | Err(_) => {}
        }
        // The response was lost, or an earlier attempt may be the one that took effect.
        is_retry = true;
        emit_event!(Warn, events::CELL_WRITE_UNKNOWN, version = record.version);
        sleep(READ_BACK_INTERVAL).await;
        let sent_at = boot_clock::now();
        match read_cell(&node.store, &record.service).await {
            Ok((Some(stored), _)) if stored.is_same_write(record) => return Some(sent_at),
            Ok((_, found)) if found != base => return None,
            // The write may still be in transit; writing again resolves its outcome.
            Ok(_) | Err(_) => {}
        }
    }
}

fn writer_stamp<D: PlatformDialect>(node: &NodeState<D>) -> WriterStamp {
    WriterStamp {
        node: node.settings.node.clone(),
        incarnation: node.run,
        sequence: 0,
    }
}
