//! The steps of a router, which drive its production state machines and exchange messages.

use std::sync::Arc;

use anvilrack_core::{
    BootTime, CellRecord, CoordinatorState, MemberReport, OwnerState, ReleaseReport, RenewalAnswer,
    ReportSequence, StandbyState, TakeoverStep, TargetHolds, WriterStamp,
};

use crate::model_terms::ticks;
use crate::property_check::check_published;
use crate::router_model::{LateMessage, OpenTakeover, RouterModel, TargetModel};
use crate::system_state::{STORE_BIT, SystemSetup, SystemState};
use crate::{DroppedRule, LostResponseOutcome, ROUTER_COUNT, RouterStep};

/// A state to which an action is being applied.
pub(crate) struct StepContext<'a> {
    pub(crate) setup: &'a SystemSetup,
    pub(crate) state: &'a mut SystemState,
    /// What happens to the next write, if its response is to be lost.
    outcome: Option<LostResponseOutcome>,
    /// Whether the next grant gets no response and takes effect late.
    delays_grant: bool,
}

/// What a writer learns about its write.
enum WriteResult {
    Written,
    Conflict,
    Unknown,
}

impl<'a> StepContext<'a> {
    pub(crate) fn new(setup: &'a SystemSetup, state: &'a mut SystemState) -> Self {
        Self {
            setup,
            state,
            outcome: None,
            delays_grant: false,
        }
    }

    pub(crate) fn run_step(&mut self, rank: usize, step: RouterStep) {
        match step {
            RouterStep::CommitRecord => self.coordinate(rank),
            RouterStep::SendHeartbeat => self.send_heartbeat(rank),
            RouterStep::Publish => self.publish(rank),
            RouterStep::Promise => self.ask_promises(rank),
            RouterStep::CheckCoordinator => self.check_coordinator(rank),
            RouterStep::Release => self.release_shards(rank),
        }
    }

    /// Runs a step with the response to its write lost, and returns whether the step wrote anything.
    pub(crate) fn run_with_lost_response(
        &mut self,
        rank: usize,
        step: RouterStep,
        outcome: LostResponseOutcome,
    ) -> bool {
        self.outcome = Some(outcome);
        self.run_step(rank, step);
        self.outcome.is_none()
    }

    pub(crate) fn router(&mut self, rank: usize) -> &mut RouterModel {
        Arc::make_mut(&mut self.state.routers[rank])
    }

    /// Accepts a record that was published to this router, if it is newer than the known one.
    fn accept(&mut self, rank: usize, record: &Arc<CellRecord>) {
        let now = self.state.clock(rank);
        if record.version > self.state.routers[rank].known.version {
            self.router(rank).accept(record, now);
            check_published(self.state, record);
        }
    }

    // --- the store ------------------------------------------------------------------------------

    /// Writes a record to the store, or loses the response if an action requires that.
    fn write(&mut self, record: &Arc<CellRecord>, index: u64) -> WriteResult {
        let store = Arc::make_mut(&mut self.state.store);
        if let Some(outcome) = self.outcome.take() {
            store.write_with_lost_response(record, index, outcome);
            return WriteResult::Unknown;
        }
        if store.write(record, index) {
            WriteResult::Written
        } else {
            WriteResult::Conflict
        }
    }

    /// As coordinator: reads the store, then writes the planned record.
    fn coordinate(&mut self, rank: usize) {
        if !self.state.reaches(rank, STORE_BIT) {
            return;
        }
        let now = self.state.clock(rank);
        let (stored, index) = (self.state.store.record.clone(), self.state.store.index);
        let router = self.router(rank);
        let unknown_base = router.unknown_write_base;
        let Some(coordinator) = router.coordinator.as_mut() else {
            return;
        };
        let still_coordinator = coordinator.on_store_read(&stored, now);
        if unknown_base.is_some_and(|base| base != index) {
            coordinator.on_refused();
            router.unknown_write_base = None;
        }
        if still_coordinator {
            self.write_plan(rank, index);
        } else {
            self.router(rank).coordinator = None;
            self.accept(rank, &stored);
        }
    }

