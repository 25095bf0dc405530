//! The driver's steps: what a router does with its states, message by message.

use std::sync::Arc;

use anvilrack_core::{
    BootTime, CellRecord, CoordinatorState, MemberReport, ReleaseReport, RenewalAnswer, ReportMark,
    StandbyState, TakeoverStep, WriterStamp,
};

use crate::property_check::check_told;
use crate::router_model::{LateMessage, OpenTakeover, RouterModel};
use crate::system_state::{STORE_BIT, SystemSetup, SystemState};
use crate::{DroppedRule, NODE_COUNT, RouterStep, WriteFate};

/// One state while an action changes it.
pub(crate) struct StepContext<'a> {
    pub(crate) setup: &'a SystemSetup,
    pub(crate) state: &'a mut SystemState,
    /// What becomes of the next write, where its reply is lost.
    fate: Option<WriteFate>,
}

/// What a writer learns of its write.
enum WriteSeen {
    Written,
    Conflict,
    Unknown,
}

impl<'a> StepContext<'a> {
    pub(crate) fn new(setup: &'a SystemSetup, state: &'a mut SystemState) -> Self {
        Self {
            setup,
            state,
            fate: None,
        }
    }

    pub(crate) fn run_step(&mut self, rank: usize, step: RouterStep) {
        match step {
            RouterStep::Office => self.office(rank),
            RouterStep::Beat => self.beat(rank),
            RouterStep::Publish => self.publish(rank),
            RouterStep::Promise => self.ask_promises(rank),
            RouterStep::Watch => self.watch(rank),
            RouterStep::Release => self.release(rank),
        }
    }

    /// Runs a step whose write stays unanswered; false where it wrote nothing.
    pub(crate) fn run_unanswered(
        &mut self,
        rank: usize,
        step: RouterStep,
        fate: WriteFate,
    ) -> bool {
        self.fate = Some(fate);
        self.run_step(rank, step);
        self.fate.is_none()
    }

    pub(crate) fn router(&mut self, rank: usize) -> &mut RouterModel {
        Arc::make_mut(&mut self.state.routers[rank])
    }

    /// Takes a record that was told to this router.
    fn accept(&mut self, rank: usize, record: &Arc<CellRecord>) {
        let now = self.state.clock(rank);
        if record.version > self.state.routers[rank].known.version {
            self.router(rank).accept(record, now);
            check_told(self.state, record);
        }
    }

    // --- the store ------------------------------------------------------------------------------

    fn write(&mut self, record: &Arc<CellRecord>, index: u64) -> WriteSeen {
        let store = Arc::make_mut(&mut self.state.store);
        if let Some(fate) = self.fate.take() {
            store.write_unanswered(record, index, fate);
            return WriteSeen::Unknown;
        }
        if store.write(record, index) {
            WriteSeen::Written
        } else {
            WriteSeen::Conflict
        }
    }

    /// The coordinator reads the store, then writes what is planned.
    fn office(&mut self, rank: usize) {
        if !self.state.reaches(rank, STORE_BIT) {
            return;
        }
        let now = self.state.clock(rank);
        let (stored, index) = (self.state.store.record.clone(), self.state.store.index);
        let router = self.router(rank);
        let based_on = router.unresolved;
        let Some(office) = router.coordinator.as_mut() else {
            return;
        };
        let standing = office.on_store_seen(&stored, now);
        if based_on.is_some_and(|based_on| based_on != index) {
            office.on_refused();
            router.unresolved = None;
        }
        if standing {
            self.write_plan(rank, index);
        } else {
            self.router(rank).coordinator = None;
            self.accept(rank, &stored);
        }
    }

    fn write_plan(&mut self, rank: usize, index: u64) {
        let now = self.state.clock(rank);
        let mut rules = self.setup.rules.clone();
        rules.checks_fence |= self.setup.drops(DroppedRule::WaitForDeadline);
        let Some(office) = self.router(rank).coordinator.as_mut() else {
            return;
        };
        let pending = office.pending().cloned();
        let Some(next) = pending.or_else(|| office.plan(&rules, 1, now)) else {
            return;
        };
        let next = Arc::new(next);
        if self.setup.drops(DroppedRule::PublishAfterCommit) {
            self.accept(rank, &next);
        }
        let seen = self.write(&next, index);
        let forget = self.setup.drops(DroppedRule::KeepPendingWrite);
        let router = self.router(rank);
        let Some(office) = router.coordinator.as_mut() else {
            return;
        };
        match seen {
            WriteSeen::Written => {
                office.on_committed(now);
                router.unresolved = None;
            }
            WriteSeen::Unknown if forget => office.on_refused(),
            WriteSeen::Unknown | WriteSeen::Conflict => router.unresolved = Some(index),
        }
    }

