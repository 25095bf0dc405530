//! The coordinator role: plans, writes and distributes the cell's record.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, Epoch, PlacementWeights, RegionName, RequestClass, ServiceRules, events,
};
use anvilrack_router::boot_clock;
use rand::Rng;
use tokio::time::sleep;

use crate::directory::{MetadataStore, MetadataStoreError, StoreEra, StoreRevision, WriteResult};
use crate::http_pool::within;
use crate::ownership::cell_store::{is_unchanged, read_cell, write_cell};
use crate::ownership::{PackedCell, SHARD_COUNT};
use crate::peers::{CallError, CellUpdate, PeerCall, PeerReply};
use crate::{NodeState, PlatformDialect, emit_event};

/// Time between two checks for due work; a notification triggers a check earlier.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval of the record reads that confirm that this router is still the coordinator.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Standbys are asked for promises once the store has not responded for this long.
///
/// In normal operation no promises are asked for, because a standby that gave one takes over later.
const PROMISE_AFTER: Duration = Duration::from_millis(900);

/// A coordinator that has had no response from the store for this long offers its role to a standby.
const RESIGN_AFTER: Duration = Duration::from_secs(1);

/// A member that has not been heard from for this long is sent the record.
const MEMBER_SILENCE: Duration = Duration::from_millis(900);

/// Moves are planned only if the store has responded within this time.
const MAX_STORE_CONTACT_AGE: Duration = Duration::from_millis(300);

/// Minimum time between two plans; planning examines every shard.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(80);

/// Interval between two rounds of asking standbys for promises.
const PROMISE_INTERVAL: Duration = Duration::from_millis(350);

/// Timeout of one call to another router.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Shards of a new cell are assigned once its membership has not changed for this long.
///
/// Otherwise the first member would get all shards, and most of them would have to move again.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Maximum time that a new cell waits for its members.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Coordinates the cell in the given epoch until another router takes it over or the process ends.
pub async fn run<D: PlatformDialect>(node: Arc<NodeState<D>>, epoch: Epoch) {
    let promises = tokio::spawn(maintain_promises(node.clone(), epoch));
    announce_takeover(&node).await;
    let mut writer = RecordWriter::new(boot_clock::now());
    loop {
        let notified = within(POLL_INTERVAL, node.coordinator_updates.notified()).await;
        if notified.is_some() {
            writer.schedule_store_check();
        }
        if current_record(&node, epoch).is_none() {
            break;
        }
        if !writer.step(&node).await {
            let service = node.settings.service.clone();
            emit_event!(
                Warn,
                events::CELL_SUPERSEDED,
                service = &*service,
                epoch = epoch
            );
            *node.coordinator() = None;
            if let Ok((Some(record), _)) = read_cell(&node.store, &service).await {
                node.store_cell_record(record);
            }
            break;
        }
    }
    promises.abort();
}

/// Hands the coordinator role to a standby that reaches the store, and returns whether a standby
/// accepted it. A call whose reply was lost counts as accepted.
///
/// Until the reply arrives or is lost, this router may still renew leases. The standby's wait for
/// silent owners covers those renewals, as it does for any coordinator that is replaced.
pub async fn resign<D: PlatformDialect>(node: &Arc<NodeState<D>>) -> bool {
    let record = {
        let coordinator = node.coordinator();
        let Some(state) = coordinator.as_ref() else {
            return false;
        };
        state.record().clone()
    };
    let standbys = record.standbys.iter();
    let addresses: Vec<_> = standbys
        .filter_map(|name| Some(record.member(name)?.peer_address))
        .collect();
    let call = PeerCall::Resign(record.service.clone(), record.epoch);
    for address in addresses {
        let reply = node.links.call(address, &call, CALL_TIMEOUT).await;
        let declined = matches!(reply, Ok((PeerReply::Resigned(false), _)))
            || reply.as_ref().is_err_and(CallError::is_unsent);
        if declined {
            continue;
        }
        *node.coordinator() = None;
        emit_event!(
            Info,
            events::CELL_RESIGNED,
            service = &*record.service,
            epoch = record.epoch,
            to = address.to_string()
        );
        return true;
    }
    false
}

