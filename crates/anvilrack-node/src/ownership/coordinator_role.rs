//! This router as the coordinator of its cell.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellRecord, Epoch, PlacementWeights, RequestClass, ServiceRules, events,
};
use anvilrack_router::boot_clock;
use rand::Rng;
use tokio::time::sleep;

use crate::directory::{StoreFault, StoreRevision, WriteResult};
use crate::http_pool::within;
use crate::ownership::cell_store::{is_unchanged, read_cell, write_cell};
use crate::ownership::{PackedCell, SHARD_COUNT};
use crate::peers::{CellUpdate, PeerCall, PeerFault, PeerReply};
use crate::{NodeShared, PlatformDialect, tell};

/// Time between two looks at what is to be done, unless something happens.
const STEP: Duration = Duration::from_millis(100);

/// Time between two reads of the record, which prove that the office still stands.
const TOUCH_EVERY: Duration = Duration::from_millis(600);

/// The store is silent for this long before promises are asked for.
///
/// In ordinary times there are none, since a standby that promised takes over later.
const PROMISE_AFTER: Duration = Duration::from_millis(900);

/// A coordinator that the store does not answer for so long offers its office to a standby.
const RESIGN_AFTER: Duration = Duration::from_secs(1);

/// A member that is not heard from for so long is sent the record.
const MEMBER_SILENCE: Duration = Duration::from_millis(900);

/// Moves are planned only where the store has answered within this time.
const PLAN_CONTACT: Duration = Duration::from_millis(300);

/// Time between two plans; a plan looks at every shard.
const PLAN_EVERY: Duration = Duration::from_millis(80);

/// Time between two rounds of promises.
const PROMISE_EVERY: Duration = Duration::from_millis(350);

/// Time for one call to a router.
const CALL_LIMIT: Duration = Duration::from_millis(400);

/// A new cell waits this long after its newest member before shards are given out.
///
/// Else the first member would get all of them, and most would have to move again.
const SETTLE_AFTER: Duration = Duration::from_secs(1);

/// A new cell waits no longer than this for its members.
const SETTLE_LIMIT: Duration = Duration::from_secs(3);

/// Runs the cell under that epoch until another router takes it over or the process ends.
pub async fn run<D: PlatformDialect>(node: Arc<NodeShared<D>>, epoch: Epoch) {
    let promises = tokio::spawn(keep_promises(node.clone(), epoch));
    call_members(&node).await;
    let mut writer = RecordWriter::new(boot_clock::now());
    loop {
        let news = within(STEP, node.coordinator_news.notified()).await;
        if news.is_some() {
            writer.hurry();
        }
        if current_record(&node, epoch).is_none() {
            break;
        }
        if !writer.step(&node).await {
            let service = node.settings.service.clone();
            tell!(
                Warn,
                events::CELL_SUPERSEDED,
                service = &*service,
                epoch = epoch
            );
            *node.coordinator() = None;
            if let Ok((Some(record), _)) = read_cell(&node.store, &service).await {
                node.take_cell(record);
            }
            break;
        }
    }
    promises.abort();
}