    fn publish(&mut self, rank: usize) {
        let office = self.state.routers[rank].coordinator.as_ref();
        if let Some(office) = office.filter(|office| !office.is_superseded()) {
            let record = Arc::new(office.record().clone());
            self.accept(rank, &record);
        }
    }

    // --- heartbeats -----------------------------------------------------------------------------

    fn coordinator_of(&self, rank: usize) -> Option<usize> {
        let wanted = &self.state.routers[rank].known.coordinator;
        let mut routers = self.state.routers.iter();
        routers.position(|router| router.node == *wanted)
    }

    fn can_call(&self, from: usize, to: usize) -> bool {
        self.state.reaches(from, to) && !self.state.is_paused(to)
    }

    fn beat(&mut self, rank: usize) {
        self.end_releases(rank);
        let sent_at = self.state.clock(rank);
        let report = self.report(rank);
        let to = self.coordinator_of(rank);
        let answer = to
            .filter(|to| self.can_call(rank, *to))
            .and_then(|to| self.answer_heartbeat(to, &report));
        match answer {
            Some((answer, update)) => self.take_answer(rank, sent_at, answer, &update),
            None => self.learn_cell(rank),
        }
    }

    fn report(&self, rank: usize) -> MemberReport {
        let mut report = self.state.routers[rank].report(self.state.clock(rank));
        if self.setup.drops(DroppedRule::RefuseLateReports) {
            report.mark = ReportMark::default();
        }
        report
    }

    fn learn_cell(&mut self, rank: usize) {
        if self.state.reaches(rank, STORE_BIT) {
            let stored = self.state.store.record.clone();
            self.accept(rank, &stored);
        }
    }

    /// The coordinator's side of a heartbeat.
    fn answer_heartbeat(
        &mut self,
        rank: usize,
        report: &MemberReport,
    ) -> Option<(RenewalAnswer, Arc<CellRecord>)> {
        let now = self.state.clock(rank);
        let authority = !self.setup.drops(DroppedRule::RenewWithAuthority);
        let losing = !self.setup.drops(DroppedRule::NoRenewalWhileLosing);
        let router = self.router(rank);
        let office = router.coordinator.as_mut()?;
        if office.is_superseded() {
            return None;
        }
        let may_renew = office.may_renew(now);
        let mut answer = office.on_heartbeat(report, now);
        answer.renewed |= (!may_renew && !authority) || (may_renew && !losing);
        Some((answer, router.known.clone()))
    }

    /// The member's side of an answer.
    fn take_answer(
        &mut self,
        rank: usize,
        sent_at: BootTime,
        answer: RenewalAnswer,
        update: &Arc<CellRecord>,
    ) {
        self.accept(rank, update);
        let now = self.state.clock(rank);
        let from = if self.setup.drops(DroppedRule::LeaseFromSending) {
            now
        } else {
            sent_at
        };
        let any_epoch = self.setup.drops(DroppedRule::RefuseOlderEpoch);
        let any_version = self.setup.drops(DroppedRule::RefuseUnknownRecord);
        let router = self.router(rank);
        router.on_answer(now);
        if answer.renewed {
            let own_epoch = if any_epoch { router.owner.epoch() } else { 0 };
            let version = if any_version { 0 } else { answer.version };
            router
                .owner
                .on_renewal(from, answer.epoch.max(own_epoch), version);
        }
        let untold = self.setup.drops(DroppedRule::TakeBackWhenTold);
        let router = self.router(rank);
        let keep = if untold { vec![0] } else { answer.keep };
        if router.owner.epoch() == answer.epoch {
            for shard in keep {
                router.take_back(shard);
            }
        }
        let orders = answer.release.into_iter();
        router.orders = orders.map(|order| order.shard).collect();
    }

    /// Releases run beside the heartbeats.
    fn release(&mut self, rank: usize) {
        let router = self.router(rank);
        for shard in std::mem::take(&mut router.orders) {
            router.owner.release(shard);
        }
        self.end_releases(rank);
    }

    /// Reports shards as given back once their last request has ended.
    fn end_releases(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let early = self.setup.drops(DroppedRule::ReleaseAfterRequest);
        let router = self.router(rank);
        let busy = router.busy_until.is_some_and(|until| now < until);
        let reports = router.owner.released().map(|(shard, token)| ReleaseReport {
            shard,
            token,
            record_at: None,
            handover: None,
        });
        router.released = reports.filter(|_| early || !busy).collect();
    }

    // --- late messages --------------------------------------------------------------------------

    pub(crate) fn send_late(&mut self, rank: usize) {
        let sent_at = self.state.clock(rank);
        let report = self.report(rank);
        let to = self.coordinator_of(rank);
        self.router(rank).late = to.map(|to| LateMessage::Request {
            sent_at,
            to,
            report,
        });
    }