/// Sends a newer record to every router; only routers of the cell's service get handover values.
async fn push_cell<D: PlatformDialect>(node: &Arc<NodeState<D>>, update: CellUpdate) {
    let members = node.service_addresses(&node.settings.service);
    let mut others = node.peer_addresses();
    others.retain(|address| !members.contains(address));
    let for_owners = PeerCall::Cell(update.clone());
    let for_others = PeerCall::Cell(update.without_handovers());
    tokio::join!(
        node.links.call_all(members, &for_owners, CALL_TIMEOUT),
        node.links.call_all(others, &for_others, CALL_TIMEOUT),
    );
}

/// Returns the record if this router still coordinates the cell in the given epoch.
fn current_record<D: PlatformDialect>(node: &NodeState<D>, epoch: Epoch) -> Option<CellRecord> {
    let coordinator = node.coordinator();
    let state = coordinator.as_ref()?;
    (state.record().epoch == epoch && !state.is_superseded()).then(|| state.record().clone())
}

/// Announces the new epoch to every member.
///
/// A reply counts as a heartbeat, and from then on the end of that member's lease is known.
async fn announce_takeover<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let Some(record) = node.cell(&node.settings.service) else {
        return;
    };
    let call = PeerCall::Takeover(PackedCell::new(&record));
    let others = record
        .members
        .iter()
        .filter(|member| member.node != node.settings.node);
    let addresses = others.map(|member| member.peer_address).collect();
    let replies = node.links.call_all(addresses, &call, CALL_TIMEOUT).await;
    let now = boot_clock::now();
    let mut coordinator = node.coordinator();
    let Some(state) = coordinator.as_mut() else {
        return;
    };
    for reply in replies.into_iter().flatten() {
        if let PeerReply::TakeoverSeen(Some(report)) = reply {
            state.on_heartbeat(&report, now);
        }
    }
}

/// Asks the standbys to promise not to take over while the store does not respond, so that the promises
/// are in place before the authority from the last store contact ends.
async fn maintain_promises<D: PlatformDialect>(node: Arc<NodeState<D>>, epoch: Epoch) {
    loop {
        sleep(PROMISE_INTERVAL).await;
        let Some(record) = current_record(&node, epoch) else {
            return;
        };
        let promise_state = {
            let coordinator = node.coordinator();
            let state = coordinator.as_ref();
            state.map(|state| (state.successors(), state.last_store_contact()))
        };
        let Some((successors, last_contact)) = promise_state else {
            return;
        };
        if boot_clock::now() < last_contact + PROMISE_AFTER {
            continue;
        }
        let standbys: Vec<_> = successors
            .into_iter()
            .filter_map(|name| Some((record.member(&name)?.peer_address, name)))
            .collect();
        let addresses = standbys.iter().map(|(address, _)| *address).collect();
        let call = PeerCall::Promise(record.service.clone(), record.epoch);
        let sent_at = boot_clock::now();
        let replies = node.links.call_all(addresses, &call, CALL_TIMEOUT).await;
        let mut coordinator = node.coordinator();
        let Some(state) = coordinator.as_mut() else {
            return;
        };
        for (reply, (_, name)) in replies.into_iter().zip(standbys) {
            if matches!(reply, Ok(PeerReply::Promised(true))) {
                state.on_promise(&name, sent_at);
            }
        }
    }
}

/// Reads and writes the cell's record during one epoch.
#[derive(Debug)]
struct RecordWriter {
    /// Revision of the stored record; `None` if it has to be read first.
    revision: Option<StoreRevision>,
    next_store_check: BootTime,
    /// Revision that a write of unknown outcome was based on.
    unresolved: Option<StoreRevision>,
    started_at: BootTime,
    member_count: usize,
    members_changed_at: BootTime,
    outage: bool,
    /// Send time of the latest call that the store responded to.
    store_responded_at: BootTime,
    next_plan: BootTime,
    next_member_call: BootTime,
    /// The era of the store to which `revision` belongs.
    era: StoreEra,
}

impl RecordWriter {
    fn new(now: BootTime) -> Self {
        Self {
            revision: None,
            next_store_check: now,
            unresolved: None,
            started_at: now,
            member_count: 0,
            members_changed_at: now,
            outage: false,
            store_responded_at: now,
            next_plan: now,
            next_member_call: now + MEMBER_SILENCE,
            era: 0,
        }
    }

