//! Who should own what, and who may go on serving.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    BootTime, CellMember, CellRecord, Epoch, FencingToken, Incarnation, LeaseTerms, LoadView,
    NodeId, PlacementPolicy, PlacementView, PlacementWeights, Revision, ServiceRules, ShardId,
    ShardLoad, ShardOwner, TableVersion, WriterStamp,
};

/// The coordinator's view of its cell.
///
/// It renews leases, finds out who is gone, and works out the next record to write. It does no I/O:
/// you call [`Self::plan`], write what it returns to the store, and tell it how that went. Nothing it
/// plans is told to anyone before [`Self::on_committed`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CoordinatorState {
    node: NodeId,
    incarnation: Incarnation,
    terms: LeaseTerms,
    policy: PlacementPolicy,
    record: CellRecord,
    pending: Option<CellRecord>,
    members: BTreeMap<NodeId, MemberView>,
    moves: BTreeMap<ShardId, NodeId>,
    loads: LoadView,
    authority_until: BootTime,
    last_store_contact: BootTime,
    promises: BTreeMap<NodeId, BootTime>,
    sequence: u64,
    rewrite: bool,
    superseded: bool,
}

/// What the coordinator knows of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
struct MemberView {
    /// As the member described itself; `None` until this coordinator has heard from it.
    member: Option<CellMember>,
    ready: bool,
    sick: bool,
    /// True where this coordinator could not call it, several times in a row.
    unreachable: bool,
    /// True once it has answered under this coordinator's epoch.
    confirmed: bool,
    /// No lease that this member holds runs longer than this.
    lease_until: BootTime,
    last_heard: BootTime,
    newest_report: ReportMark,
    /// When an older run of this member was found to be gone.
    replaced_at: BootTime,
    released: BTreeMap<ShardId, ReleaseReport>,
}

/// Which run of a router made a report, and which of its reports it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReportMark {
    /// The run of the router, which may differ from the incarnation of the member that it speaks for.
    pub run: Incarnation,
    /// Rises with each report of that run.
    pub number: u64,
}

/// What a member says in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberReport {
    /// Who it is.
    pub member: CellMember,
    /// Tells a report that was overtaken on its way from the newest.
    pub mark: ReportMark,
    /// The newest epoch it has seen.
    pub epoch: Epoch,
    /// True once its target has announced itself and takes work.
    pub ready: bool,
    /// Shards that it gave back.
    pub released: Vec<ReleaseReport>,
    /// True while its own requests say that its target is sick.
    #[serde(default)]
    pub sick: bool,
    /// The load of its busiest shards; empty where there is nothing new to tell.
    #[serde(default)]
    pub loads: Vec<ShardLoad>,
    /// How long its target takes for a request, in microseconds; zero where that is not known.
    #[serde(default)]
    pub pace_us: u32,
}

/// A shard given back by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// The shard.
    pub shard: ShardId,
    /// The token under which it was held.
    pub token: FencingToken,
    /// The router, and its run, that has taken the at-most-once record over.
    pub record_at: Option<(NodeId, Incarnation)>,
    /// What the target handed over for its successor, if it did.
    #[serde(default)]
    pub handover: Option<Arc<str>>,
}

/// A shard that its owner should give back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// The shard.
    pub shard: ShardId,
    /// Who is to have it next.
    pub successor: CellMember,
}

/// The coordinator's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RenewalAnswer {
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// The record that the renewal speaks of.
    pub version: TableVersion,
    /// True where the lease is renewed.
    pub renewed: bool,
    /// Shards that the member gave back and should serve again: the store is away, and nobody else can
    /// be given them.
    pub keep: Vec<ShardId>,
    /// Shards to give back.
    pub release: Vec<ReleaseOrder>,
}

/// A member unheard of for this many leases is taken off the record once it owns nothing.
const FORGET_AFTER_LEASES: u32 = 20;

