//! Learns whether the local target is cold: from its notifications, its responses and its health check.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use anvilrack_core::{
    BootTime, CheckReason, ColdCheck, ColdRules, RefusalReason, ShardId, USUAL_PACE_PERCENT,
    WHOLE_SHARE, events,
};
use anvilrack_router::boot_clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use tokio::sync::Notify;

use crate::guard::{
    IncarnationState, NotificationEffect, NotificationKind, TargetGateway, TargetIncarnation,
    TargetNotification,
};
use crate::held_body::HeldBody;
use crate::http_pool::{ConnectionAge, within};
use crate::mutex_lock::lock;
use crate::peers::RunCall;
use crate::{NodeState, PlatformDialect, TargetRequestInfo, emit_event, observe};

/// Interval between checks whether the target has become cold or warm, or is silent.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a health check, which targets answer at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Smallest admitted share for which a request counts; fewer samples would say little.
const MIN_COUNTED_SHARE: u16 = 20;

/// What is known about whether the local target is cold, besides its limit.
#[derive(Debug, Default)]
pub(super) struct ColdTarget {
    check: Mutex<ColdCheck>,
    /// Since when the target is cold, as last logged.
    cold_since: Mutex<Option<BootTime>>,
    /// Notified when the target may have become cold or warm, or a check may be due.
    changed: Notify,
}

impl TargetGateway {
    /// Sets what the site document says about cold targets; `None` if they may get any rate.
    pub fn set_cold_rules(&self, rules: Option<ColdRules>) {
        self.limiter()
            .cold_mut()
            .set_rules(rules, boot_clock::now());
        self.cold_target().changed.notify_one();
    }

    /// Treats the target as cold until a health check or a notification says whether it is.
    ///
    /// It has no effect on services that do not limit the requests to cold targets.
    pub fn expect_cold(&self, now: BootTime) {
        self.limiter().cold_mut().expect_cold(now);
        self.request_cold_check(CheckReason::Expected);
    }

    /// Returns the remaining time for which the target is cold; zero if it is warm or not limited.
    #[must_use]
    pub fn cold_remaining(&self, now: BootTime) -> Duration {
        self.limiter().cold().remaining(now)
    }

    /// Returns [`Self::cold_remaining`] in milliseconds, as reported to other routers.
    pub(super) fn cold_ms(&self, now: BootTime) -> u32 {
        u32::try_from(self.cold_remaining(now).as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the rate that the target tolerates because it is cold, in requests per ten seconds, as reported to
    /// the coordinator.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates are positive, and a conversion of larger ones gives the largest number"
    )]
    pub fn cold_rate_per_ten_seconds(&self, now: BootTime) -> Option<u32> {
        let rate = self.limiter().cold().rate(now)?;
        Some((rate * 10.0) as u32)
    }

    /// Applies the time for which a notification states that the target is cold.
    pub(super) fn apply_cold_time(
        &self,
        notification: &TargetNotification,
        effect: NotificationEffect,
    ) {
        let now = boot_clock::now();
        match (effect, &notification.kind) {
            (NotificationEffect::NewIncarnation, NotificationKind::Alive { cold_for, .. }) => {
                self.limiter().on_new_incarnation(*cold_for, now);
                lock(&self.cold_target().check).on_report();
                self.cold_target().changed.notify_one();
            }
            (
                NotificationEffect::Stale
                | NotificationEffect::Departed
                | NotificationEffect::Deferred,
                _,
            )
            | (_, NotificationKind::Leaving) => {}
            (_, NotificationKind::Alive { cold_for, .. }) => {
                if let Some(cold_for) = cold_for {
                    self.on_cold_report(*cold_for, now);
                }
            }
        }
    }

    /// Applies the remaining time for which the target reports that it is cold.
    pub(super) fn on_cold_report(&self, remaining: Duration, now: BootTime) {
        let is_limited = {
            let mut limiter = self.limiter();
            limiter.cold_mut().on_report(remaining, now);
            limiter.cold().has_rules()
        };
        if is_limited {
            lock(&self.cold_target().check).on_report();
            self.cold_target().changed.notify_one();
        }
    }

    /// Requests a health check, which may tell that the target is cold.
    pub(super) fn request_cold_check(&self, reason: CheckReason) {
        if self.limits_cold_target() {
            lock(&self.cold_target().check).request(reason);
            self.cold_target().changed.notify_one();
        }
    }

    /// Counts a request that is sent to the target.
    pub(super) fn observe_sent(&self, now: BootTime) {
        if self.limits_cold_target() {
            lock(&self.cold_target().check).on_sent(now);
        }
    }