    pub(crate) fn answer_late(&mut self, rank: usize) {
        let sent_at = self.state.clock(rank);
        let report = self.report(rank);
        let to = self.coordinator_of(rank);
        let answer = to
            .filter(|to| self.can_call(rank, *to))
            .and_then(|to| self.answer_heartbeat(to, &report));
        self.router(rank).late = answer.map(|(answer, update)| LateMessage::Answer {
            sent_at,
            answer,
            update,
        });
    }

    pub(crate) fn deliver(&mut self, rank: usize) {
        match self.router(rank).late.take() {
            Some(LateMessage::Request {
                sent_at,
                to,
                report,
            }) => {
                let called = !self.state.is_paused(to);
                let answer = called.then(|| self.answer_heartbeat(to, &report)).flatten();
                if let Some((answer, update)) = answer {
                    self.take_answer(rank, sent_at, answer, &update);
                }
            }
            Some(LateMessage::Answer {
                sent_at,
                answer,
                update,
            }) => self.take_answer(rank, sent_at, answer, &update),
            None => {}
        }
    }

    // --- promises and takeover ------------------------------------------------------------------

    fn ask_promises(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let Some(office) = &self.state.routers[rank].coordinator else {
            return;
        };
        let epoch = office.record().epoch;
        let successors = office.successors();
        for to in 0..NODE_COUNT {
            let node = self.state.routers[to].node.clone();
            let called = successors.contains(&node) && self.can_call(rank, to);
            if called && self.promise(to, epoch) {
                let router = self.router(rank);
                if let Some(office) = router.coordinator.as_mut() {
                    office.on_promise(&node, now);
                }
            }
        }
    }

    fn promise(&mut self, rank: usize, epoch: u64) -> bool {
        let now = self.state.clock(rank);
        let any_time = self.setup.drops(DroppedRule::NoPromiseWhileOpen);
        let router = self.router(rank);
        let known = router.known.clone();
        if any_time && router.takeover.is_some() {
            return epoch == known.epoch && router.standby.is_named(&known);
        }
        router.standby.promise(&known, epoch, now)
    }

    fn watch(&mut self, rank: usize) {
        if !self.state.reaches(rank, STORE_BIT) {
            return;
        }
        if let Some(open) = self.state.routers[rank].takeover.clone() {
            self.read_back(rank, &open);
            return;
        }
        let step = self.state.routers[rank].next_step(self.state.clock(rank));
        if step != TakeoverStep::Wait {
            self.take_over(rank, step);
        }
    }

    fn take_over(&mut self, rank: usize, step: TakeoverStep) {
        let now = self.state.clock(rank);
        let (stored, index) = (self.state.store.record.clone(), self.state.store.index);
        let router = self.router(rank);
        let known = router.known.clone();
        let named = router.standby.is_named(&stored);
        if stored.epoch > known.epoch || (step == TakeoverStep::AsStandby && !named) {
            router.on_answer(now);
            self.accept(rank, &stored);
            return;
        }
        let from_stored = self.setup.drops(DroppedRule::TakeoverFromNewer);
        let asks = !self.setup.drops(DroppedRule::TakeoverAsksOthers);
        let others = (0..NODE_COUNT).filter(|to| asks && *to != rank && self.can_call(rank, *to));
        let told = others.map(|to| self.state.routers[to].known.clone());
        let own = (!from_stored).then_some(known);
        let newer = told.chain(own).filter(|told| told.version > stored.version);
        let newer = newer.max_by_key(|told| told.version).unwrap_or(stored);
        let successor = &self.state.routers[rank];
        let record = Arc::new(newer.next_epoch(successor.member(), stamp(successor)));
        let open = OpenTakeover {
            record,
            index,
            silent_wait: self.silent_wait(step),
        };
        self.router(rank).open_takeover(open.clone());
        self.write_takeover(rank, &open);
    }

    fn write_takeover(&mut self, rank: usize, open: &OpenTakeover) {
        let now = self.state.clock(rank);
        match self.write(&open.record, open.index) {
            WriteSeen::Written => self.take_office(rank, open),
            WriteSeen::Conflict => self.router(rank).settle_takeover(now),
            WriteSeen::Unknown => {}
        }
    }

    fn read_back(&mut self, rank: usize, open: &OpenTakeover) {
        let now = self.state.clock(rank);
        if self.state.store.record.is_same_write(&open.record) {
            self.take_office(rank, open);
        } else if self.state.store.index != open.index {
            self.router(rank).settle_takeover(now);
        } else {
            self.write_takeover(rank, open);
        }
    }

    fn silent_wait(&self, step: TakeoverStep) -> BootTime {
        let terms = &self.setup.terms;
        if self.setup.drops(DroppedRule::WaitForSilent) {
            BootTime::ZERO
        } else if self.setup.drops(DroppedRule::WaitForAuthority) {
            terms.lease
        } else if step == TakeoverStep::AsOutsider && !self.setup.drops(DroppedRule::OutsiderWait) {
            terms.outage_limit + terms.silent_wait()
        } else {
            terms.silent_wait()
        }
    }