    /// Schedules a store check, because a decision needs a store that has responded recently.
    fn schedule_store_check(&mut self) {
        if !self.outage && boot_clock::now() > self.store_responded_at + MAX_STORE_CONTACT_AGE / 2 {
            self.next_store_check = boot_clock::now();
        }
    }

    /// Does the work that is due; returns false once this router is no longer the coordinator.
    async fn step<D: PlatformDialect>(&mut self, node: &Arc<NodeState<D>>) -> bool {
        let now = boot_clock::now();
        let era = node.store.era();
        if std::mem::replace(&mut self.era, era) != era {
            // The store has come back from an older copy, where the revision may be another record's.
            self.revision = None;
        }
        let due = now >= self.next_store_check || (self.revision.is_none() && !self.outage);
        if due && !self.check_store(node).await {
            return false;
        }
        if let Some(base) = self.revision {
            self.write_plan(node, base).await;
        }
        self.send_to_silent_members(node);
        true
    }

    /// Reads the record, which confirms the coordinator role and resolves a write whose response was lost.
    ///
    /// Returns false if another router has taken over.
    async fn check_store<D: PlatformDialect>(&mut self, node: &Arc<NodeState<D>>) -> bool {
        let sent_at = boot_clock::now();
        self.next_store_check = sent_at + STORE_CHECK_INTERVAL;
        let read = self.read(node).await;
        self.log_outage(node, read.as_ref().err());
        let Ok((stored, revision)) = read else {
            if sent_at > self.store_responded_at + RESIGN_AFTER && resign(node).await {
                return true;
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            self.next_store_check = boot_clock::now() + (STORE_CHECK_INTERVAL / 2).mul_f64(jitter);
            return true;
        };
        self.store_responded_at = sent_at;
        let refused = self.unresolved.take_if(|based_on| *based_on != revision);
        let published = {
            let mut coordinator = node.coordinator();
            let Some(state) = coordinator.as_mut() else {
                return false;
            };
            let known_version = state.record().version;
            let is_current = state.on_store_read(&stored, sent_at);
            if refused.is_some() {
                state.on_refused();
            }
            if !is_current {
                return false;
            }
            (state.record().version > known_version).then(|| state.record().clone())
        };
        self.revision = Some(revision);
        if let Some(record) = published {
            publish(node, record);
        }
        true
    }

    /// Sends the record to members that have not been heard from.
    ///
    /// A member that restarted during a store outage knows no other router, so it cannot find the
    /// coordinator.
    fn send_to_silent_members<D: PlatformDialect>(&mut self, node: &Arc<NodeState<D>>) {
        let now = boot_clock::now();
        if now < self.next_member_call {
            return;
        }
        self.next_member_call = now + MEMBER_SILENCE;
        let (addresses, update) = {
            let coordinator = node.coordinator();
            let Some(state) = coordinator.as_ref() else {
                return;
            };
            let silent = state.silent_members(MEMBER_SILENCE, now);
            let addresses: Vec<_> = silent.map(|member| member.peer_address).collect();
            (addresses, CellUpdate::Full(PackedCell::new(state.record())))
        };
        if addresses.is_empty() {
            return;
        }
        let node = node.clone();
        tokio::spawn(async move {
            let call = PeerCall::Cell(update);
            node.links.call_all(addresses, &call, CALL_TIMEOUT).await;
        });
    }

    /// Returns the stored record; if it is unchanged, the store sends no value.
    async fn read<D: PlatformDialect>(
        &self,
        node: &Arc<NodeState<D>>,
    ) -> Result<(CellRecord, StoreRevision), MetadataStoreError> {
        let service = &node.settings.service;
        if let Some(revision) = self.revision
            && is_unchanged(&node.store, service, revision).await?
            && node.store.era() == self.era
            && let Some(state) = node.coordinator().as_ref()
        {
            return Ok((state.record().clone(), revision));
        }
        let (stored, revision) = read_cell(&node.store, service).await?;
        // A store that lost the record is treated like one that was restored to an empty state.
        Ok((stored.unwrap_or_default(), revision))
    }

    /// Plans and writes the next record; a write of unknown outcome is repeated unchanged.
    async fn write_plan<D: PlatformDialect>(
        &mut self,
        node: &Arc<NodeState<D>>,
        base: StoreRevision,
    ) {
        let now = boot_clock::now();
        let rules = shard_rules(node.shard_regions().unwrap_or_default());
        let next = {
            let mut coordinator = node.coordinator();
            let Some(state) = coordinator.as_mut() else {
                return;
            };
            let must_wait = now < self.next_plan
                || self.is_settling(state.record(), node, now)
                || !node.has_joined_evacuations();
            // A released shard cannot be assigned during a store outage, so no moves are planned.
            let is_contact_stale = now > state.last_store_contact() + MAX_STORE_CONTACT_AGE;
            if state.pending().is_none() && (must_wait || is_contact_stale) {
                return;
            }
            self.next_plan = now + MIN_PLAN_INTERVAL;
            state.set_weights(PlacementWeights::default());
            state.set_evacuated(node.evacuated_domains());
            let pending = state.pending().cloned();
            pending.or_else(|| state.plan(&rules, 0, now))
        };
        let Some(next) = next else { return };
        let sent_at = boot_clock::now();
        let outcome = write_cell(&node.store, &next, base).await;
        self.revision = None;
        match outcome {
            Ok(WriteResult::Written(revision)) => {
                self.store_responded_at = sent_at;
                self.unresolved = None;
                self.revision = Some(revision);
                if let Some(state) = node.coordinator().as_mut() {
                    state.on_committed(sent_at);
                }
                publish(node, next);
            }
            Ok(WriteResult::Conflict | WriteResult::LeaseEnded) => self.unresolved = Some(base),
            Err(error) => {
                if !matches!(error, MetadataStoreError::Refused(_)) || self.unresolved.is_some() {
                    self.unresolved = Some(base);
                }
                emit_event!(
                    Warn,
                    events::CELL_WRITE_UNKNOWN,
                    version = next.version,
                    fault = error.to_string()
                );
                self.outage = true;
                self.next_store_check = boot_clock::now() + STORE_CHECK_INTERVAL / 2;
            }
        }
    }

    /// Returns whether a new cell still waits for its members.
    fn is_settling<D: PlatformDialect>(
        &mut self,
        record: &CellRecord,
        node: &NodeState<D>,
        now: BootTime,
    ) -> bool {
        if record.shards.iter().any(Option::is_some) || now > self.started_at + MAX_SETTLE_TIME {
            return false;
        }
        let members = node.service_size(&record.service);
        if members != self.member_count {
            self.member_count = members;
            self.members_changed_at = now;
        }
        now < self.members_changed_at + SETTLE_TIME
    }

    /// Logs the beginning or the end of a store outage.
    fn log_outage<D: PlatformDialect>(
        &mut self,
        node: &NodeState<D>,
        error: Option<&MetadataStoreError>,
    ) {
        match error {
            Some(error) if !self.outage => emit_event!(
                Warn,
                events::OUTAGE_BEGAN,
                service = &*node.settings.service,
                fault = error.to_string()
            ),
            None if self.outage => {
                emit_event!(
                    Info,
                    events::OUTAGE_ENDED,
                    service = &*node.settings.service
                );
            }
            _ => {}
        }
        self.outage = error.is_some();
    }
}

/// Applies a committed record at this router and sends it to all others.
fn publish<D: PlatformDialect>(node: &Arc<NodeState<D>>, record: CellRecord) {
    emit_event!(
        Info,
        events::CELL_WRITTEN,
        service = &*record.service,
        epoch = record.epoch,
        version = record.version,
        members = record.members.len(),
        unowned = record.unowned(),
        last_token = record.last_token
    );
    let update = node.cell(&record.service).map_or_else(
        || CellUpdate::Full(PackedCell::new(&record)),
        |known| node.keep_last_delta(&known, &record),
    );
    node.store_cell_record(record);
    let node = node.clone();
    tokio::spawn(async move { push_cell(&node, update).await });
}

/// Returns the rules by which shards are assigned to members in the given regions; in all if it is empty.
///
/// Targets reject older fencing tokens, so a shard can be assigned to the next owner as soon as the
/// previous one has ended.
fn shard_rules(regions: Vec<RegionName>) -> ServiceRules {
    ServiceRules {
        divided_by_key: true,
        shards: SHARD_COUNT,
        slots: 0,
        connections: 0,
        checks_fence: true,
        max_timeout_ms: 0,
        class: RequestClass::default(),
        regions,
        pinned_keys: std::collections::BTreeMap::default(),
    }
}
