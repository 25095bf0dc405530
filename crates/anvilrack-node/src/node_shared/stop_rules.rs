//! Which requests are still sent to targets while the router stops.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{RouteRules, StopAdmission, StopRequest, UncertainReason};
use anvilrack_router::boot_clock;

use super::NodeState;
use crate::PlatformDialect;
use crate::mutex_lock::lock;
use crate::peers::RunReply;

/// Duration recorded for a request that timed out: it would have taken longer than it was given.
const TIMED_OUT_DURATION: Duration = Duration::MAX;

impl<D: PlatformDialect> NodeState<D> {
    /// Sets which requests are sent from now on, because the router stops.
    pub(super) fn set_stop_admission(&self, admission: StopAdmission) {
        // A second signal does not move the end of the stop.
        self.stop_admission.set(admission).ok();
    }

    /// Returns whether a request that entered at this router may be sent to a target.
    #[must_use]
    pub fn may_send(&self, route: &RouteRules, service: &str, time_left: Duration) -> bool {
        self.admits_at_stop(service, || StopRequest {
            time_left,
            durations: lock(&self.entry_durations).of_kind(&route.name),
            is_call: self.entry_admission().is_call(&route.name),
            run_once: !route.idempotent,
        })
    }

    /// Returns whether a request may be sent to a target; always true unless the router stops.
    pub fn admits_at_stop(&self, service: &str, request: impl FnOnce() -> StopRequest) -> bool {
        let Some(admission) = self.stop_admission.get() else {
            return true;
        };
        let is_admitted = admission.admits(&request(), boot_clock::now());
        if !is_admitted {
            let labels = format!("service=\"{service}\"");
            self.metrics.count("refused_by_stop", labels);
        }
        is_admitted
    }

    /// Records how long a request took that entered at this router, unless it did not run or its outcome
    /// says nothing about that.
    pub fn record_entry_duration(&self, route: &Arc<str>, reply: &RunReply, took: Duration) {
        let took = match reply {
            RunReply::Ran { .. } => took,
            RunReply::MayHaveRun(UncertainReason::TimedOut) => TIMED_OUT_DURATION,
            RunReply::MayHaveRun(_) | RunReply::NotRun { .. } => return,
        };
        lock(&self.entry_durations).record(route, took);
    }
}
