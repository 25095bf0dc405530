//! Keeps what targets said about leaving where the next process of this router finds it.
//!
//! An acknowledgement that a target is leaving binds the next process too. So the departures are written to the
//! platform's store, and other routers keep them for a time in which the store does not respond. A process that starts
//! reads both before it uses a target that reports itself.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilrack_core::{
    BootTime, DEPARTURE_RETENTION, DepartureKeeper, DepartureReading, DepartureReceipt,
    DepartureVersion, ReadingSource, ReadingStep, ReceiptStep, TargetDeparture, departure_keepers,
    events,
};
use anvilrack_router::boot_clock;
use anvilrack_wire::{decode, encode};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use crate::directory::{
    MetadataStore, MetadataStoreError, StoreItem, StoreRevision, StoreWrite, WriteResult,
};
use crate::guard::{NotificationKind, TargetNotification};
use crate::http_pool::{ConnectionAge, within};
use crate::mutex_lock::lock;
use crate::peers::{PeerCall, PeerReply};
use crate::retry_backoff::RetryBackoff;
use crate::{NodeState, PlatformDialect, TargetRequestInfo, emit_event, observe};

/// Key prefix of the departures in the store; the router's name follows.
const DEPARTURES_PREFIX: &str = "anvilrack/departures/";

/// Number of other routers that keep the departures of one.
const KEEPER_COUNT: usize = 4;

/// Timeout of a call to the routers that keep departures.
const KEEPER_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before the routers that keep departures are called again.
const KEEPER_PAUSE: Duration = Duration::from_millis(300);

/// Pause between attempts while the store does not respond: at first, and after many attempts.
const RETRY_PAUSES: RetryBackoff = RetryBackoff::new(150, 1_200);

/// Interval between two checks whether the store has come back from an older copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a starting router waits for the directory before it asks the routers that it knows.
const DIRECTORY_WAIT: Duration = Duration::from_millis(400);

/// Interval between two decisions of a starting router whether it may use its target.
const READING_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of the health check, and pause after one that failed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Where the departures of the local target are kept, and what was read of those of the former process.
#[derive(Debug)]
pub struct DepartureKeeping {
    receipt: watch::Sender<DepartureReceipt>,
    reading: Mutex<DepartureReading>,
    reading_changed: Notify,
    store_work: Notify,
    router_work: Notify,
    /// Whether the directory of the other routers has been read.
    has_directory: AtomicBool,
    directory_read: Notify,
}

impl DepartureKeeping {
    /// Creates the state of a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: BootTime) -> Self {
        Self {
            receipt: watch::Sender::default(),
            reading: Mutex::new(DepartureReading::new(started_at)),
            reading_changed: Notify::new(),
            store_work: Notify::new(),
            router_work: Notify::new(),
            has_directory: AtomicBool::new(false),
            directory_read: Notify::new(),
        }
    }

    /// Records that the directory was read at the start, so that the routers that keep departures are known.
    pub fn on_directory_read(&self) {
        self.has_directory.store(true, Ordering::Relaxed);
        self.directory_read.notify_one();
    }

    /// Has new departures stored and kept.
    fn notify(&self) {
        self.store_work.notify_one();
        self.router_work.notify_one();
    }

    fn update_reading(&self, update: impl FnOnce(&mut DepartureReading)) {
        update(&mut lock(&self.reading));
        self.reading_changed.notify_one();
    }

    fn is_stored(&self, version: DepartureVersion) -> bool {
        self.receipt.borrow().is_stored(version)
    }

    fn is_kept(&self, version: DepartureVersion) -> bool {
        self.receipt.borrow().is_kept(version)
    }

    /// Waits until the departures of `version` may be acknowledged; returns where they are kept, or `None` if they must
    /// not be acknowledged.
    async fn await_receipt(&self, version: DepartureVersion) -> Option<DepartureKeeper> {
        let began = boot_clock::now();
        let mut receipt = self.receipt.subscribe();
        loop {
            let waited = boot_clock::now().saturating_sub(began);
            let step = receipt.borrow_and_update().step(version, waited);
            match step {
                ReceiptStep::Acknowledge(keeper) => return Some(keeper),
                ReceiptStep::Refuse => return None,
                // `self` owns the sender, so the wait ends with a change or the time limit.
                ReceiptStep::Wait(limit) => {
                    within(limit, receipt.changed()).await;
                }
            }
        }
    }
}