    /// Writes the pending record of the coordinator, or else the one that it plans next.
    fn write_plan(&mut self, rank: usize, index: u64) {
        let now = self.state.clock(rank);
        let mut rules = self.setup.rules.clone();
        rules.checks_fence |= self.setup.drops(DroppedRule::WaitForDeadline);
        let Some(coordinator) = self.router(rank).coordinator.as_mut() else {
            return;
        };
        let pending = coordinator.pending().cloned();
        let Some(next) = pending.or_else(|| coordinator.plan(&rules, 1, now)) else {
            return;
        };
        let next = Arc::new(next);
        if self.setup.drops(DroppedRule::PublishAfterCommit) {
            self.accept(rank, &next);
        }
        let response = self.write(&next, index);
        let forgets_pending = self.setup.drops(DroppedRule::KeepPendingWrite);
        let router = self.router(rank);
        let Some(coordinator) = router.coordinator.as_mut() else {
            return;
        };
        match response {
            WriteResult::Written => {
                coordinator.on_committed(now);
                router.unknown_write_base = None;
            }
            WriteResult::Unknown if forgets_pending => coordinator.on_refused(),
            WriteResult::Unknown | WriteResult::Conflict => router.unknown_write_base = Some(index),
        }
    }

    /// As coordinator: publishes the committed record.
    fn publish(&mut self, rank: usize) {
        let coordinator = self.state.routers[rank].coordinator.as_ref();
        if let Some(coordinator) = coordinator.filter(|coordinator| !coordinator.is_superseded()) {
            let record = Arc::new(coordinator.record().clone());
            self.accept(rank, &record);
        }
    }

    // --- heartbeats -----------------------------------------------------------------------------

    /// Returns the rank of the coordinator that this router knows.
    fn coordinator_of(&self, rank: usize) -> Option<usize> {
        let coordinator = &self.state.routers[rank].known.coordinator;
        let mut routers = self.state.routers.iter();
        routers.position(|router| router.node == *coordinator)
    }

    fn can_call(&self, from: usize, to: usize) -> bool {
        self.state.reaches(from, to) && !self.state.is_paused(to)
    }

    fn send_heartbeat(&mut self, rank: usize) {
        self.report_releases(rank);
        let sent_at = self.state.clock(rank);
        let report = self.report(rank);
        let to = self.coordinator_of(rank);
        let answer = to
            .filter(|to| self.can_call(rank, *to))
            .and_then(|to| self.answer_heartbeat(to, &report));
        match answer {
            Some((answer, update)) => self.handle_reply(rank, sent_at, answer, &update),
            None => self.read_stored_record(rank),
        }
    }

    fn report(&self, rank: usize) -> MemberReport {
        let router = &self.state.routers[rank];
        let mut report = router.report(self.state.clock(rank));
        report
            .released
            .extend(router.former_releases.iter().cloned());
        if self.setup.drops(DroppedRule::RefuseLateReports) {
            report.mark = ReportSequence::default();
        }
        report
    }

    /// Reads the record from the store, for a router whose heartbeat gets no reply.
    fn read_stored_record(&mut self, rank: usize) {
        if self.state.reaches(rank, STORE_BIT) {
            let stored = self.state.store.record.clone();
            self.accept(rank, &stored);
        }
    }

    /// Handles a heartbeat as coordinator, and returns the reply and the coordinator's newest record.
    ///
    /// Returns `None` if this router is not the coordinator, or has been superseded.
    fn answer_heartbeat(
        &mut self,
        rank: usize,
        report: &MemberReport,
    ) -> Option<(RenewalAnswer, Arc<CellRecord>)> {
        let now = self.state.clock(rank);
        let checks_authority = !self.setup.drops(DroppedRule::RenewWithAuthority);
        let checks_lost_shards = !self.setup.drops(DroppedRule::NoRenewalWhileLosing);
        let router = self.router(rank);
        let coordinator = router.coordinator.as_mut()?;
        if coordinator.is_superseded() {
            return None;
        }
        let may_renew = coordinator.may_renew(now);
        let mut answer = coordinator.on_heartbeat(report, now);
        if may_renew && !checks_lost_shards && !answer.renewed {
            answer.renewed = true;
            answer.release.clear();
        }
        answer.renewed |= !may_renew && !checks_authority;
        Some((answer, router.known.clone()))
    }

