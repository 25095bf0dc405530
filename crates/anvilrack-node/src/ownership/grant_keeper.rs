//! The grants as the target beside this router has them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilrack_core::{BootTime, FencingToken, OwnerState, ReleaseReport, ShardId, events};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::guard::LifeState;
use crate::http_pool::{ConnectionAge, SendFault, within};
use crate::ownership::SHARD_COUNT;
use crate::state_lock::lock;
use crate::{GrantOrder, KEY_SPACE, KeyNumber, NodeShared, PlatformDialect, observe, tell};

/// Time between two looks at what has to be renewed.
const STEP: Duration = Duration::from_millis(100);

/// A grant is renewed once less than this is left of it.
const RENEW_BELOW: Duration = Duration::from_millis(1_200);

/// Time for the answer to a grant; the target stands on the same VM.
const GRANT_LIMIT: Duration = Duration::from_millis(300);

/// Time for the answer to a release, which comes when the work on the keys has ended.
const RELEASE_LIMIT: Duration = Duration::from_millis(2_500);

/// Pause after a grant or release that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// A shorter hold is not worth a call.
const LEAST_HOLD: Duration = Duration::from_millis(100);

/// Calls about keys that run side by side.
const CALLS_AT_ONCE: usize = 6;

/// A target's clock may run this many percent slow, so that it holds keys for longer.
const SLOW_CLOCK_PERCENT: u32 = 2;

/// What the target has been told about keys.
#[derive(Debug)]
pub struct GrantKeeper {
    grants: Mutex<BTreeMap<ShardId, AppliedGrant>>,
    released: Mutex<BTreeMap<ShardId, ReleaseReport>>,
    calls: Arc<Semaphore>,
}

/// One shard at the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct AppliedGrant {
    token: FencingToken,
    /// The target has confirmed that it holds the keys at least until then.
    until: BootTime,
    /// A call that was not answered may let the target hold the keys until then.
    doubt_until: BootTime,
    /// No new call before then.
    pause_until: BootTime,
    calling: bool,
}

impl Default for GrantKeeper {
    fn default() -> Self {
        Self {
            grants: Mutex::default(),
            released: Mutex::default(),
            calls: Arc::new(Semaphore::new(CALLS_AT_ONCE)),
        }
    }
}

impl GrantKeeper {
    /// True where the target has confirmed this grant and still holds the keys.
    #[must_use]
    pub fn is_applied(&self, shard: ShardId, token: FencingToken, now: BootTime) -> bool {
        let grants = lock(&self.grants);
        let grant = grants.get(&shard);
        grant.is_some_and(|grant| grant.token == token && now < grant.until)
    }

    /// The target says that it does not hold a shard's keys, so it is told again.
    pub fn forget(&self, shard: ShardId) {
        if let Some(grant) = lock(&self.grants).get_mut(&shard) {
            grant.until = BootTime::ZERO;
        }
    }

    /// A new life of the target holds nothing.
    pub fn clear(&self) {
        lock(&self.grants).clear();
        lock(&self.released).clear();
    }

    /// The shards given back, for the coordinator.
    #[must_use]
    pub fn released(&self) -> Vec<ReleaseReport> {
        lock(&self.released).values().cloned().collect()
    }

    /// Forgets the releases of shards that no record names this router for any more.
    pub fn forget_taken(&self, owner: &OwnerState) {
        let named: Vec<_> = owner.released().collect();
        lock(&self.released).retain(|shard, report| named.contains(&(*shard, report.token)));
    }

    /// A shard is given back.
    pub fn report(&self, shard: ShardId, token: FencingToken, handover: Option<Arc<str>>) {
        let report = ReleaseReport {
            shard,
            token,
            record_at: None,
            handover,
        };
        lock(&self.released).insert(shard, report);
    }

    /// A shard that was given back is served again; the target does not hold it, and has to be told.
    pub fn withdraw(&self, shard: ShardId) {
        lock(&self.released).remove(&shard);
        self.forget(shard);
    }