impl<D: PlatformDialect> NodeState<D> {
    /// Returns whether a notification may be acknowledged, once it was applied.
    ///
    /// One that says that the target is leaving may be once the next process of this router will know that too.
    pub async fn may_acknowledge(&self, notification: &TargetNotification) -> bool {
        let Some(version) = self.gateway.departure_version(notification) else {
            return true;
        };
        if self.departures.is_stored(version) {
            return true;
        }
        self.departures.notify();
        let began = boot_clock::now();
        let keeper = self.departures.await_receipt(version).await;
        let waited_ms = observe::millis(boot_clock::now().saturating_sub(began));
        let kept_by = keeper.map_or("none", DepartureKeeper::as_str);
        self.metrics
            .count("departures_kept", format!("by=\"{kept_by}\""));
        emit_event!(
            Info,
            events::DEPARTURE_KEPT,
            target = &*notification.id,
            by = kept_by,
            waited_ms = waited_ms
        );
        keeper.is_some()
    }

    /// Records a notification of a target that is not used yet.
    pub(super) fn on_deferred_notification(&self, notification: &TargetNotification) {
        let NotificationKind::Alive {
            sequence,
            draining: false,
            ..
        } = notification.kind
        else {
            return;
        };
        let started_ms = notification.started_ms.unwrap_or(0);
        let now = boot_clock::now();
        self.departures.update_reading(|reading| {
            reading.on_report(&notification.id, started_ms, sequence, now);
        });
    }

    /// Has the departure of the current target kept, which it did not ask to be acknowledged.
    pub fn keep_departures(&self) {
        self.departures.notify();
    }

    /// Applies departures that a former process acknowledged, from the store or other routers.
    fn restore_departures(
        self: &Arc<Self>,
        departures: &[TargetDeparture],
        source: DepartureKeeper,
    ) {
        let (restored, left) = self.gateway.merge_departures(departures, source);
        if restored > 0 {
            let labels = format!("source=\"{}\"", source.as_str());
            self.metrics
                .add("departures_restored", labels, restored as u64);
            emit_event!(
                Info,
                events::DEPARTURES_RESTORED,
                departures = restored,
                source = source.as_str(),
                after_ms = observe::millis(boot_clock::now().saturating_sub(self.started_at))
            );
            self.departures.notify();
        }
        if left {
            self.on_target_leaving();
        }
    }

    /// Uses the targets that have reported themselves, unless they are leaving.
    fn end_departure_reading(self: &Arc<Self>, source: ReadingSource) {
        let deferred = self.gateway.end_departure_reading();
        self.metrics.count(
            "departure_readings",
            format!("source=\"{}\"", source.as_str()),
        );
        emit_event!(
            Info,
            events::DEPARTURES_READ,
            source = source.as_str(),
            known = self.gateway.departures().1.len(),
            deferred = deferred.len(),
            after_ms = observe::millis(boot_clock::now().saturating_sub(self.started_at))
        );
        for notification in &deferred {
            self.handle_notification(notification);
        }
    }
}