    fn take_office(&mut self, rank: usize, open: &OpenTakeover) {
        let now = self.state.clock(rank);
        let terms = self.setup.terms;
        let record = CellRecord::clone(&open.record);
        let router = self.router(rank);
        router.settle_takeover(now);
        router.unresolved = None;
        let office = CoordinatorState::new(record, terms, now, now, open.silent_wait);
        router.coordinator = Some(office);
        self.accept(rank, &open.record);
        for to in 0..NODE_COUNT {
            let member = open.record.member(&self.state.routers[to].node).is_some();
            if to != rank && member && self.can_call(rank, to) {
                self.call_member(rank, to, &open.record);
            }
        }
    }

    fn call_member(&mut self, rank: usize, to: usize, record: &Arc<CellRecord>) {
        let now = self.state.clock(to);
        let follows = self.router(to).owner.on_takeover(record.epoch);
        self.accept(to, record);
        if !follows {
            return;
        }
        self.router(to).on_answer(now);
        let report = self.report(to);
        let now = self.state.clock(rank);
        if let Some(office) = self.router(rank).coordinator.as_mut() {
            office.on_heartbeat(&report, now);
        }
    }

    // --- the life of a process ------------------------------------------------------------------

    pub(crate) fn restart(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let same_run = self.setup.drops(DroppedRule::RestartLosesStandby);
        let old = self.state.routers[rank].clone();
        let incarnation = old.incarnation + u64::from(!same_run);
        let mut router = RouterModel::new(rank, incarnation, self.setup.terms, now);
        router.slipped = old.slipped;
        router.leaving = old.leaving;
        router.ready = old.ready;
        // The target goes on with what it runs.
        router.busy_until = old.busy_until;
        router.unbound = old.unbound.as_ref().map(|_| router.standby.clone());
        if self.setup.drops(DroppedRule::RestartLosesGrants) {
            router.owner = old.owner.clone();
        }
        self.state.paused &= !(1 << rank);
        self.state.routers[rank] = Arc::new(router);
    }

    pub(crate) fn begin_request(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let timeout = BootTime::from_millis(self.setup.rules.max_timeout_ms);
        let router = self.router(rank);
        if router.owner.grant(0, now).is_ok() && router.busy_until.is_none() {
            router.busy_until = Some(now + timeout);
        }
    }

    /// Writes the first record of the cell.
    pub(crate) fn create_cell(&mut self, rank: usize) {
        let now = self.state.clock(rank);
        let router = &self.state.routers[rank];
        let record = CellRecord {
            service: "orders".into(),
            epoch: 1,
            version: 1,
            writer: stamp(router),
            coordinator: router.node.clone(),
            members: vec![router.member()],
            shards: vec![None],
            ..CellRecord::default()
        };
        let record = Arc::new(record);
        self.state.store = Arc::new(crate::StoreModel::new(record.clone()));
        let silent_wait = BootTime::ZERO;
        let office = CoordinatorState::new(
            CellRecord::clone(&record),
            self.setup.terms,
            now,
            now,
            silent_wait,
        );
        self.router(rank).coordinator = Some(office);
        self.accept(rank, &record);
    }
}

impl SystemState {
    pub(crate) fn create_cell(&mut self, setup: &SystemSetup) {
        StepContext::new(setup, self).create_cell(0);
    }
}

impl RouterModel {
    /// True where the step may change anything.
    pub(crate) fn has_work(&self, step: RouterStep, now: BootTime) -> bool {
        match step {
            RouterStep::Office | RouterStep::Publish | RouterStep::Promise => {
                self.coordinator.is_some()
            }
            // A takeover of unknown outcome keeps the heartbeats waiting.
            RouterStep::Beat => self.takeover.is_none(),
            RouterStep::Release => !self.orders.is_empty(),
            RouterStep::Watch => {
                self.takeover.is_some() || self.next_step(now) != TakeoverStep::Wait
            }
        }
    }

    fn next_step(&self, now: BootTime) -> TakeoverStep {
        let standby = self.unbound.as_ref().unwrap_or(&self.standby);
        if self.known.version == 0 {
            return TakeoverStep::Wait;
        }
        standby.step(&self.known, now)
    }

    fn open_takeover(&mut self, open: OpenTakeover) {
        self.takeover = Some(open);
        self.standby.open_takeover();
        self.unbound.as_mut().map(StandbyState::open_takeover);
    }
}

fn stamp(router: &RouterModel) -> WriterStamp {
    WriterStamp {
        node: router.node.clone(),
        incarnation: router.incarnation,
        sequence: 0,
    }
}