/// A standby unheard of for this many leases is replaced.
const STANDBY_SILENCE_LEASES: u32 = 3;

/// Of so many members, one at most is believed to have a sick target.
const SICK_PART: usize = 3;

/// Standbys of a cell.
const STANDBY_COUNT: usize = 2;

impl CoordinatorState {
    /// Takes office under a record that this router has just written.
    ///
    /// `now` is when the write was known to have taken effect and `sent_at` when it was sent.
    /// `silent_wait` is how long an owner that stays silent is still reckoned with.
    #[must_use]
    pub fn new(
        record: CellRecord,
        terms: LeaseTerms,
        sent_at: BootTime,
        now: BootTime,
        silent_wait: BootTime,
    ) -> Self {
        let members = record
            .members
            .iter()
            .map(|member| (member.node.clone(), MemberView::silent(now, silent_wait)))
            .collect();
        let record_sequence = record.writer.sequence;
        Self {
            node: record.coordinator.clone(),
            incarnation: record.writer.incarnation,
            terms,
            policy: PlacementPolicy::default(),
            record,
            pending: None,
            members,
            moves: BTreeMap::new(),
            loads: LoadView::default(),
            authority_until: sent_at + terms.own_authority(),
            last_store_contact: sent_at,
            promises: BTreeMap::new(),
            sequence: record_sequence,
            rewrite: false,
            superseded: false,
        }
    }

    // --- leases ---------------------------------------------------------------------------------

    /// Takes a heartbeat and renews the member's lease where that is allowed.
    pub fn on_heartbeat(&mut self, report: &MemberReport, now: BootTime) -> RenewalAnswer {
        if report.epoch > self.record.epoch {
            self.superseded = true;
        }
        let may_renew = self.may_renew(now);
        let losing = self.is_losing(&report.member);
        let lease = self.terms.lease;
        let view = self
            .members
            .entry(report.member.node.clone())
            .or_insert_with(|| MemberView::silent(BootTime::ZERO, BootTime::ZERO));
        let current = view.take_report(report, now);
        if view.replaced_at == now {
            // What its former run promised binds no one any more.
            self.promises.remove(&report.member.node);
        }
        if current && !view.confirmed && report.epoch == self.record.epoch {
            // It takes no renewal from an older coordinator any more, so what it holds ends soon.
            view.confirmed = true;
            view.lease_until = now + lease;
        }
        let renewed = may_renew && current && !losing;
        let store_away = now >= self.last_store_contact + self.terms.store_away;
        let owned = &self.record;
        if current {
            self.loads.take(owned, &report.member.node, &report.loads);
            self.loads.set_pace(&report.member.node, report.pace_us);
        }
        if renewed {
            view.lease_until = view.lease_until.max(now + lease);
        }
        // Nothing that it gave back, or gives back now, finds a new owner before the store is back.
        let keep = if store_away && current && report.ready {
            self.forget_releases(&report.member.node)
        } else {
            Vec::new()
        };
        let release = if store_away {
            Vec::new()
        } else {
            self.release_orders(&report.member)
        };
        RenewalAnswer {
            epoch: self.record.epoch,
            version: self.record.version,
            renewed,
            keep,
            release,
        }
    }

    /// Forgets what a member gave back, and the moves that it did so for; returns those shards.
    ///
    /// Nothing that the member reported before leads to a new owner any more. What a write under way
    /// gives away is not among them, since that may take effect yet.
    fn forget_releases(&mut self, node: &NodeId) -> Vec<ShardId> {
        let Some(view) = self.members.get_mut(node) else {
            return Vec::new();
        };
        let (record, pending) = (&self.record, &self.pending);
        let token = |record: &CellRecord, shard| record.owner(shard).map(|owner| owner.token);
        let mut kept: Vec<ShardId> = view.released.keys().copied().collect();
        kept.retain(|shard| {
            let given_away = |next| token(next, *shard) != token(record, *shard);
            !pending.as_ref().is_some_and(given_away)
        });
        for shard in &kept {
            view.released.remove(shard);
            self.moves.remove(shard);
        }
        kept
    }