    /// Handles the reply to a heartbeat as the router that sent it.
    fn handle_reply(
        &mut self,
        rank: usize,
        sent_at: BootTime,
        answer: RenewalAnswer,
        update: &Arc<CellRecord>,
    ) {
        self.accept(rank, update);
        let now = self.state.clock(rank);
        // An order that comes with the first renewal of a lease takes effect before it.
        if self.state.routers[rank].owner.lease_until() <= now {
            let router = self.router(rank);
            for order in &answer.release {
                router.release(order.shard);
            }
        }
        let lease_start = if self.setup.drops(DroppedRule::LeaseFromSending) {
            now
        } else {
            sent_at
        };
        let accepts_any_epoch = self.setup.drops(DroppedRule::RefuseOlderEpoch);
        let accepts_any_version = self.setup.drops(DroppedRule::RefuseUnknownRecord);
        let router = self.router(rank);
        router.on_answer(now);
        router.former_releases.clear();
        if answer.renewed {
            let own_epoch = if accepts_any_epoch {
                router.owner.epoch()
            } else {
                0
            };
            let version = if accepts_any_version {
                0
            } else {
                answer.version
            };
            router
                .owner
                .on_renewal(lease_start, answer.epoch.max(own_epoch), version);
        }
        let takes_all_back = self.setup.drops(DroppedRule::TakeBackWhenTold);
        let router = self.router(rank);
        let keep = if takes_all_back { vec![0] } else { answer.keep };
        if router.owner.epoch() == answer.epoch {
            for shard in keep {
                router.take_back(shard);
            }
        }
        let orders = answer.release.into_iter();
        router.release_orders = orders.map(|order| order.shard).collect();
        self.grant(rank);
    }

    /// Grants the shard to the target until the lease ends, if this router may serve the shard.
    fn grant(&mut self, rank: usize) {
        let delays_grant = std::mem::take(&mut self.delays_grant);
        let (now, model_time) = (self.state.clock(rank), ticks(self.state.tick));
        if self.state.routers[rank].owner.grant(0, now).is_err() {
            return;
        }
        let router = self.router(rank);
        let hold = router.owner.lease_until().saturating_sub(now);
        let until = model_time + hold;
        if delays_grant {
            router.target.late_grant = Some(until);
            router.holds.on_unanswered(0, now, hold);
        } else {
            router.target.held_until = router.target.held_until.max(until);
            router.holds.on_granted(0, now, hold);
        }
    }

    pub(crate) fn send_heartbeat_with_late_grant(&mut self, rank: usize) {
        self.delays_grant = true;
        self.send_heartbeat(rank);
    }

    /// Lets the late grant of a router take effect, which it does also after a release.
    pub(crate) fn apply_late_grant(&mut self, rank: usize) {
        let target = &mut self.router(rank).target;
        if let Some(until) = target.late_grant.take() {
            target.held_until = target.held_until.max(until);
        }
    }

    /// Stops serving the shards that the coordinator has ordered this router to release, and reports the
    /// releases once no request runs.
    ///
    /// Releases run independently of the heartbeats.
    fn release_shards(&mut self, rank: usize) {
        let router = self.router(rank);
        for shard in std::mem::take(&mut router.release_orders) {
            router.release(shard);
        }
        router.release_former();
        self.report_releases(rank);
    }

    /// Reports shards as released once their last request has ended and no grant can take effect any more.
    fn report_releases(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let reports_early = self.setup.drops(DroppedRule::ReleaseAfterRequest);
        let ignores_grants = self.setup.drops(DroppedRule::ReleaseAfterLateGrants);
        let router = self.router(rank);
        let runs_request = router.busy_until.is_some_and(|until| now < until);
        let may_be_granted = now < router.holds.may_take_effect_until(0);
        let released = router.owner.released();
        let released = released
            .filter(|_| reports_early || !runs_request)
            .filter(|_| ignores_grants || !may_be_granted);
        let former = router.owner.former();
        let former = former.filter(|(shard, _)| router.holds.may_hold_until(*shard) <= now);
        let reports = released.chain(former);
        router.released = reports
            .map(|(shard, token)| ReleaseReport::new(shard, token))
            .collect();
    }

    // --- late messages --------------------------------------------------------------------------

    /// Sends a heartbeat that arrives only with [`Self::deliver_late`].
    pub(crate) fn delay_heartbeat(&mut self, rank: usize) {
        let sent_at = self.state.clock(rank);
        let report = self.report(rank);
        let to = self.coordinator_of(rank);
        self.router(rank).late_message = to.map(|to| LateMessage::Request {
            sent_at,
            to,
            report,
        });
    }