/// Reads the stored departures of the former process once, then stores those of this one, until the process ends.
pub async fn store_departures<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let keeping = &node.departures;
    let key: Arc<str> = format!("{DEPARTURES_PREFIX}{}", node.settings.node).into();
    let mut pauses = RETRY_PAUSES;
    let mut base = loop {
        match read_stored(&node, &key).await {
            Ok(revision) => break revision,
            Err(error) => {
                on_not_stored(&node, &error);
                within(pauses.next(), keeping.store_work.notified()).await;
            }
        }
    };
    keeping.update_reading(DepartureReading::on_store);
    pauses = RETRY_PAUSES;
    let mut era = node.store.era();
    loop {
        if std::mem::replace(&mut era, node.store.era()) != era {
            keeping
                .receipt
                .send_modify(DepartureReceipt::on_store_restored);
            base = 0;
        }
        if keeping.is_stored(node.gateway.departures().0) {
            within(ERA_CHECK_INTERVAL, keeping.store_work.notified()).await;
            continue;
        }
        match write_departures(&node, &key, base).await {
            Ok(Some(revision)) => {
                base = revision;
                pauses = RETRY_PAUSES;
                continue;
            }
            // A write of the former process, or one without a response, took effect.
            Ok(None) => match read_stored(&node, &key).await {
                Ok(revision) => {
                    base = revision;
                    continue;
                }
                Err(error) => on_not_stored(&node, &error),
            },
            Err(error) => on_not_stored(&node, &error),
        }
        sleep(pauses.next()).await;
    }
}

fn on_not_stored<D: PlatformDialect>(node: &NodeState<D>, error: &MetadataStoreError) {
    log::debug!("cannot read or store the departures of the target: {error}");
    let version = node.gateway.departures().0;
    let receipt = &node.departures.receipt;
    receipt.send_modify(|receipt| receipt.on_not_stored(version));
}

/// Reads and applies the stored departures; returns the revision of their key, or zero if it does not exist.
async fn read_stored<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    key: &str,
) -> Result<StoreRevision, MetadataStoreError> {
    let Some(item) = node.store.read(key).await? else {
        return Ok(0);
    };
    let departures = decode_departures(&item);
    node.restore_departures(&departures, DepartureKeeper::Store);
    let (version, known) = node.gateway.departures();
    if known.iter().all(|departure| departures.contains(departure)) {
        let receipt = &node.departures.receipt;
        receipt.send_modify(|receipt| receipt.on_stored(version));
    }
    Ok(item.revision)
}

/// Stores the departures; returns the new revision of their key, or `None` if it has another one than `base`.
///
/// The key outlives this process for a limited time, since nobody would remove that of a router which is not started
/// again.
async fn write_departures<D: PlatformDialect>(
    node: &NodeState<D>,
    key: &Arc<str>,
    base: StoreRevision,
) -> Result<Option<StoreRevision>, MetadataStoreError> {
    let time_to_live = DEPARTURE_RETENTION.max(node.settings.terms.shortest_lease);
    let (lease, _) = node.store.open_lease(time_to_live).await?;
    let (version, departures) = node.gateway.departures();
    let value = encode(&departures)
        .map_err(|error| MetadataStoreError::Refused(error.to_string().into()))?;
    let write = StoreWrite {
        key: key.clone(),
        value: Some(value.into()),
        base: Some(base),
        lease,
    };
    match node.store.write(write).await? {
        WriteResult::Written(revision) => {
            let receipt = &node.departures.receipt;
            receipt.send_modify(|receipt| receipt.on_stored(version));
            Ok(Some(revision))
        }
        WriteResult::Conflict => Ok(None),
        WriteResult::LeaseEnded => Err(MetadataStoreError::Refused("the lease has ended".into())),
    }
}

/// Decodes stored departures; a value that is not valid counts as empty and is replaced by the next write.
fn decode_departures(item: &StoreItem) -> Vec<TargetDeparture> {
    decode(&item.value).unwrap_or_else(|error| {
        log::warn!("cannot decode {}: {error}", item.key);
        Vec::new()
    })
}

/// Asks other routers for the departures that they keep for the former process, then has them keep those of this one,
/// until the process ends.
pub async fn spread_departures<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let keeping = &node.departures;
    if !keeping.has_directory.load(Ordering::Relaxed) {
        within(DIRECTORY_WAIT, keeping.directory_read.notified()).await;
    }
    while !ask_keepers(&node).await {
        within(KEEPER_PAUSE, keeping.router_work.notified()).await;
    }
    loop {
        let (version, departures) = node.gateway.departures();
        if keeping.is_kept(version) || departures.is_empty() {
            keeping.router_work.notified().await;
            continue;
        }
        let keepers = keepers(&node);
        let asked = keepers.len();
        let call = PeerCall::Departures(node.settings.node.clone(), departures);
        let replies = node.links.call_all(keepers, &call, KEEPER_TIMEOUT).await;
        let is_done = |reply: &Result<PeerReply, _>| matches!(reply, Ok(PeerReply::Done));
        let confirmed = replies.iter().filter(|reply| is_done(reply)).count();
        let receipt = &keeping.receipt;
        receipt.send_modify(|receipt| receipt.on_kept(version, confirmed, asked));
        if !keeping.is_kept(version) {
            within(KEEPER_PAUSE, keeping.router_work.notified()).await;
        }
    }
}

