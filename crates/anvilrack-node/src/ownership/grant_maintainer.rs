//! Keeps the grants at the local target consistent with the shards that this router owns.

use std::collections::{BTreeMap, BTreeSet};
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
    /// Releases that have begun and not ended.
    releasing: Mutex<BTreeSet<(ShardId, FencingToken)>>,
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
            releasing: Mutex::default(),
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

    /// Marks all keys as not held by the target, because a new incarnation of it gets grants of its own.
    ///
    /// The target may hold keys all the same, because of grants that it took before this router learned of the
    /// incarnation; see [`TargetHolds`].
    pub fn invalidate_all(&self) {
        for grant in lock(&self.grants).values_mut() {
            grant.until = BootTime::ZERO;
        }
    }

    /// Returns the released shards, which are reported to the coordinator.
    #[must_use]
    pub fn released(&self) -> Vec<ReleaseReport> {
        lock(&self.released).values().cloned().collect()
    }

    /// Removes the releases of shards that the record no longer assigns to this router.
    pub fn forget_reassigned(&self, owner: &OwnerState) {
        let named: BTreeSet<_> = owner.released().chain(owner.former()).collect();
        lock(&self.released).retain(|shard, report| named.contains(&(*shard, report.token)));
    }

    /// Begins the release of a shard; returns false if it is under way or has ended.
    fn begin_release(&self, shard: ShardId, token: FencingToken) -> bool {
        let released = lock(&self.released);
        let has_ended = released.get(&shard).is_some_and(|r| r.token == token);
        !has_ended && lock(&self.releasing).insert((shard, token))
    }

    /// Ends the release of a shard, which [`Self::begin_release`] began.
    fn finish_release(&self, shard: ShardId, token: FencingToken) {
        lock(&self.releasing).remove(&(shard, token));
    }

    /// Returns whether the target cannot hold a shard, now or because of a call that is in flight.
    fn is_free(&self, shard: ShardId, now: BootTime) -> bool {
        !self.is_call_in_flight(shard) && lock(&self.holds).may_hold_until(shard) <= now
    }

    /// Adds a release, to be reported to the coordinator.
    pub fn add_release(&self, shard: ShardId, token: FencingToken, handover: Option<Arc<str>>) {
        let report = ReleaseReport {
            handover,
            ..ReleaseReport::new(shard, token)
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
    let mut key_range = range_grant(target.id.clone(), shard, token);
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
            // Responses to grants name no call, so this may be a copy of an earlier one.
            node.grants
                .holds()
                .on_unanswered(shard, boot_clock::now(), hold);
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
            node.gateway.detect_refusal(&node, &target, sent_at, &error);
        }
    }
}

/// Stops serving a shard, has the target release it and stores the release for the coordinator.
pub fn release_shard<D: PlatformDialect>(node: &Arc<NodeState<D>>, shard: ShardId) {
    let token = node.owner().release(shard);
    if let Some(token) = token
        && node.grants.begin_release(shard, token)
    {
        tokio::spawn(complete_release(node.clone(), shard, token));
    }
}

/// Stops serving all shards because the target's process has exited; returns how many there are, and how many of
/// them the target has to release because it may have started again and taken grants since.
pub fn release_exited<D: PlatformDialect>(node: &Arc<NodeState<D>>) -> (usize, usize) {
    let shards: Vec<_> = {
        let mut owner = node.owner();
        let held: Vec<_> = owner.held().collect();
        for (shard, _) in &held {
            owner.release(*shard);
        }
        held
    };
    let owned = shards.len();
    (owned, release_unserved(node, shards))
}

/// Releases the shards that the record assigns to other incarnations of the target.
pub fn release_former<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let shards: Vec<_> = node.owner().former().collect();
    release_unserved(node, shards);
}

/// Stores the release of shards that this router does not serve; returns how many the target has to release first,
/// because it may hold them.
fn release_unserved<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    shards: Vec<(ShardId, FencingToken)>,
) -> usize {
    let now = boot_clock::now();
    let mut calls = 0;
    for (shard, token) in shards {
        if !node.grants.begin_release(shard, token) {
            continue;
        }
        if node.grants.is_free(shard, now) {
            node.grants.add_release(shard, token, None);
            node.grants.finish_release(shard, token);
        } else {
            calls += 1;
            tokio::spawn(complete_release(node.clone(), shard, token));
        }
    }
    calls
}

/// Has the target release a shard that this router no longer serves and stores the release for the coordinator.
async fn complete_release<D: PlatformDialect>(
    node: Arc<NodeState<D>>,
    shard: ShardId,
    token: FencingToken,
) {
    // A grant call that is in flight could reach the target after the release.
    while node.grants.is_call_in_flight(shard) {
        sleep(POLL_INTERVAL / 4).await;
    }
    let handover = release_keys(&node, shard, token).await;
    let waited = await_late_grants(&node, shard, token).await;
    // Another owner may have got the shard meanwhile, because the lease has expired.
    if node.owner().has_unserved(shard, token) {
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
    }
    node.grants.finish_release(shard, token);
    node.member_updates.notify_one();
}

/// Waits until no grant of a shard can take effect any more; returns how long it took.
async fn await_late_grants<D: PlatformDialect>(
    node: &NodeState<D>,
    shard: ShardId,
    token: FencingToken,
) -> Duration {
    let began = boot_clock::now();
    loop {
        let now = boot_clock::now();
        let until = node.grants.holds().may_take_effect_until(shard);
        if now >= until || !node.owner().has_unserved(shard, token) {
            return now.saturating_sub(began);
        }
        sleep(POLL_INTERVAL.min(until.saturating_sub(now))).await;
    }
}

/// Has whatever listens at the target's address release a shard's keys; returns the handover value from its
/// response.
///
/// Repeats the call until the target responds, it has exited, or its hold must have expired.
async fn release_keys<D: PlatformDialect>(
    node: &Arc<NodeState<D>>,
    shard: ShardId,
    token: FencingToken,
) -> Option<Arc<str>> {
    let _permit = node.grants.calls.acquire().await;
    while node.owner().has_unserved(shard, token) {
        let held_until = node.grants.holds().may_hold_until(shard);
        if boot_clock::now() > held_until + node.lease_terms.drift_margin {
            return None;
        }
        let target = node.gateway.current_incarnation()?;
        let key_range = range_grant(target.id.clone(), shard, token);
        let call = node.dialect.release_call(&key_range).map(Full::new);
        let sent_at = boot_clock::now();
        // On a connection in use again, a copy of another response could count as the release.
        let error = match send(node, call, ConnectionAge::New, RELEASE_TIMEOUT).await {
            Ok(response) if response.status() == StatusCode::OK => {
                node.grants.holds().on_released(shard);
                return node.dialect.read_handover(response.headers());
            }
            Ok(response) => response.status().to_string(),
            Err(error) => {
                if node.gateway.detect_refusal(node, &target, sent_at, &error) {
                    continue;
                }
                error.to_string()
            }
        };
        emit_event!(
            Info,
            events::GRANT_UNANSWERED,
            shard = shard,
            token = token,
            fault = error
        );
        sleep(RETRY_PAUSE).await;
    }
    None
}

/// Releases every shard that the target holds, each as soon as the work on its keys has ended.
pub fn release_all<D: PlatformDialect>(node: &Arc<NodeState<D>>) {
    let held: Vec<_> = node.owner().held().collect();
    for (shard, _) in held {
        release_shard(node, shard);
    }
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
