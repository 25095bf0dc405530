//! Keeps the grants at the local target consistent with the shards that this router owns.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use anvilrack_core::{
    BootTime, FencingToken, OwnerState, ReleaseReport, ShardId, TargetHolds, events,
};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::guard::IncarnationState;
use crate::http_pool::{ConnectionAge, SendError, within};
use crate::mutex_lock::lock;
use crate::ownership::SHARD_COUNT;
use crate::{KEY_SPACE, KeyNumber, KeyRangeGrant, NodeState, PlatformDialect, emit_event, observe};

/// Time between two checks for grants that have to be sent or renewed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A grant is renewed once less than this time is left of it.
const RENEW_BELOW: Duration = Duration::from_millis(1_200);

/// Timeout of a grant call; the target runs on the same VM.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a release call, to which the target responds once the work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause after a grant or release call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Minimum hold for which a grant call is made.
const MIN_HOLD: Duration = Duration::from_millis(100);

/// Maximum number of concurrent grant and release calls.
const MAX_CONCURRENT_CALLS: usize = 6;

/// Grants that were sent to the target, and shards that it released.
#[derive(Debug)]
pub struct TargetGrants {
    grants: Mutex<BTreeMap<ShardId, AppliedGrant>>,
    holds: Mutex<TargetHolds>,
    released: Mutex<BTreeMap<ShardId, ReleaseReport>>,
    calls: Arc<Semaphore>,
}

/// State of one shard's grant at the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AppliedGrant {
    token: FencingToken,
    /// The target has confirmed that it holds the keys at least until this time.
    until: BootTime,
    /// No new call is made before this time.
    pause_until: BootTime,
    /// Whether a grant call is in flight or waits for a permit.
    call_in_flight: bool,
}

impl TargetGrants {
    /// Creates the state of a process that started at `started_at`; a former process may have made grant calls
    /// for up to `longest_hold`.
    #[must_use]
    pub fn new(started_at: BootTime, longest_hold: Duration) -> Self {
        Self {
            grants: Mutex::default(),
            holds: Mutex::new(TargetHolds::new(started_at, longest_hold)),
            released: Mutex::default(),
            calls: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
        }
    }

    /// Returns whether the target has confirmed this grant and still holds the keys.
    #[must_use]
    pub fn is_confirmed(&self, shard: ShardId, token: FencingToken, now: BootTime) -> bool {
        let grants = lock(&self.grants);
        let grant = grants.get(&shard);
        grant.is_some_and(|grant| grant.token == token && now < grant.until)
    }

    /// Marks a shard's keys as not held by the target, so that the grant is sent again.
    pub fn invalidate(&self, shard: ShardId) {
        if let Some(grant) = lock(&self.grants).get_mut(&shard) {
            grant.until = BootTime::ZERO;
        }
    }

    /// Removes everything, because a new incarnation of the target holds no keys.
    pub fn clear(&self) {
        lock(&self.grants).clear();
        lock(&self.holds).clear();
        lock(&self.released).clear();
    }

    /// Returns the released shards, which are reported to the coordinator.
    #[must_use]
    pub fn released(&self) -> Vec<ReleaseReport> {
        lock(&self.released).values().cloned().collect()
    }

    /// Removes the releases of shards that the record no longer assigns to this router.
    pub fn forget_reassigned(&self, owner: &OwnerState) {
        let named: Vec<_> = owner.released().collect();
        lock(&self.released).retain(|shard, report| named.contains(&(*shard, report.token)));
    }

    /// Adds a release, to be reported to the coordinator.
    pub fn add_release(&self, shard: ShardId, token: FencingToken, handover: Option<Arc<str>>) {
        let report = ReleaseReport {
            shard,
            token,
            record_at: None,
            handover,
        };
        lock(&self.released).insert(shard, report);
    }

    /// Withdraws a release because the shard is served again.
    ///
    /// The target no longer holds the shard's keys, so the grant is sent again.
    pub fn withdraw_release(&self, shard: ShardId) {
        lock(&self.released).remove(&shard);
        self.invalidate(shard);
    }