    /// Sends a heartbeat; the reply to it arrives only with [`Self::deliver_late`].
    pub(crate) fn delay_reply(&mut self, rank: usize) {
        let sent_at = self.state.clock(rank);
        let report = self.report(rank);
        let to = self.coordinator_of(rank);
        let answer = to
            .filter(|to| self.can_call(rank, *to))
            .and_then(|to| self.answer_heartbeat(to, &report));
        self.router(rank).late_message = answer.map(|(answer, update)| LateMessage::Reply {
            sent_at,
            answer,
            update,
        });
    }

    /// Delivers the late message of a router.
    pub(crate) fn deliver_late(&mut self, rank: usize) {
        match self.router(rank).late_message.take() {
            Some(LateMessage::Request {
                sent_at,
                to,
                report,
            }) => {
                let is_running = !self.state.is_paused(to);
                let answer = is_running
                    .then(|| self.answer_heartbeat(to, &report))
                    .flatten();
                let is_present_run = report.mark.run == self.state.routers[rank].run;
                if let Some((answer, update)) = answer.filter(|_| is_present_run) {
                    self.handle_reply(rank, sent_at, answer, &update);
                }
            }
            Some(LateMessage::Reply {
                sent_at,
                answer,
                update,
            }) => self.handle_reply(rank, sent_at, answer, &update),
            None => {}
        }
    }

    // --- promises and takeover ------------------------------------------------------------------

    /// As coordinator: asks the standbys for promises not to take over.
    fn ask_promises(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let Some(coordinator) = &self.state.routers[rank].coordinator else {
            return;
        };
        let epoch = coordinator.record().epoch;
        let successors = coordinator.successors();
        for to in 0..ROUTER_COUNT {
            let node = self.state.routers[to].node.clone();
            let is_asked = successors.contains(&node) && self.can_call(rank, to);
            if is_asked && self.promise(to, epoch) {
                let router = self.router(rank);
                if let Some(coordinator) = router.coordinator.as_mut() {
                    coordinator.on_promise(&node, now);
                }
            }
        }
    }

    /// As standby: makes a promise to the coordinator of `epoch`, and returns whether it did.
    fn promise(&mut self, rank: usize, epoch: u64) -> bool {
        let now = self.state.clock(rank);
        let ignores_takeover = self.setup.drops(DroppedRule::NoPromiseWhileOpen);
        let router = self.router(rank);
        let known = router.known.clone();
        if ignores_takeover && router.takeover.is_some() {
            return epoch == known.epoch && router.standby.is_named_standby(&known);
        }
        router.standby.promise(&known, epoch, now)
    }

    /// Resolves this router's takeover of unknown outcome, or takes over if the coordinator has been
    /// silent for too long.
    fn check_coordinator(&mut self, rank: usize) {
        if !self.state.reaches(rank, STORE_BIT) {
            return;
        }
        if let Some(open) = self.state.routers[rank].takeover.clone() {
            self.resolve_takeover(rank, &open);
            return;
        }
        let step = self.state.routers[rank].next_step(self.state.clock(rank));
        if step != TakeoverStep::Wait || self.state.routers[rank].was_coordinator() {
            self.take_over(rank, step);
        }
    }

    /// Writes a record that makes this router the coordinator, unless the stored one shows that it is
    /// not entitled to that.
    fn take_over(&mut self, rank: usize, step: TakeoverStep) {
        let now = self.state.clock(rank);
        let (stored, index) = (self.state.store.record.clone(), self.state.store.index);
        let router = self.router(rank);
        let known = router.known.clone();
        let named_as_standby = router.standby.is_named_standby(&stored);
        if stored.epoch > known.epoch || (step == TakeoverStep::AsStandby && !named_as_standby) {
            router.on_answer(now);
            self.accept(rank, &stored);
            return;
        }
        let ignores_own = self.setup.drops(DroppedRule::TakeoverFromNewer);
        let asks_others = !self.setup.drops(DroppedRule::TakeoverAsksOthers);
        let others =
            (0..ROUTER_COUNT).filter(|to| asks_others && *to != rank && self.can_call(rank, *to));
        let others_known = others.map(|to| self.state.routers[to].known.clone());
        let own = (!ignores_own).then_some(known);
        let newer = others_known
            .chain(own)
            .filter(|record| record.version > stored.version);
        let newest = newer.max_by_key(|record| record.version).unwrap_or(stored);
        let successor = &self.state.routers[rank];
        let record = Arc::new(newest.next_epoch(successor.member(), writer_stamp(successor)));
        let open = OpenTakeover {
            record,
            index,
            silent_wait: self.silent_wait(step),
        };
        self.router(rank).begin_takeover(open.clone());
        self.write_takeover(rank, &open);
    }