    /// True while a write under way takes a shard from this member that it has not given back.
    ///
    /// Its lease had run out when the write was planned, and must not come to life again before the
    /// outcome is known.
    fn is_losing(&self, member: &CellMember) -> bool {
        let Some(pending) = &self.pending else {
            return false;
        };
        let mut owned = self.record.owned_by(&member.node, member.incarnation);
        owned.any(|(shard, token)| {
            let kept = pending
                .owner(shard)
                .is_some_and(|owner| owner.token == token);
            !kept && self.release_of(shard).is_none()
        })
    }

    /// True while this coordinator may renew leases.
    ///
    /// Either the store answered lately, or every router that might take over has promised not to.
    #[must_use]
    pub fn may_renew(&self, now: BootTime) -> bool {
        if self.superseded {
            return false;
        }
        now < self.authority_until || self.lives_on_promises(now)
    }

    fn lives_on_promises(&self, now: BootTime) -> bool {
        let in_limit = now < self.last_store_contact + self.terms.outage_limit;
        let promised = |node: &NodeId| self.promises.get(node).is_some_and(|until| now < *until);
        in_limit && self.successors().iter().all(promised)
    }

    /// The routers whose promise counts: the standbys of the record in force, and those of a write
    /// whose outcome is not known.
    #[must_use]
    pub fn successors(&self) -> Vec<NodeId> {
        let pending = self.pending.iter().flat_map(|record| &record.standbys);
        let mut nodes: Vec<NodeId> = self
            .record
            .standbys
            .iter()
            .chain(pending)
            .cloned()
            .collect();
        nodes.sort();
        nodes.dedup();
        nodes
    }

    /// A standby answered a request for a promise that was sent at `sent_at`.
    ///
    /// Where that was before its present run was heard of, its former run may have answered, and the
    /// answer changes nothing.
    pub fn on_promise(&mut self, node: &NodeId, sent_at: BootTime) {
        let former_run = |view: &MemberView| sent_at <= view.replaced_at;
        if self.members.get(node).is_none_or(former_run) {
            return;
        }
        let until = sent_at + self.terms.own_promise();
        let entry = self.promises.entry(node.clone()).or_default();
        *entry = (*entry).max(until);
    }

    fn release_orders(&self, member: &CellMember) -> Vec<ReleaseOrder> {
        // Few shards move at a time, and a member has many, so the moves come first.
        let moves = self.moves.iter();
        moves
            .filter_map(|(shard, successor)| {
                let owner = self.record.owner(*shard)?;
                let is_own = owner.node == member.node && owner.incarnation == member.incarnation;
                let successor = self.members.get(successor)?.member.clone()?;
                is_own.then_some(ReleaseOrder {
                    shard: *shard,
                    successor,
                })
            })
            .collect()
    }

    /// Says which members could not be called lately, though their heartbeats may still arrive.
    ///
    /// Such a member gets no shards, and those that it has move away. Where most members seem to be
    /// unreachable this coordinator doubts itself and says so of none.
    pub fn on_reach(&mut self, unreachable: &BTreeSet<NodeId>) {
        let doubtful = unreachable.len() * 2 > self.members.len();
        for (node, view) in &mut self.members {
            view.unreachable = !doubtful && unreachable.contains(node);
        }
    }

    // --- the store ------------------------------------------------------------------------------

    /// The store was read by a call sent at `sent_at`, and held `stored`.
    ///
    /// A write whose outcome is unknown stays pending unless this is it: it may still be under way.
    /// Returns true where this coordinator is still in office.
    pub fn on_store_seen(&mut self, stored: &CellRecord, sent_at: BootTime) -> bool {
        if self
            .pending
            .as_ref()
            .is_some_and(|record| record.is_same_write(stored))
        {
            self.on_committed(sent_at);
        } else if self.is_superseded_by(stored) {
            self.superseded = true;
        } else {
            // An older record means that the store was put back to an earlier copy.
            self.rewrite = stored.version < self.record.version;
            self.extend_authority(sent_at);
        }
        !self.superseded
    }