    /// Returns the shards that need a grant call now and marks them as having a call in flight.
    fn claim_due(
        &self,
        held: &[(ShardId, FencingToken)],
        now: BootTime,
    ) -> Vec<(ShardId, FencingToken)> {
        let mut grants = lock(&self.grants);
        let due = |(shard, token): &&(ShardId, FencingToken)| {
            let grant = grants.get(shard).copied().unwrap_or_default();
            let fresh = grant.token == *token && now + RENEW_BELOW < grant.until;
            !fresh && !grant.call_in_flight && now >= grant.pause_until
        };
        let due: Vec<_> = held.iter().filter(due).copied().collect();
        for (shard, token) in &due {
            let grant = grants.entry(*shard).or_default();
            if grant.token != *token {
                grant.until = BootTime::ZERO;
            }
            grant.token = *token;
            grant.call_in_flight = true;
        }
        due
    }

    /// Ends a call and applies its outcome to the grant.
    fn finish_call(&self, shard: ShardId, change: impl FnOnce(&mut AppliedGrant)) {
        if let Some(grant) = lock(&self.grants).get_mut(&shard) {
            grant.call_in_flight = false;
            change(grant);
        }
    }

    /// Returns whether a grant call is in flight or waits for a permit.
    fn is_call_in_flight(&self, shard: ShardId) -> bool {
        let grants = lock(&self.grants);
        grants.get(&shard).is_some_and(|grant| grant.call_in_flight)
    }

    /// Returns until when the target may hold keys; see [`TargetHolds`].
    pub fn holds(&self) -> MutexGuard<'_, TargetHolds> {
        lock(&self.holds)
    }
}

/// Grants the shards that this router owns to its target and renews the grants, until the process
/// ends.
pub async fn maintain_grants<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    loop {
        within(POLL_INTERVAL, node.grant_updates.notified()).await;
        let is_target_alive = node
            .gateway
            .current_incarnation()
            .is_some_and(|target| target.state != IncarnationState::Gone);
        let now = boot_clock::now();
        let (held, lease_until) = {
            let owner = node.owner();
            (owner.held().collect::<Vec<_>>(), owner.lease_until())
        };
        if !is_target_alive || lease_until < now + MIN_HOLD {
            continue;
        }
        for (shard, token) in node.grants.claim_due(&held, now) {
            tokio::spawn(grant_shard(node.clone(), shard, token));
        }
    }
}

/// Sends a shard's grant to the target, unless the shard is no longer held.
async fn grant_shard<D: PlatformDialect>(
    node: Arc<NodeState<D>>,
    shard: ShardId,
    token: FencingToken,
) {
    let _permit = node.grants.calls.acquire().await;
    let sent_at = boot_clock::now();
    let lease_until = node.owner().lease_until();
    let hold = lease_until
        .saturating_sub(sent_at)
        .min(node.settings.terms.longest_hold);
    let still_held = node.owner().held().any(|held| held == (shard, token));
    let target = node
        .gateway
        .current_incarnation()
        .filter(|_| still_held && hold >= MIN_HOLD);
    let Some(target) = target else {
        node.grants.finish_call(shard, |_| {});
        return;
    };
    let mut key_range = range_grant(target.id, shard, token);
    key_range.hold = hold;
    key_range.handover = node.handover_of(shard);
    let call = node.dialect.grant_call(&key_range).map(Full::new);
    match send(&node, call, ConnectionAge::Any, GRANT_TIMEOUT).await {
        Ok(response) if response.status() == StatusCode::OK => {
            node.grants
                .holds()
                .on_granted(shard, boot_clock::now(), hold);
            node.grants.finish_call(shard, |grant| {
                grant.until = sent_at + hold;
            });
        }
        Ok(response) => {
            emit_event!(
                Warn,
                events::GRANT_REFUSED,
                shard = shard,
                token = token,
                status = response.status().as_u16()
            );
            node.grants.finish_call(shard, |grant| {
                grant.until = BootTime::ZERO;
                grant.pause_until = boot_clock::now() + RETRY_PAUSE;
            });
        }
        Err(error) => {
            emit_event!(
                Info,
                events::GRANT_UNANSWERED,
                shard = shard,
                token = token,
                hold_ms = observe::millis(hold),
                fault = error.to_string()
            );
            if !error.is_unsent() {
                node.grants
                    .holds()
                    .on_unanswered(shard, boot_clock::now(), hold);
            }
            node.grants.finish_call(shard, |grant| {
                grant.pause_until = boot_clock::now() + RETRY_PAUSE;
            });
        }
    }
}