    fn write_takeover(&mut self, rank: usize, open: &OpenTakeover) {
        let now = self.state.clock(rank);
        match self.write(&open.record, open.index) {
            WriteResult::Written => self.become_coordinator(rank, open),
            WriteResult::Conflict => self.router(rank).finish_takeover(now),
            WriteResult::Unknown => {}
        }
    }

    /// Finds out from the store whether the write of a takeover took effect, and repeats the write if
    /// the store has not changed.
    fn resolve_takeover(&mut self, rank: usize, open: &OpenTakeover) {
        let now = self.state.clock(rank);
        if self.state.store.record.is_same_write(&open.record) {
            self.become_coordinator(rank, open);
        } else if self.state.store.index != open.index {
            self.router(rank).finish_takeover(now);
        } else {
            self.write_takeover(rank, open);
        }
    }

    /// Returns how long the new coordinator waits for owners that stay silent.
    fn silent_wait(&self, step: TakeoverStep) -> BootTime {
        let terms = &self.setup.terms;
        if self.setup.drops(DroppedRule::WaitForSilent) {
            BootTime::ZERO
        } else if self.setup.drops(DroppedRule::WaitForAuthority) {
            terms.lease
        } else if step == TakeoverStep::AsOutsider && !self.setup.drops(DroppedRule::OutsiderWait) {
            terms.max_outage + terms.silent_wait()
        } else {
            terms.silent_wait()
        }
    }

    /// Makes this router the coordinator after its takeover write, and announces that to the members.
    fn become_coordinator(&mut self, rank: usize, open: &OpenTakeover) {
        let now = self.state.clock(rank);
        let terms = self.setup.terms;
        let record = CellRecord::clone(&open.record);
        let router = self.router(rank);
        router.finish_takeover(now);
        router.unknown_write_base = None;
        let coordinator = CoordinatorState::new(record, terms, now, now, open.silent_wait);
        router.coordinator = Some(coordinator);
        self.accept(rank, &open.record);
        for to in 0..ROUTER_COUNT {
            let member = open.record.member(&self.state.routers[to].node).is_some();
            if to != rank && member && self.can_call(rank, to) {
                self.announce_takeover(rank, to, &open.record);
            }
        }
    }

    /// Announces a takeover to a member and handles the report that it replies with.
    fn announce_takeover(&mut self, rank: usize, to: usize, record: &Arc<CellRecord>) {
        let now = self.state.clock(to);
        let accepts_takeover = self.router(to).owner.on_takeover(record.epoch);
        self.accept(to, record);
        if !accepts_takeover {
            return;
        }
        self.router(to).on_answer(now);
        let report = self.report(to);
        let now = self.state.clock(rank);
        if let Some(coordinator) = self.router(rank).coordinator.as_mut() {
            coordinator.on_heartbeat(&report, now);
        }
    }

    // --- restarts, requests and the first record ------------------------------------------------

    pub(crate) fn restart(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let same_incarnation = self.setup.drops(DroppedRule::RestartLosesStandby);
        let old = self.state.routers[rank].clone();
        let incarnation = old.incarnation + u64::from(!same_incarnation);
        let mut router = RouterModel::new(rank, incarnation, self.setup.terms, now);
        router.clock_lag = old.clock_lag;
        router.leaving = old.leaving;
        router.ready = old.ready;
        // The target keeps running its request while its router restarts.
        router.busy_until = old.busy_until;
        router.standby_without_promises = old
            .standby_without_promises
            .as_ref()
            .map(|_| router.standby.clone());
        if self.setup.drops(DroppedRule::RestartLosesGrants) {
            router.owner = old.owner.clone();
        }
        self.state.paused &= !(1 << rank);
        self.state.routers[rank] = Arc::new(router);
    }

    /// Restarts the process of a router: it forgets all but its target, and a heartbeat that it has sent may
    /// still arrive.
    pub(crate) fn restart_process(&mut self, rank: usize) {
        let old = self.state.routers[rank].clone();
        self.restart(rank);
        let keeps_releases = self.setup.drops(DroppedRule::ReleasesEndWithRun);
        let ignores_grants = self.setup.drops(DroppedRule::FormerGrantsPending);
        let (now, terms) = (self.state.clock(rank), self.setup.terms);
        let router = self.router(rank);
        router.incarnation = old.incarnation;
        router.run = old.run + 1;
        router.target = old.target;
        if !ignores_grants {
            router.holds = TargetHolds::new(now, terms.owner_lease());
        }
        router.owner = OwnerState::new(old.node.clone(), old.incarnation, terms);
        router.standby = StandbyState::new(old.node.clone(), old.incarnation, terms, now);
        router.late_message = old
            .late_message
            .clone()
            .filter(|message| matches!(message, LateMessage::Request { .. }));
        if keeps_releases {
            router.former_releases.clone_from(&old.released);
        }
    }