/// Asks the routers that keep the departures of this one; returns whether that is over.
async fn ask_keepers<D: PlatformDialect>(node: &Arc<NodeState<D>>) -> bool {
    let keeping = &node.departures;
    let keepers = keepers(node);
    if keepers.is_empty() && !keeping.has_directory.load(Ordering::Relaxed) {
        // Without the store, routers that open a link to this one are known first.
        return node.gateway.knows_former();
    }
    let call = PeerCall::PullDepartures(node.settings.node.clone());
    let replies = node.links.call_all(keepers, &call, KEEPER_TIMEOUT).await;
    let mut count = 0;
    for reply in replies {
        if let Ok(PeerReply::Departures(departures)) = reply {
            node.restore_departures(&departures, DepartureKeeper::Routers);
            count += 1;
        }
    }
    keeping.update_reading(|reading| reading.on_routers(count));
    let has_store = lock(&keeping.reading).has_store();
    count > 0 || has_store || node.gateway.knows_former()
}

/// Returns the addresses of the routers that keep the departures of this one.
fn keepers<D: PlatformDialect>(node: &NodeState<D>) -> Vec<SocketAddr> {
    let routers = node.known_router_addresses();
    departure_keepers(&node.settings.node, &routers, KEEPER_COUNT)
}

/// Decides when the target may be used, and ends once it may be.
pub async fn read_departures<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let keeping = &node.departures;
    while !node.gateway.knows_former() {
        let has_check = node.health_path().is_some();
        let step = lock(&keeping.reading).step(has_check, boot_clock::now());
        match step {
            ReadingStep::Complete(source) => node.end_departure_reading(source),
            ReadingStep::Wait => {
                within(READING_INTERVAL, keeping.reading_changed.notified()).await;
            }
            ReadingStep::CheckTarget => match node.gateway.deferred_target() {
                Some(target) if is_sound(&node, &target).await => {
                    keeping.update_reading(DepartureReading::on_sound_target);
                }
                Some(_) => {
                    within(CHECK_TIMEOUT, keeping.reading_changed.notified()).await;
                }
                None => {
                    within(READING_INTERVAL, keeping.reading_changed.notified()).await;
                }
            },
        }
    }
}

/// Returns whether the health check of a target says that it is healthy and not leaving.
async fn is_sound<D: PlatformDialect>(node: &NodeState<D>, target: &Arc<str>) -> bool {
    let path = node.health_path().unwrap_or_default();
    let Ok(mut request) = Request::get(&*path).body(Full::new(Bytes::new())) else {
        return false;
    };
    let info = TargetRequestInfo {
        time_left: CHECK_TIMEOUT,
        target: target.clone(),
        caller_service: node.settings.service.clone(),
    };
    node.dialect
        .set_request_headers(request.headers_mut(), &info);
    let pool = node.gateway.pool();
    let result = pool.send(request, ConnectionAge::New, CHECK_TIMEOUT).await;
    let is_sound = result.as_ref().is_ok_and(|response| {
        let (status, headers) = (response.status(), response.headers());
        let info = node.dialect.read_response_info(status, headers);
        status.is_success()
            && info.request.is_none()
            && info.other_target.is_none()
            && !info.condition.leaving
    });
    emit_event!(
        Info,
        events::TARGET_CHECKED,
        target = &**target,
        why = "start without the store",
        sound = is_sound
    );
    node.metrics.count("target_checks", "why=\"start\"".into());
    is_sound
}