    /// Marks the shards that need a call now as being called for.
    fn take_due(
        &self,
        held: &[(ShardId, FencingToken)],
        now: BootTime,
    ) -> Vec<(ShardId, FencingToken)> {
        let mut grants = lock(&self.grants);
        let due = |(shard, token): &&(ShardId, FencingToken)| {
            let grant = grants.get(shard).copied().unwrap_or_default();
            let fresh = grant.token == *token && now + RENEW_BELOW < grant.until;
            !fresh && !grant.calling && now >= grant.pause_until
        };
        let due: Vec<_> = held.iter().filter(due).copied().collect();
        for (shard, token) in &due {
            let grant = grants.entry(*shard).or_default();
            if grant.token != *token {
                grant.until = BootTime::ZERO;
            }
            grant.token = *token;
            grant.calling = true;
        }
        due
    }

    fn settle(&self, shard: ShardId, change: impl FnOnce(&mut AppliedGrant)) {
        if let Some(grant) = lock(&self.grants).get_mut(&shard) {
            grant.calling = false;
            change(grant);
        }
    }

    /// When the target can be sure to have forgotten a grant, where that is not known already.
    fn doubt(&self, shard: ShardId) -> (bool, BootTime, BootTime) {
        let grants = lock(&self.grants);
        let grant = grants.get(&shard).copied().unwrap_or_default();
        (grant.calling, grant.doubt_until, grant.until)
    }
}

/// Grants what this router owns to its target, and renews it, until the process ends.
pub async fn keep_grants<D: PlatformDialect>(node: Arc<NodeShared<D>>) {
    loop {
        within(STEP, node.grant_news.notified()).await;
        let lives = node.door.life().is_some_and(|l| l.state != LifeState::Gone);
        let now = boot_clock::now();
        let (held, lease_until) = {
            let owner = node.owner();
            (owner.held().collect::<Vec<_>>(), owner.lease_until())
        };
        if !lives || lease_until < now + LEAST_HOLD {
            continue;
        }
        for (shard, token) in node.grants.take_due(&held, now) {
            tokio::spawn(grant_shard(node.clone(), shard, token));
        }
    }
}

async fn grant_shard<D: PlatformDialect>(
    node: Arc<NodeShared<D>>,
    shard: ShardId,
    token: FencingToken,
) {
    let _place = node.grants.calls.acquire().await;
    let sent_at = boot_clock::now();
    let lease_until = node.owner().lease_until();
    let hold = lease_until
        .saturating_sub(sent_at)
        .min(node.settings.terms.longest_hold);
    let still_held = node.owner().held().any(|held| held == (shard, token));
    let life = node
        .door
        .life()
        .filter(|_| still_held && hold >= LEAST_HOLD);
    let Some(life) = life else {
        node.grants.settle(shard, |_| {});
        return;
    };
    let mut order = order_for(life.id, shard, token);
    order.hold = hold;
    order.handover = node.handover_of(shard);
    let call = node.dialect.grant_call(&order).map(Full::new);
    match send(&node, call, GRANT_LIMIT).await {
        Ok(answer) if answer.status() == StatusCode::OK => {
            node.grants.settle(shard, |grant| {
                grant.until = sent_at + hold;
            });
        }
        Ok(answer) => {
            tell!(
                Warn,
                events::GRANT_REFUSED,
                shard = shard,
                token = token,
                status = answer.status().as_u16()
            );
            node.grants.settle(shard, |grant| {
                grant.until = BootTime::ZERO;
                grant.pause_until = boot_clock::now() + RETRY_PAUSE;
            });
        }
        Err(fault) => {
            tell!(
                Info,
                events::GRANT_UNANSWERED,
                shard = shard,
                token = token,
                hold_ms = observe::millis(hold),
                fault = fault.to_string()
            );
            let unsent = fault.is_unsent();
            node.grants.settle(shard, |grant| {
                if !unsent {
                    // It counts from its arrival, which is before now.
                    let longest = hold + hold * SLOW_CLOCK_PERCENT / 100;
                    grant.doubt_until = grant.doubt_until.max(boot_clock::now() + longest);
                }
                grant.pause_until = boot_clock::now() + RETRY_PAUSE;
            });
        }
    }
}