    /// Applies the service time of a request, which may show that the target has become cold.
    pub(super) fn observe_response<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        call: &RunCall,
        response: &Response<HeldBody>,
        took: Duration,
    ) {
        let now = boot_clock::now();
        {
            let limiter = self.limiter();
            let cold = limiter.cold();
            // While it is cold, its service times are not the usual ones.
            if !cold.has_rules() || cold.rate(now).is_some() {
                return;
            }
        }
        let dialect = &node.dialect;
        let info = dialect.read_response_info(response.status(), response.headers());
        let report = info.condition.report;
        let pace = report.map_or(USUAL_PACE_PERCENT, |report| report.pace_percent);
        // A target that shares its machine with others may be slow without being cold.
        let took = took * USUAL_PACE_PERCENT / pace.max(1);
        let is_suspicious = lock(&self.cold_target().check).on_response(&call.route, took, now);
        if is_suspicious {
            self.cold_target().changed.notify_one();
        }
    }

    /// Returns the refusal of a request that a limit on the rate refuses, and counts the demand.
    pub(super) fn refuse_by_rate<D: PlatformDialect>(
        &self,
        node: &NodeState<D>,
        call: &RunCall,
        retry_after: Duration,
    ) -> (RefusalReason, Duration) {
        if self.limiter().cold().rate(boot_clock::now()).is_some() {
            node.metrics.count("refused_cold", String::new());
            if let Some(shard) = node.shard_of(&call.service, call.key) {
                self.count_demand(shard, call, boot_clock::now());
            }
        }
        (RefusalReason::RateLimited, retry_after)
    }

    /// Counts a request for a shard.
    ///
    /// While the target is cold, most requests are refused here or where they enter, and the coordinator has to
    /// know of them to move the shard. So each one counts for those that were refused on their way here.
    pub(super) fn count_demand(&self, shard: ShardId, call: &RunCall, now: BootTime) {
        let is_cold = self.limiter().cold().rate(now).is_some();
        let admitted = call
            .admission
            .admitted
            .clamp(MIN_COUNTED_SHARE, WHOLE_SHARE);
        let count = if is_cold { WHOLE_SHARE / admitted } else { 1 };
        self.shard_meter().count_many(shard, count.into(), now);
    }

    fn limits_cold_target(&self) -> bool {
        self.limiter().cold().has_rules()
    }
}

/// Checks the target's health when that can tell something new, and reports when it becomes cold or warm, until the
/// process ends.
pub async fn watch_cold_target<D: PlatformDialect>(node: Arc<NodeState<D>>) {
    let gateway = &node.gateway;
    loop {
        if !gateway.limits_cold_target() {
            gateway.cold_target().changed.notified().await;
            report_change(&node, None);
            continue;
        }
        within(POLL_INTERVAL, gateway.cold_target().changed.notified()).await;
        report_change(&node, None);
        let serving = |target: &TargetIncarnation| target.state != IncarnationState::Gone;
        let Some(target) = gateway.current_incarnation().filter(serving) else {
            continue;
        };
        let now = boot_clock::now();
        let is_silent = gateway.limiter().cold().is_silent(now);
        let due = lock(&gateway.cold_target().check).due(is_silent, now);
        if let Some(reason) = due {
            check_health(&node, &target, reason).await;
            report_change(&node, Some(reason));
        }
    }
}

/// Calls the health check of the target, and applies what it says.
async fn check_health<D: PlatformDialect>(
    node: &NodeState<D>,
    target: &TargetIncarnation,
    reason: CheckReason,
) {
    let gateway = &node.gateway;
    let answer = call_health_check(node, target).await;
    let now = boot_clock::now();
    emit_event!(
        Info,
        events::TARGET_CHECKED,
        target = &*target.id,
        why = reason.as_str(),
        cold_ms = answer.as_ref().ok().copied().flatten().map(observe::millis),
        fault = answer.as_ref().err()
    );
    let labels = format!("why=\"{}\"", reason.as_str());
    node.metrics.count("target_checks", labels);
    let stated = match answer {
        Ok(Some(remaining)) => {
            gateway.on_cold_report(remaining, now);
            Some(!remaining.is_zero())
        }
        Ok(None) => {
            gateway.limiter().cold_mut().on_unstated_check();
            Some(false)
        }
        Err(_) => None,
    };
    lock(&gateway.cold_target().check).on_result(reason, stated, now);
}

/// Returns the remaining time for which the target says that it is cold; `None` if it does not state it.
async fn call_health_check<D: PlatformDialect>(
    node: &NodeState<D>,
    target: &TargetIncarnation,
) -> Result<Option<Duration>, String> {
    let path = node.health_path().ok_or("the site document has no path")?;
    let mut request = Request::get(&*path)
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let info = TargetRequestInfo {
        time_left: CHECK_TIMEOUT,
        target: target.id.clone(),
        caller_service: node.settings.service.clone(),
    };
    node.dialect
        .set_request_headers(request.headers_mut(), &info);
    let pool = node.gateway.pool();
    let result = pool
        .send(request, ConnectionAge::Fresh, CHECK_TIMEOUT)
        .await;
    let response = result.map_err(|error| error.to_string())?;
    let info = node
        .dialect
        .read_response_info(response.status(), response.headers());
    if let Some(request) = info.request {
        pool.clear();
        return Err(format!("the response belongs to request {request}"));
    }
    if info.other_target.is_some() {
        return Err("another target responded".to_owned());
    }
    Ok(info.condition.cold_for)
}

/// Logs that the target has become cold or warm, and tells the coordinator.
fn report_change<D: PlatformDialect>(node: &Arc<NodeState<D>>, checked: Option<CheckReason>) {
    let gateway = &node.gateway;
    let now = boot_clock::now();
    let rate = gateway.limiter().cold().rate(now);
    let cold_since = {
        let mut cold_since = lock(&gateway.cold_target().cold_since);
        if cold_since.is_some() == rate.is_some() {
            return;
        }
        std::mem::replace(&mut *cold_since, rate.map(|_| now))
    };
    let target = gateway.current_incarnation();
    let target = target.as_ref().map(|target| &*target.id);
    if let Some(since) = cold_since {
        emit_event!(
            Info,
            events::TARGET_WARM,
            target = target,
            after_ms = observe::millis(now.saturating_sub(since))
        );
    } else {
        emit_event!(
            Info,
            events::TARGET_COLD,
            target = target,
            why = checked.map_or("report", CheckReason::as_str),
            limit = rate,
            left_ms = observe::millis(gateway.cold_remaining(now))
        );
        node.metrics.count("target_cold_starts", String::new());
    }
    node.member_updates.notify_one();
}
