//! Targets of services that are not divided by key, as this router sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use anvilrack_core::{
    BootTime, CellMember, CellRecord, HealthOutcome, NodeId, RefusalReason, RequestVerdict,
    RouteTable, ServiceName, TableVersion, TargetChoice, events,
};
use anvilrack_settings::ChoiceMode;
use rand::Rng;

use crate::{boot_clock, log_event};

/// One [`TargetChoice`] for each service.
#[derive(Debug)]
pub struct SpreadChoices {
    mode: ChoiceMode,
    /// This router, for the distance to others.
    own: CellMember,
    services: Mutex<BTreeMap<ServiceName, ServiceView>>,
}

#[derive(Debug, Default)]
struct ServiceView {
    version: Option<TableVersion>,
    choice: TargetChoice,
}

impl SpreadChoices {
    /// You give the rule to choose by, and this router.
    #[must_use]
    pub fn new(mode: ChoiceMode, own: CellMember) -> Self {
        Self {
            mode,
            own,
            services: Mutex::default(),
        }
    }

    /// Chooses a member of the service's cell and counts a request as sent to it.
    ///
    /// Returns none where the key's owner is to be asked.
    #[must_use]
    pub fn choose(&self, routes: &RouteTable, service: &ServiceName) -> Option<CellMember> {
        let cell = routes.cell(service)?;
        let now = boot_clock::now();
        let mut services = self.services();
        let view = services.entry(service.clone()).or_default();
        view.follow(&self.own, cell, now);
        let node = self.choose_node(&mut view.choice, now)?;
        view.choice.begin(&node, now);
        cell.member(&node).cloned()
    }

    fn choose_node(&self, choice: &mut TargetChoice, now: BootTime) -> Option<NodeId> {
        match self.mode {
            ChoiceMode::TwoChoices => choice.choose(rand::rng().random(), now),
            ChoiceMode::Random => choice.choose_random(rand::rng().random()),
            ChoiceMode::RoundRobin => choice.choose_next(),
            ChoiceMode::Owner => None,
        }
    }

    /// Takes the outcome of a request.
    pub fn record(
        &self,
        service: &ServiceName,
        node: &NodeId,
        sent_at: BootTime,
        verdict: &RequestVerdict,
    ) {
        let now = boot_clock::now();
        let mut services = self.services();
        let Some(view) = services.get_mut(service) else {
            return;
        };
        let choice = &mut view.choice;
        let before = choice.is_suspect(node);
        let took = now.saturating_sub(sent_at);
        choice.end(node, service, outcome_of(verdict), took, now);
        if let RequestVerdict::NotRun(_, retry_after) = verdict {
            choice.set_busy(node, now + *retry_after);
        }
        let after = choice.is_suspect(node);
        if before != after {
            log_event!(
                Warn,
                events::TARGET_SUSPECTED,
                "service" = service,
                "target" = node,
                "suspect" = after
            );
        }
    }

    fn services(&self) -> MutexGuard<'_, BTreeMap<ServiceName, ServiceView>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceView {
    /// Takes the members of a newer record. Those with shards are the ready ones.
    fn follow(&mut self, own: &CellMember, cell: &CellRecord, now: BootTime) {
        if self.version == Some(cell.version) {
            return;
        }
        self.version = Some(cell.version);
        let owners: BTreeSet<&NodeId> = cell.shards.iter().flatten().map(|o| &o.node).collect();
        let members = cell.members.iter();
        let ready = members.filter(|member| !member.leaving && owners.contains(&member.node));
        self.choice.set_members(own, ready, now);
    }
}

/// What a verdict says of the target's health.
#[must_use]
pub fn outcome_of(verdict: &RequestVerdict) -> HealthOutcome {
    match verdict {
        RequestVerdict::Ran(_) => HealthOutcome::Answered,
        RequestVerdict::MayHaveRun(_)
        | RequestVerdict::NotRun(
            RefusalReason::OwnerUnreachable | RefusalReason::TargetRefused,
            _,
        ) => HealthOutcome::Failed,
        RequestVerdict::NotRun(..) => HealthOutcome::NotTried,
    }
}