/// Stops serving a shard, has the target give it back, and remembers it as given back.
pub async fn release_shard<D: PlatformDialect>(node: Arc<NodeShared<D>>, shard: ShardId) {
    let Some(token) = node.owner().release(shard) else {
        return;
    };
    let life = node.door.life();
    let incarnation = life.as_ref().map(|life| life.incarnation);
    // A grant that is under way could reach the target after the release.
    while node.grants.doubt(shard).0 {
        sleep(STEP / 4).await;
    }
    let handover = match life {
        Some(life) => take_back(&node, order_for(life.id, shard, token), shard, incarnation).await,
        None => None,
    };
    let (_, doubt_until, _) = node.grants.doubt(shard);
    let doubt = doubt_until.saturating_sub(boot_clock::now());
    if !doubt.is_zero() && is_same_life(&node, incarnation) {
        sleep(doubt).await;
    }
    tell!(
        Info,
        events::SHARD_RELEASED,
        shard = shard,
        token = token,
        handed_over = handover.is_some()
    );
    node.grants.forget(shard);
    node.grants.report(shard, token, handover);
    node.member_news.notify_one();
}

/// Has the target give a shard's keys back; returns what it handed over.
async fn take_back<D: PlatformDialect>(
    node: &Arc<NodeShared<D>>,
    order: GrantOrder,
    shard: ShardId,
    incarnation: Option<u64>,
) -> Option<Arc<str>> {
    let _place = node.grants.calls.acquire().await;
    loop {
        if !is_same_life(node, incarnation) {
            return None;
        }
        let (_, doubt_until, until) = node.grants.doubt(shard);
        let call = node.dialect.release_call(&order).map(Full::new);
        let fault = match send(node, call, RELEASE_LIMIT).await {
            Ok(answer) if answer.status() == StatusCode::OK => {
                return node.dialect.read_handover(answer.headers());
            }
            Ok(answer) => answer.status().to_string(),
            Err(fault) => fault.to_string(),
        };
        tell!(
            Info,
            events::GRANT_UNANSWERED,
            shard = shard,
            token = order.token,
            fault = fault
        );
        let longest = until.max(doubt_until);
        let margin = longest.saturating_sub(boot_clock::now()) * SLOW_CLOCK_PERCENT / 100;
        if boot_clock::now() > longest + margin + node.lease_terms.drift_margin {
            // The hold has run out by itself.
            return None;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Gives back everything that the target holds, each shard as soon as its work has ended.
pub fn release_all<D: PlatformDialect>(node: &Arc<NodeShared<D>>) {
    let held: Vec<_> = node.owner().held().collect();
    for (shard, _) in held {
        tokio::spawn(release_shard(node.clone(), shard));
    }
}

fn is_same_life<D: PlatformDialect>(node: &NodeShared<D>, incarnation: Option<u64>) -> bool {
    let life = node.door.life().filter(|l| l.state != LifeState::Gone);
    life.map(|life| life.incarnation) == incarnation
}

async fn send<D: PlatformDialect>(
    node: &NodeShared<D>,
    call: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, SendFault> {
    node.door.pool().send(call, ConnectionAge::Any, limit).await
}

/// The keys of a shard.
fn order_for(target: Arc<str>, shard: ShardId, token: FencingToken) -> GrantOrder {
    let width = KEY_SPACE / SHARD_COUNT;
    let bound = |key: u32| KeyNumber::try_from(key).unwrap_or(KeyNumber::MAX);
    GrantOrder {
        target,
        first: bound(shard * width),
        last: bound(shard * width + width - 1),
        token,
        hold: Duration::ZERO,
        handover: None,
    }
}