/// Stops serving a shard, has the target release it and stores the release for the coordinator.
pub async fn release_shard<D: PlatformDialect>(node: Arc<NodeState<D>>, shard: ShardId) {
    let Some(token) = node.owner().release(shard) else {
        return;
    };
    let target = node.gateway.current_incarnation();
    let incarnation = target.as_ref().map(|target| target.incarnation);
    // A grant call that is in flight could reach the target after the release.
    while node.grants.is_call_in_flight(shard) {
        sleep(POLL_INTERVAL / 4).await;
    }
    let handover = match target {
        Some(t) => release_keys(&node, range_grant(t.id, shard, token), shard, incarnation).await,
        None => None,
    };
    let waited = await_late_grants(&node, shard, incarnation).await;
    emit_event!(
        Info,
        events::SHARD_RELEASED,
        shard = shard,
        token = token,
        handed_over = handover.is_some(),
        waited_ms = observe::millis(waited)
    );
    node.grants.invalidate(shard);
    node.grants.add_release(shard, token, handover);
    node.member_updates.notify_one();
}

/// Waits until no grant of a shard can take effect any more, or the target is replaced; returns how long it took.
async fn await_late_grants<D: PlatformDialect>(
    node: &NodeState<D>,
    shard: ShardId,
    incarnation: Option<u64>,
) -> Duration {
    let began = boot_clock::now();
    loop {
        let now = boot_clock::now();
        let until = node.grants.holds().may_take_effect_until(shard);
        if now >= until || !is_same_incarnation(node, incarnation) {
            return now.saturating_sub(began);
        }
        sleep(POLL_INTERVAL.min(until.saturating_sub(now))).await;
    }
}

/// Has the target release a shard's keys; returns the handover value from its response.
///
/// Repeats the call until the target responds, is replaced, or its hold must have expired.
async fn release_keys<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    key_range: KeyRangeGrant,
    shard: ShardId,
    incarnation: Option<u64>,
) -> Option<Arc<str>> {
    let _permit = node.grants.calls.acquire().await;
    loop {
        if !is_same_incarnation(node, incarnation) {
            return None;
        }
        let call = node.dialect.release_call(&key_range).map(Full::new);
        // On a connection in use again, a copy of another response could count as the release.
        let error = match send(node, call, ConnectionAge::New, RELEASE_TIMEOUT).await {
            Ok(response) if response.status() == StatusCode::OK => {
                return node.dialect.read_handover(response.headers());
            }
            Ok(response) => response.status().to_string(),
            Err(error) => error.to_string(),
        };
        emit_event!(
            Info,
            events::GRANT_UNANSWERED,
            shard = shard,
            token = key_range.token,
            fault = error
        );
        let held_until = node.grants.holds().may_hold_until(shard);
        if boot_clock::now() > held_until + node.lease_terms.drift_margin {
            // The hold has expired without a release.
            return None;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Releases every shard that the target holds, each as soon as the work on its keys has ended.
pub fn release_all<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let held: Vec<_> = node.owner().held().collect();
    for (shard, _) in held {
        tokio::spawn(release_shard(node.clone(), shard));
    }
}

/// Returns whether the target is alive and still the given incarnation.
fn is_same_incarnation<D: PlatformDialect>(node: &NodeState<D>, incarnation: Option<u64>) -> bool {
    let target = node
        .gateway
        .current_incarnation()
        .filter(|target| target.state != IncarnationState::Gone);
    target.map(|target| target.incarnation) == incarnation
}

async fn send<D: PlatformDialect>(
    node: &NodeState<D>,
    call: Request<Full<Bytes>>,
    age: ConnectionAge,
    timeout: Duration,
) -> Result<Response<Bytes>, SendError> {
    let pool = node.gateway.pool();
    let response = pool.send(call, age, timeout).await?;
    let info = node
        .dialect
        .read_response_info(response.status(), response.headers());
    if let Some(request) = info.request {
        pool.clear();
        let fault = format!("the response belongs to request {request}");
        return Err(SendError::Broken(fault.into()));
    }
    Ok(response)
}

/// Returns the grant of a shard's key range, with no hold and no handover.
fn range_grant(target: Arc<str>, shard: ShardId, token: FencingToken) -> KeyRangeGrant {
    let width = KEY_SPACE / SHARD_COUNT;
    let key_number = |key: u32| KeyNumber::try_from(key).unwrap_or(KeyNumber::MAX);
    KeyRangeGrant {
        target,
        first: key_number(shard * width),
        last: key_number(shard * width + width - 1),
        token,
        hold: Duration::ZERO,
        handover: None,
    }
}
