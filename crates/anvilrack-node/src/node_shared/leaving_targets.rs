//! Targets that said in responses passed on by this router that they are leaving.

use std::collections::HashMap;
use std::time::Duration;

use anvilrack_core::{BootTime, Incarnation, NodeId, ServiceName};
use anvilrack_router::boot_clock;

use super::NodeState;
use crate::PlatformDialect;
use crate::mutex_lock::lock;

/// Maximum number of targets that are remembered; the oldest is removed first.
const MAX_TARGETS: usize = 1_024;

/// The incarnations that are leaving, by the name of their router.
///
/// The target's own router may restart and then know only what the target reports to it, so each router
/// keeps to the responses that it has seen itself.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    targets: HashMap<NodeId, LeavingTarget>,
}

#[derive(Clone, Copy, Debug)]
struct LeavingTarget {
    incarnation: Incarnation,
    since: BootTime,
}

impl LeavingTargets {
    /// Remembers an incarnation; returns false if it is known.
    fn insert(&mut self, router: &NodeId, incarnation: Incarnation, now: BootTime) -> bool {
        if self.since(router, incarnation).is_some() {
            return false;
        }
        if self.targets.len() >= MAX_TARGETS {
            let oldest = self.targets.iter().min_by_key(|(_, target)| target.since);
            if let Some(oldest) = oldest.map(|(router, _)| router.clone()) {
                self.targets.remove(&oldest);
            }
        }
        let target = LeavingTarget {
            incarnation,
            since: now,
        };
        self.targets.insert(router.clone(), target);
        true
    }

    /// Returns since when an incarnation is known to be leaving.
    fn since(&self, router: &str, incarnation: Incarnation) -> Option<BootTime> {
        let target = self.targets.get(router)?;
        (target.incarnation == incarnation).then_some(target.since)
    }
}

impl<D: PlatformDialect> NodeState<D> {
    /// Remembers that the target of a router says that it is leaving, and selects it no more.
    pub fn on_leaving_said(
        &self,
        service: &ServiceName,
        router: &NodeId,
        incarnation: Incarnation,
    ) {
        let now = boot_clock::now();
        if lock(&self.leaving_targets).insert(router, incarnation, now) {
            self.refresh_selector(service);
        }
    }

    /// Returns for how long an incarnation is known to be leaving.
    pub(super) fn leaving_for(&self, router: &str, incarnation: Incarnation) -> Option<Duration> {
        let since = lock(&self.leaving_targets).since(router, incarnation)?;
        Some(boot_clock::now().saturating_sub(since))
    }
}
