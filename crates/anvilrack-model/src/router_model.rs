//! One router of the model: the real states and what its driver keeps besides.

use std::sync::Arc;

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CoordinatorState, Incarnation, LeaseTerms, MemberReport,
    NodeId, OwnerState, ReleaseReport, RenewalAnswer, ReportMark, ShardId, StandbyState,
};

/// One run of a router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouterModel {
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) ready: bool,
    pub(crate) leaving: bool,
    pub(crate) slipped: u32,
    pub(crate) owner: OwnerState,
    pub(crate) standby: StandbyState,
    /// Like `standby` but without promises, for the mutant that ignores them.
    pub(crate) unbound: Option<StandbyState>,
    pub(crate) coordinator: Option<CoordinatorState>,
    pub(crate) known: Arc<CellRecord>,
    /// The index that a write of unknown outcome was made on.
    pub(crate) unresolved: Option<u64>,
    pub(crate) takeover: Option<OpenTakeover>,
    pub(crate) late: Option<LateMessage>,
    /// When the request at the target ends, and its shard.
    pub(crate) busy_until: Option<BootTime>,
    pub(crate) released: Vec<ReleaseReport>,
    /// Shards to give back.
    pub(crate) orders: Vec<ShardId>,
}

/// A takeover write of unknown outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OpenTakeover {
    pub(crate) record: Arc<CellRecord>,
    pub(crate) index: u64,
    pub(crate) silent_wait: BootTime,
}

/// A message that is still under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum LateMessage {
    Request {
        sent_at: BootTime,
        to: usize,
        report: MemberReport,
    },
    Answer {
        sent_at: BootTime,
        answer: RenewalAnswer,
        update: Arc<CellRecord>,
    },
}

impl RouterModel {
    /// You give its rank, its run, the times and the present time.
    #[must_use]
    pub fn new(rank: usize, incarnation: Incarnation, terms: LeaseTerms, now: BootTime) -> Self {
        let node: NodeId = format!("router-{rank}").into();
        Self {
            incarnation,
            ready: rank != 0,
            leaving: false,
            slipped: 0,
            owner: OwnerState::new(node.clone(), incarnation, terms),
            standby: StandbyState::new(node.clone(), incarnation, terms, now),
            unbound: None,
            coordinator: None,
            known: Arc::default(),
            unresolved: None,
            takeover: None,
            late: None,
            busy_until: None,
            released: Vec::new(),
            orders: Vec::new(),
            node,
        }
    }

    /// This router as it describes itself.
    #[must_use]
    pub fn member(&self) -> CellMember {
        CellMember {
            node: self.node.clone(),
            incarnation: self.incarnation,
            peer_address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "domain".into(),
            region: "region".into(),
            leaving: self.leaving,
        }
    }

    /// What this router says in a heartbeat at the time `now`; the first router has no target.
    #[must_use]
    pub fn report(&self, now: BootTime) -> MemberReport {
        MemberReport {
            member: self.member(),
            mark: ReportMark {
                run: self.incarnation,
                number: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            },
            epoch: self.owner.epoch(),
            sick: false,
            loads: Vec::new(),
            pace_us: 0,
            ready: self.ready,
            released: self.released.clone(),
        }
    }

    pub(crate) fn accept(&mut self, record: &Arc<CellRecord>, now: BootTime) {
        self.owner.on_record(record, now);
        if record.version > self.known.version {
            self.known = record.clone();
        }
    }

    /// Serves a shard again that was given back.
    pub(crate) fn take_back(&mut self, shard: ShardId) {
        let place = self
            .released
            .iter()
            .position(|report| report.shard == shard);
        if let Some(place) = place {
            let report = self.released.remove(place);
            self.owner.take_back(report.shard, report.token);
        }
    }

    pub(crate) fn on_answer(&mut self, now: BootTime) {
        self.standby.on_answer(now);
        if let Some(unbound) = &mut self.unbound {
            unbound.on_answer(now);
        }
    }

    pub(crate) fn settle_takeover(&mut self, now: BootTime) {
        self.takeover = None;
        self.standby.settle_takeover(now);
        if let Some(unbound) = &mut self.unbound {
            unbound.settle_takeover(now);
        }
    }

    /// True where this router serves the shard, or its target still runs a request of it.
    #[must_use]
    pub fn serves(&self, now: BootTime, checks_fence: bool) -> bool {
        let granted = self.owner.grant(0, now).is_ok();
        let busy = self.busy_until.is_some_and(|until| now < until);
        granted || (busy && !checks_fence)
    }
}