/// Hands this router's office to a standby that reaches the store; says whether one takes it.
///
/// It may renew leases until the answer arrives, or is lost; the standby's wait for silent owners
/// covers that, as it covers the authority of any coordinator that is replaced.
pub async fn resign<D: PlatformDialect>(node: &Arc<NodeShared<D>>) -> bool {
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
        let answer = node.links.call(address, &call, &[], CALL_LIMIT).await;
        let declined = matches!(answer, Ok((PeerReply::Resigned(false), _)))
            || answer.as_ref().is_err_and(PeerFault::is_unsent);
        if declined {
            continue;
        }
        *node.coordinator() = None;
        tell!(
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

/// Tells every router about a newer record.
async fn push_cell<D: PlatformDialect>(node: &Arc<NodeShared<D>>, update: CellUpdate) {
    let members = node.service_addresses(&node.settings.service);
    let mut others = node.peer_addresses();
    others.retain(|address| !members.contains(address));
    let for_owners = PeerCall::Cell(update.clone());
    let for_others = PeerCall::Cell(update.without_handovers());
    tokio::join!(
        node.links.call_all(members, &for_owners, CALL_LIMIT),
        node.links.call_all(others, &for_others, CALL_LIMIT),
    );
}

fn current_record<D: PlatformDialect>(node: &NodeShared<D>, epoch: Epoch) -> Option<CellRecord> {
    let coordinator = node.coordinator();
    let state = coordinator.as_ref()?;
    (state.record().epoch == epoch && !state.is_superseded()).then(|| state.record().clone())
}

/// Tells every member about the new epoch; those that answer are not in doubt.
async fn call_members<D: PlatformDialect>(node: &Arc<NodeShared<D>>) {
    let Some(record) = node.cell(&node.settings.service) else {
        return;
    };
    let call = PeerCall::Takeover(PackedCell::new(&record));
    let others = record
        .members
        .iter()
        .filter(|member| member.node != node.settings.node);
    let addresses = others.map(|member| member.peer_address).collect();
    let answers = node.links.call_all(addresses, &call, CALL_LIMIT).await;
    let now = boot_clock::now();
    let mut coordinator = node.coordinator();
    let Some(state) = coordinator.as_mut() else {
        return;
    };
    for answer in answers.into_iter().flatten() {
        if let PeerReply::TakeoverSeen(Some(report)) = answer {
            state.on_heartbeat(&report, now);
        }
    }
}

/// Asks the standbys not to take over while the store is silent, so that the promises are in place
/// before the authority from the store ends.
async fn keep_promises<D: PlatformDialect>(node: Arc<NodeShared<D>>, epoch: Epoch) {
    loop {
        sleep(PROMISE_EVERY).await;
        let Some(record) = current_record(&node, epoch) else {
            return;
        };
        let asked = {
            let coordinator = node.coordinator();
            let state = coordinator.as_ref();
            state.map(|state| (state.successors(), state.last_store_contact()))
        };
        let Some((successors, contact)) = asked else {
            return;
        };
        if boot_clock::now() < contact + PROMISE_AFTER {
            continue;
        }
        let known: Vec<_> = successors
            .into_iter()
            .filter_map(|name| Some((record.member(&name)?.peer_address, name)))
            .collect();
        let addresses = known.iter().map(|(address, _)| *address).collect();
        let call = PeerCall::Promise(record.service.clone(), record.epoch);
        let sent_at = boot_clock::now();
        let answers = node.links.call_all(addresses, &call, CALL_LIMIT).await;
        let mut coordinator = node.coordinator();
        let Some(state) = coordinator.as_mut() else {
            return;
        };
        for (answer, (_, name)) in answers.into_iter().zip(known) {
            if matches!(answer, Ok(PeerReply::Promised(true))) {
                state.on_promise(&name, sent_at);
            }
        }
    }
}

/// Reads and writes the cell's record during one term of office.
#[derive(Debug)]
struct RecordWriter {
    revision: Option<StoreRevision>,
    next_touch: BootTime,
    /// The revision that a write of unknown outcome was made on.
    unresolved: Option<StoreRevision>,
    began: BootTime,
    members_seen: usize,
    member_came_at: BootTime,
    outage: bool,
    /// When the store was last known to answer.
    answered_at: BootTime,
    next_plan: BootTime,
    next_call: BootTime,
}

impl RecordWriter {
    fn new(now: BootTime) -> Self {
        Self {
            revision: None,
            next_touch: now,
            unresolved: None,
            began: now,
            members_seen: 0,
            member_came_at: now,
            outage: false,
            answered_at: now,
            next_plan: now,
            next_call: now + MEMBER_SILENCE,
        }
    }

    /// There is something to decide, which takes a store that has answered a moment ago.
    fn hurry(&mut self) {
        if !self.outage && boot_clock::now() > self.answered_at + PLAN_CONTACT / 2 {
            self.next_touch = boot_clock::now();
        }
    }

    /// Does what is due; false once the office is lost.
    async fn step<D: PlatformDialect>(&mut self, node: &Arc<NodeShared<D>>) -> bool {
        let now = boot_clock::now();
        let due = now >= self.next_touch || (self.revision.is_none() && !self.outage);
        if due && !self.touch(node).await {
            return false;
        }
        if let Some(base) = self.revision {
            self.write_plan(node, base).await;
        }
        self.call_silent(node);
        true
    }

    /// Reads the record: proof of office, and the answer to a write whose reply was lost.
    async fn touch<D: PlatformDialect>(&mut self, node: &Arc<NodeShared<D>>) -> bool {
        let sent_at = boot_clock::now();
        self.next_touch = sent_at + TOUCH_EVERY;
        let read = self.read(node).await;
        self.tell_outage(node, read.as_ref().err());
        let Ok((stored, revision)) = read else {
            if sent_at > self.answered_at + RESIGN_AFTER && resign(node).await {
                return true;
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            self.next_touch = boot_clock::now() + (TOUCH_EVERY / 2).mul_f64(jitter);
            return true;
        };
        self.answered_at = sent_at;
        let refused = self.unresolved.take_if(|based_on| *based_on != revision);
        let published = {
            let mut coordinator = node.coordinator();
            let Some(state) = coordinator.as_mut() else {
                return false;
            };
            let had = state.record().version;
            let stands = state.on_store_seen(&stored, sent_at);
            if refused.is_some() {
                state.on_refused();
            }
            if !stands {
                return false;
            }
            (state.record().version > had).then(|| state.record().clone())
        };
        self.revision = Some(revision);
        if let Some(record) = published {
            publish(node, record);
        }
        true
    }

    /// Sends the record to members that stay silent.
    ///
    /// One that started anew while the store is away knows no router, and so no coordinator.
    fn call_silent<D: PlatformDialect>(&mut self, node: &Arc<NodeShared<D>>) {
        let now = boot_clock::now();
        if now < self.next_call {
            return;
        }
        self.next_call = now + MEMBER_SILENCE;
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
            node.links.call_all(addresses, &call, CALL_LIMIT).await;
        });
    }

    /// Finds out which record the store holds; where it is the known one, few bytes travel.
    async fn read<D: PlatformDialect>(
        &self,
        node: &Arc<NodeShared<D>>,
    ) -> Result<(CellRecord, StoreRevision), StoreFault> {
        let service = &node.settings.service;
        if let Some(revision) = self.revision
            && is_unchanged(&node.store, service, revision).await?
            && let Some(state) = node.coordinator().as_ref()
        {
            return Ok((state.record().clone(), revision));
        }
        let (stored, revision) = read_cell(&node.store, service).await?;
        // A store that lost the record altogether is like one put back to its very beginning.
        Ok((stored.unwrap_or_default(), revision))
    }

    /// Writes what is planned; a write of unknown outcome is sent again as it was.
    async fn write_plan<D: PlatformDialect>(
        &mut self,
        node: &Arc<NodeShared<D>>,
        base: StoreRevision,
    ) {
        let now = boot_clock::now();
        let next = {
            let mut coordinator = node.coordinator();
            let Some(state) = coordinator.as_mut() else {
                return;
            };
            let waits = now < self.next_plan || self.is_settling(state.record(), node, now);
            // What was released cannot be given to anyone while the store is away, so nothing moves.
            let doubtful = now > state.last_store_contact() + PLAN_CONTACT;
            if state.pending().is_none() && (waits || doubtful) {
                return;
            }
            self.next_plan = now + PLAN_EVERY;
            state.set_weights(PlacementWeights::default());
            let pending = state.pending().cloned();
            pending.or_else(|| state.plan(&shard_rules(), 0, now))
        };
        let Some(next) = next else { return };
        let sent_at = boot_clock::now();
        let outcome = write_cell(&node.store, &next, base).await;
        self.revision = None;
        match outcome {
            Ok(WriteResult::Written(revision)) => {
                self.answered_at = sent_at;
                self.unresolved = None;
                self.revision = Some(revision);
                if let Some(state) = node.coordinator().as_mut() {
                    state.on_committed(sent_at);
                }
                publish(node, next);
            }
            Ok(WriteResult::Conflict | WriteResult::LeaseEnded) => self.unresolved = Some(base),
            Err(fault) => {
                if !matches!(fault, StoreFault::Refused(_)) || self.unresolved.is_some() {
                    self.unresolved = Some(base);
                }
                tell!(
                    Warn,
                    events::CELL_WRITE_UNKNOWN,
                    version = next.version,
                    fault = fault.to_string()
                );
                self.outage = true;
                self.next_touch = boot_clock::now() + TOUCH_EVERY / 2;
            }
        }
    }

    /// True while a new cell still gathers its members.
    fn is_settling<D: PlatformDialect>(
        &mut self,
        record: &CellRecord,
        node: &NodeShared<D>,
        now: BootTime,
    ) -> bool {
        if record.shards.iter().any(Option::is_some) || now > self.began + SETTLE_LIMIT {
            return false;
        }
        let members = node.service_size(&record.service);
        if members != self.members_seen {
            self.members_seen = members;
            self.member_came_at = now;
        }
        now < self.member_came_at + SETTLE_AFTER
    }

    fn tell_outage<D: PlatformDialect>(
        &mut self,
        node: &NodeShared<D>,
        fault: Option<&StoreFault>,
    ) {
        match fault {
            Some(fault) if !self.outage => tell!(
                Warn,
                events::OUTAGE_BEGAN,
                service = &*node.settings.service,
                fault = fault.to_string()
            ),
            None if self.outage => {
                tell!(
                    Info,
                    events::OUTAGE_ENDED,
                    service = &*node.settings.service
                );
            }
            _ => {}
        }
        self.outage = fault.is_some();
    }
}

/// Makes a committed record known to this router and to all others.
fn publish<D: PlatformDialect>(node: &Arc<NodeShared<D>>, record: CellRecord) {
    tell!(
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
        |known| node.keep_step(&known, &record),
    );
    node.take_cell(record);
    let node = node.clone();
    tokio::spawn(async move { push_cell(&node, update).await });
}

/// Targets refuse older tokens, so an owner's end is enough for the next one.
fn shard_rules() -> ServiceRules {
    ServiceRules {
        divided_by_key: true,
        shards: SHARD_COUNT,
        slots: 0,
        connections: 0,
        checks_fence: true,
        max_timeout_ms: 0,
        class: RequestClass::default(),
        regions: Vec::new(),
        pinned_keys: std::collections::BTreeMap::default(),
    }
}
