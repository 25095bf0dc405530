//! Target selection for services that are not divided by key.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CellVersion, HealthOutcome, NodeId, RefusalReason,
    RegionRule, RequestVerdict, RouteTable, ServiceName, TargetSelector, events,
};
use anvilrack_settings::TargetSelectionMode;
use rand::Rng;

use crate::{boot_clock, log_event};

/// One [`TargetSelector`] per service, shared by all threads of this router.
#[derive(Debug)]
pub struct ServiceSelectors {
    mode: TargetSelectionMode,
    /// This router's own member entry, used to determine the distance to others.
    own: CellMember,
    services: Mutex<BTreeMap<ServiceName, ServiceState>>,
}

#[derive(Debug, Default)]
struct ServiceState {
    version: Option<CellVersion>,
    selector: TargetSelector,
}

impl ServiceSelectors {
    /// Creates the selectors; `mode` is the selection rule and `own` this router's member entry.
    #[must_use]
    pub fn new(mode: TargetSelectionMode, own: CellMember) -> Self {
        Self {
            mode,
            own,
            services: Mutex::default(),
        }
    }

    /// Selects a member of the service's cell and counts a request as sent to it.
    ///
    /// Returns `None` if the request is to be sent to the owner of its key's shard.
    #[must_use]
    pub fn choose(&self, routes: &RouteTable, service: &ServiceName) -> Option<CellMember> {
        let cell = routes.cell(service)?;
        let now = boot_clock::now();
        let mut services = self.services();
        let state = services.entry(service.clone()).or_default();
        state.update_members(&self.own, cell, now);
        let node = self.choose_node(&mut state.selector, now)?;
        state.selector.begin(&node, now);
        cell.member(&node).cloned()
    }

    fn choose_node(&self, selector: &mut TargetSelector, now: BootTime) -> Option<NodeId> {
        match self.mode {
            TargetSelectionMode::TwoChoices => {
                selector.choose(rand::rng().random(), &RegionRule::default(), now)
            }
            TargetSelectionMode::Random => selector.choose_random(rand::rng().random()),
            TargetSelectionMode::RoundRobin => selector.choose_round_robin(),
            TargetSelectionMode::Owner => None,
        }
    }

    /// Records the outcome of a request that was sent to a selected member.
    pub fn record_outcome(
        &self,
        service: &ServiceName,
        node: &NodeId,
        sent_at: BootTime,
        verdict: &RequestVerdict,
    ) {
        let now = boot_clock::now();
        let mut services = self.services();
        let Some(state) = services.get_mut(service) else {
            return;
        };
        let selector = &mut state.selector;
        let was_suspect = selector.is_suspect(node);
        let elapsed = now.saturating_sub(sent_at);
        selector.end(node, service, health_outcome_of(verdict), elapsed, now);
        if let RequestVerdict::NotRun(_, retry_after) = verdict {
            selector.set_busy(node, now + *retry_after);
        }
        let is_suspect = selector.is_suspect(node);
        if was_suspect != is_suspect {
            log_event!(
                Warn,
                events::TARGET_SUSPECTED,
                "service" = service,
                "target" = node,
                "suspect" = is_suspect
            );
        }
    }

    fn services(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ServiceState>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceState {
    /// Updates the members from a newer version of the cell's record. Members that own shards are
    /// ready.
    fn update_members(&mut self, own: &CellMember, cell: &CellRecord, now: BootTime) {
        if self.version == Some(cell.version) {
            return;
        }
        self.version = Some(cell.version);
        let owners: BTreeSet<&NodeId> = cell.shards.iter().flatten().map(|o| &o.node).collect();
        let members = cell.members.iter();
        let ready = members.filter(|member| !member.leaving && owners.contains(&member.node));
        self.selector.set_members(own, ready, now);
    }
}

/// Returns what a verdict says about the target's health.
#[must_use]
pub fn health_outcome_of(verdict: &RequestVerdict) -> HealthOutcome {
    match verdict {
        RequestVerdict::Ran(_) => HealthOutcome::Answered,
        RequestVerdict::MayHaveRun(_)
        | RequestVerdict::NotRun(
            RefusalReason::OwnerUnreachable | RefusalReason::TargetRefused,
            _,
        ) => HealthOutcome::Failed,
        RequestVerdict::NotRun(..) => HealthOutcome::NotReached,
    }
}