    /// True where another router has taken office since.
    ///
    /// After the store was put back to an earlier copy, that may have been with the same epoch.
    fn is_superseded_by(&self, stored: &CellRecord) -> bool {
        let other = stored.coordinator != self.node;
        stored.epoch > self.record.epoch || (stored.epoch == self.record.epoch && other)
    }

    /// The planned record is known to be in the store; the call that showed it went out at
    /// `sent_at`.
    pub fn on_committed(&mut self, sent_at: BootTime) {
        let Some(record) = self.pending.take() else {
            return;
        };
        self.rewrite = false;
        let old = std::mem::replace(&mut self.record, record);
        self.moves.retain(|shard, _| {
            old.owner(*shard).map(|owner| owner.token)
                == self.record.owner(*shard).map(|owner| owner.token)
        });
        self.extend_authority(sent_at);
    }

    /// The planned write is known not to have taken effect.
    pub fn on_refused(&mut self) {
        self.pending = None;
    }

    fn extend_authority(&mut self, sent_at: BootTime) {
        self.authority_until = self
            .authority_until
            .max(sent_at + self.terms.own_authority());
        self.last_store_contact = self.last_store_contact.max(sent_at);
    }

    // --- placement ------------------------------------------------------------------------------

    /// Takes how the operators weigh the aims of placement.
    pub fn set_weights(&mut self, weights: PlacementWeights) {
        self.policy = PlacementPolicy::default().with_weights(weights);
    }