    /// Restarts the target of a router, which goes on as before.
    pub(crate) fn restart_target(&mut self, rank: usize) {
        let router = self.router(rank);
        router.busy_until = None;
        router.target = TargetModel {
            restarted: true,
            ..TargetModel::default()
        };
    }

    /// Makes a router whose target has restarted a new incarnation.
    pub(crate) fn notice_target(&mut self, rank: usize) {
        let (now, terms) = (self.state.clock(rank), self.setup.terms);
        let forgets_holds = self.setup.drops(DroppedRule::HoldsOutlastIncarnation);
        let router = self.router(rank);
        router.incarnation += 1;
        router.owner = OwnerState::new(router.node.clone(), router.incarnation, terms);
        router.owner.on_record(&router.known, now);
        router.standby.set_incarnation(router.incarnation);
        if let Some(standby) = &mut router.standby_without_promises {
            standby.set_incarnation(router.incarnation);
        }
        router.release_orders.clear();
        router.target.restarted = false;
        if forgets_holds {
            router.holds = TargetHolds::default();
        }
        self.report_releases(rank);
    }

    pub(crate) fn begin_request(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let timeout = BootTime::from_millis(self.setup.rules.max_timeout_ms);
        let router = self.router(rank);
        if router.owner.grant(0, now).is_ok() && router.busy_until.is_none() {
            router.busy_until = Some(now + timeout);
        }
    }

    /// Writes the first record of the cell, with this router as its coordinator and only member.
    pub(crate) fn create_cell(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let router = &self.state.routers[rank];
        let record = CellRecord {
            service: "orders".into(),
            epoch: 1,
            version: 1,
            writer: writer_stamp(router),
            coordinator: router.node.clone(),
            members: vec![router.member()],
            shards: vec![None],
            ..CellRecord::default()
        };
        let record = Arc::new(record);
        self.state.store = Arc::new(crate::StoreModel::new(record.clone()));
        let silent_wait = BootTime::ZERO;
        let coordinator = CoordinatorState::new(
            CellRecord::clone(&record),
            self.setup.terms,
            now,
            now,
            silent_wait,
        );
        self.router(rank).coordinator = Some(coordinator);
        self.accept(rank, &record);
    }
}

impl SystemState {
    pub(crate) fn create_cell(&mut self, setup: &SystemSetup) {
        StepContext::new(setup, self).create_cell(0);
    }
}

impl RouterModel {
    /// Returns whether the step may change anything.
    pub(crate) fn has_work(&self, step: RouterStep, now: BootTime) -> bool {
        match step {
            RouterStep::CommitRecord | RouterStep::Publish | RouterStep::Promise => {
                self.coordinator.is_some()
            }
            // A router sends no heartbeats while the outcome of its takeover is unknown.
            RouterStep::SendHeartbeat => self.takeover.is_none(),
            RouterStep::Release => !self.release_orders.is_empty() || self.holds_former(now),
            RouterStep::CheckCoordinator => {
                let is_due = self.next_step(now) != TakeoverStep::Wait;
                self.takeover.is_some() || is_due || self.was_coordinator()
            }
        }
    }

    /// Returns whether this router takes over from its coordinator at the time `now`, and in which role.
    fn next_step(&self, now: BootTime) -> TakeoverStep {
        let standby = self
            .standby_without_promises
            .as_ref()
            .unwrap_or(&self.standby);
        if self.known.version == 0 {
            return TakeoverStep::Wait;
        }
        standby.step(&self.known, now)
    }

    fn begin_takeover(&mut self, open: OpenTakeover) {
        self.takeover = Some(open);
        self.standby.begin_takeover();
        self.standby_without_promises
            .as_mut()
            .map(StandbyState::begin_takeover);
    }
}

fn writer_stamp(router: &RouterModel) -> WriterStamp {
    WriterStamp {
        node: router.node.clone(),
        incarnation: router.incarnation,
        sequence: 0,
    }
}