    /// Works out the next record to write, if anything is to change.
    ///
    /// While the outcome of an earlier write is unknown nothing new is planned.
    pub fn plan(
        &mut self,
        rules: &ServiceRules,
        revision: Revision,
        now: BootTime,
    ) -> Option<CellRecord> {
        if self.superseded || self.pending.is_some() {
            return None;
        }
        let mut next = self.record.clone();
        next.config_revision = revision.max(next.config_revision);
        next.shards.resize(rules.shards.max(1) as usize, None);
        self.update_members(&mut next, now);
        self.assign_free(&mut next, rules, now);
        self.plan_moves(rules, now);
        if next == self.record && !self.rewrite {
            return None;
        }
        self.sequence += 1;
        next.version += 1;
        next.writer = WriterStamp {
            node: self.node.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        self.pending = Some(next.clone());
        Some(next)
    }

    fn update_members(&mut self, next: &mut CellRecord, now: BootTime) {
        let forget_after = self.terms.lease * FORGET_AFTER_LEASES;
        let node = &self.node;
        let owners = self.record.shards.iter().flatten();
        let owners: BTreeSet<&NodeId> = owners.map(|owner| &owner.node).collect();
        self.members.retain(|name, view| {
            let owns = owners.contains(name);
            owns || name == node || now < view.last_heard.max(view.lease_until) + forget_after
        });
        next.members = self
            .members
            .iter()
            .filter_map(|(name, view)| {
                let known = view.member.clone();
                known.or_else(|| self.record.member(name).cloned())
            })
            .collect();
        next.standbys = self.choose_standbys(&next.members, now);
    }

    /// Keeps standbys that are heard from, and fills up over other failure domains first.
    fn choose_standbys(&self, members: &[CellMember], now: BootTime) -> Vec<NodeId> {
        let silence = self.terms.lease * STANDBY_SILENCE_LEASES;
        let alive = |node: &NodeId| {
            let view = self.members.get(node);
            let heard = view.is_some_and(|view| now < view.last_heard + silence);
            heard && *node != self.node && members.iter().any(|m| m.node == *node && !m.leaving)
        };
        let domain_of = |node: &NodeId| {
            let member = members.iter().find(|member| member.node == *node);
            member.map(|member| member.failure_domain.clone())
        };
        let mut chosen: Vec<NodeId> = self
            .record
            .standbys
            .iter()
            .filter(|node| alive(node))
            .cloned()
            .collect();
        let mut domains: Vec<_> = chosen.iter().chain([&self.node]).map(domain_of).collect();
        for fresh_domain_only in [true, false] {
            for member in members {
                let taken = chosen.contains(&member.node);
                let domain = Some(member.failure_domain.clone());
                let fresh = !domains.contains(&domain);
                if chosen.len() >= STANDBY_COUNT || taken || !alive(&member.node) {
                    continue;
                }
                if fresh || !fresh_domain_only {
                    chosen.push(member.node.clone());
                    domains.push(domain);
                }
            }
        }
        chosen
    }

    fn assign_free(&mut self, next: &mut CellRecord, rules: &ServiceRules, now: BootTime) {
        let free: Vec<ShardId> = (0..rules.shards.max(1))
            .filter(|shard| self.is_free(*shard, rules, now))
            .collect();
        let eligible = self.eligible(rules, now);
        let mut placed = self
            .policy
            .place(&self.record, &eligible, &free, &self.loads);
        for (shard, node) in &mut placed {
            let planned = self.moves.get(shard).filter(|n| eligible.contains(n));
            if let Some(successor) = self.record_keeper(*shard, now).or(planned) {
                *node = successor.clone();
            }
        }
        for (shard, node) in placed {
            self.give(next, shard, &node);
        }
    }

    fn give(&self, next: &mut CellRecord, shard: ShardId, node: &NodeId) {
        let Some(member) = self.members.get(node).and_then(|view| view.member.as_ref()) else {
            return;
        };
        let report = self.release_of(shard);
        let record_at = report.and_then(|report| report.record_at.clone());
        let handover = report.and_then(|report| report.handover.clone());
        let kept = record_at == Some((member.node.clone(), member.incarnation));
        next.last_token += 1;
        next.shards[shard as usize] = Some(ShardOwner {
            node: member.node.clone(),
            incarnation: member.incarnation,
            token: next.last_token,
            record_lost: self.record.owner(shard).is_some() && !kept,
            handover,
        });
    }

    /// Members that may be given shards.
    fn eligible(&self, rules: &ServiceRules, now: BootTime) -> Vec<NodeId> {
        let trusts_reports = self.trusts_reports();
        self.members
            .iter()
            .filter(|(_, view)| view.ready && !view.unreachable && now < view.lease_until)
            .filter(|(_, view)| !(trusts_reports && view.sick))
            .filter(|(_, view)| {
                let member = view.member.as_ref();
                member.is_some_and(|member| !member.leaving && rules.allows(&member.region))
            })
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// False where so many targets are reported sick that the fault is more likely a common one.
    fn trusts_reports(&self) -> bool {
        let sick = self.members.values().filter(|view| view.sick).count();
        sick * SICK_PART <= self.members.len()
    }

    fn release_of(&self, shard: ShardId) -> Option<&ReleaseReport> {
        let owner = self.record.owner(shard)?;
        let report = self.members.get(&owner.node)?.released.get(&shard)?;
        (report.token == owner.token).then_some(report)
    }

    /// The member that has taken the at-most-once record of a shard that was given back, if it lives.
    ///
    /// It may have begun to leave since, or another coordinator may have planned the move. It gets the
    /// shard all the same, and hands the record on when the shard leaves it.
    fn record_keeper(&self, shard: ShardId, now: BootTime) -> Option<&NodeId> {
        let (node, incarnation) = self.release_of(shard)?.record_at.as_ref()?;
        let view = self.members.get(node)?;
        let same_run = view.member.as_ref()?.incarnation == *incarnation;
        let lives = view.ready && !view.unreachable && now < view.lease_until;
        (same_run && lives).then_some(node)
    }

    /// True where no earlier owner of the shard can still be serving it.
    fn is_free(&self, shard: ShardId, rules: &ServiceRules, now: BootTime) -> bool {
        let Some(owner) = self.record.owner(shard) else {
            return true;
        };
        let Some(view) = self.members.get(&owner.node) else {
            return false;
        };
        if self.release_of(shard).is_some() {
            return true;
        }
        // A request sent to a target that checks no fences may run on until its own deadline.
        let unfenced = if rules.checks_fence {
            BootTime::ZERO
        } else {
            BootTime::from_millis(rules.max_timeout_ms)
        };
        let newer = |member: &CellMember| member.incarnation > owner.incarnation;
        if view.member.as_ref().is_some_and(newer) {
            return now >= view.replaced_at + unfenced;
        }
        now >= view.lease_until + self.terms.drift_margin + unfenced
    }

    fn plan_moves(&mut self, rules: &ServiceRules, now: BootTime) {
        let eligible = self.eligible(rules, now);
        self.moves
            .retain(|_, successor| eligible.contains(successor));
        let view = PlacementView {
            loads: &self.loads,
            moving: &self.moves,
            now,
        };
        let picked = self.policy.moves(&self.record, &eligible, &view);
        if !self.loads.is_empty() {
            for (shard, _) in &picked {
                self.loads.on_move(*shard, now);
            }
        }
        self.moves.extend(picked);
    }

    // --- reading --------------------------------------------------------------------------------

    /// The record in force.
    #[must_use]
    pub fn record(&self) -> &CellRecord {
        &self.record
    }

    /// The write whose outcome is not known yet.
    #[must_use]
    pub fn pending(&self) -> Option<&CellRecord> {
        self.pending.as_ref()
    }

    /// When the last call that the store answered was sent.
    #[must_use]
    pub fn last_store_contact(&self) -> BootTime {
        self.last_store_contact
    }

    /// True where another router has taken office.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Members of the record that have not been heard from for `silence`, without the coordinator.
    pub fn silent_members(
        &self,
        silence: BootTime,
        now: BootTime,
    ) -> impl Iterator<Item = &CellMember> {
        let members = self.record.members.iter();
        members.filter(move |member| {
            let heard = self.members.get(&member.node).map(|view| view.last_heard);
            member.node != self.node && now >= heard.unwrap_or_default() + silence
        })
    }

    /// Planned moves under way: the shard and its next owner.
    #[must_use]
    pub fn moves(&self) -> &BTreeMap<ShardId, NodeId> {
        &self.moves
    }
}

impl MemberView {
    fn silent(now: BootTime, wait: BootTime) -> Self {
        Self {
            member: None,
            ready: false,
            sick: false,
            unreachable: false,
            confirmed: false,
            lease_until: now + wait,
            last_heard: BootTime::ZERO,
            newest_report: ReportMark::default(),
            replaced_at: BootTime::ZERO,
            released: BTreeMap::new(),
        }
    }

    /// Takes what a member says of itself; false where an older run is speaking, or where a later
    /// report has come first: it may have given back since what it holds by now, or the reverse.
    fn take_report(&mut self, report: &MemberReport, now: BootTime) -> bool {
        let known = self.member.as_ref().map(|member| member.incarnation);
        if known.is_some_and(|known| report.member.incarnation < known) {
            return false;
        }
        // Another run counts whatever its number is: the time of day may have been put back.
        let newest = self.newest_report;
        if report.mark.run == newest.run && report.mark.number < newest.number {
            return false;
        }
        self.newest_report = report.mark;
        if known != Some(report.member.incarnation) {
            self.replaced_at = now;
        }
        self.member = Some(report.member.clone());
        self.ready = report.ready;
        self.sick = report.sick;
        self.last_heard = now;
        self.released = report
            .released
            .iter()
            .map(|r| (r.shard, r.clone()))
            .collect();
        true
    }
}
