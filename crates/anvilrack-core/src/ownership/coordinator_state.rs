//! Coordinator logic: lease renewal and shard assignment for one cell.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    BootTime, CellMember, CellRecord, CellVersion, DomainName, Epoch, FencingToken, Incarnation,
    LeaseTerms, LoadView, NodeId, PlacementPolicy, PlacementView, PlacementWeights, Revision,
    ServiceRules, ShardId, ShardLoad, ShardOwner, WriterStamp,
};

/// The coordinator's view of its cell.
///
/// It renews leases, detects lost members and computes the next record to write. It performs no I/O: the
/// user calls [`Self::plan`], writes the returned record to the store and reports the result. A planned
/// record must not be sent to other routers before [`Self::on_committed`] has been called for it.
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
    evacuated: BTreeSet<DomainName>,
    authority_until: BootTime,
    last_store_contact: BootTime,
    promises: BTreeMap<NodeId, BootTime>,
    sequence: u64,
    needs_rewrite: bool,
    superseded: bool,
}

/// What the coordinator knows about one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
struct MemberView {
    /// The member's own description; `None` until this coordinator has received a report from it.
    member: Option<CellMember>,
    ready: bool,
    unhealthy: bool,
    /// True if several consecutive calls from this coordinator to the member failed.
    unreachable: bool,
    /// True once the member has sent a report with this coordinator's epoch.
    confirmed: bool,
    /// Latest time at which any lease of this member expires.
    lease_until: BootTime,
    last_heard: BootTime,
    newest_report: ReportSequence,
    /// The latest former runs of the member's router, oldest first.
    former_runs: Vec<Incarnation>,
    /// When the current incarnation of this member replaced an older one.
    replaced_at: BootTime,
    /// Latest time at which any lease of an incarnation that was replaced expires.
    former_lease_until: BootTime,
    released: BTreeMap<ShardId, ReleaseReport>,
}

/// Identifies a report by the run of the router that made it and a sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReportSequence {
    /// Incarnation of the router process, which may differ from the incarnation of the member it reports for.
    pub run: Incarnation,
    /// Sequence number that increases with each report of that run.
    pub number: u64,
}

/// Report that a member sends with each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberReport {
    /// The member's own description.
    pub member: CellMember,
    /// Orders the reports, so that one that arrives late is not taken for the newest.
    pub mark: ReportSequence,
    /// The newest epoch that the member has seen.
    pub epoch: Epoch,
    /// True once the member's target has announced itself and accepts requests.
    pub ready: bool,
    /// Shards that the member has released, or that its former incarnations owned and its target cannot hold.
    pub released: Vec<ReleaseReport>,
    /// True while the member considers its target unhealthy, judged by the requests it sends to it.
    #[serde(default)]
    pub sick: bool,
    /// Load of the member's busiest shards; empty if nothing has changed.
    #[serde(default)]
    pub loads: Vec<ShardLoad>,
    /// Service time of the member's target in microseconds; zero if unknown.
    #[serde(default)]
    pub pace_us: u32,
    /// Rate that the member's target tolerates because it is cold, in requests per ten seconds; `None` if it is
    /// warm or not limited.
    #[serde(default)]
    pub cold_rate: Option<u32>,
}

/// Report that a shard was released by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleaseReport {
    /// The released shard.
    pub shard: ShardId,
    /// Fencing token of the released grant.
    pub token: FencingToken,
    /// Router and incarnation that now hold the shard's at-most-once record; `None` if it was not handed
    /// over.
    pub record_at: Option<(NodeId, Incarnation)>,
    /// Handover data from the target for its successor, if it provided any.
    #[serde(default)]
    pub handover: Option<Arc<str>>,
}

/// What a pending write means for the lease of a member.
#[derive(Debug)]
struct PendingLosses {
    /// Whether the lease may be renewed together with `orders`.
    may_renew: bool,
    /// Orders to release the shards that the write may take away.
    orders: Vec<ReleaseOrder>,
}

/// Order to a member to release a shard.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReleaseOrder {
    /// The shard to release.
    pub shard: ShardId,
    /// The member that gets the shard next.
    pub successor: CellMember,
}

/// The coordinator's reply to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RenewalAnswer {
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// Version of the record that the renewal refers to.
    pub version: CellVersion,
    /// True if the member's lease is renewed.
    pub renewed: bool,
    /// Released shards that the member should serve again, because the store is unavailable and they
    /// cannot be assigned to another member.
    pub keep: Vec<ShardId>,
    /// Shards that the member should release.
    ///
    /// A member without a valid lease must stop serving these before it applies the renewal: another member
    /// may get them at any time.
    pub release: Vec<ReleaseOrder>,
}

/// A member that owns no shards is removed from the record after this many lease periods without a heartbeat.
const FORGET_AFTER_LEASES: u32 = 20;

/// A standby is replaced after this many lease periods without a heartbeat.
const STANDBY_SILENCE_LEASES: u32 = 3;

/// Reports of unhealthy targets are ignored if more than one in this many members sends them.
const UNHEALTHY_MEMBER_DIVISOR: usize = 3;

/// Maximum number of moves at once while shards leave owners outside of the allowed regions.
///
/// With 128 at once, releases delayed the renewals of an owner's other grants, some of which lapsed.
const MAX_REGION_MOVES: usize = 32;

/// Number of former runs of a member's router whose late reports are recognized.
const MAX_FORMER_RUNS: usize = 8;

/// Number of standbys of a cell.
const STANDBY_COUNT: usize = 2;

impl CoordinatorState {
    /// Creates the state of a router that has just become coordinator of its cell by writing `record`.
    ///
    /// `sent_at` is when the write was sent, and `now` is when it was known to have taken effect.
    /// `silent_wait` is how long an owner that sends no heartbeat is assumed to still hold its lease.
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
            .map(|member| (member.node.clone(), MemberView::initial(now, silent_wait)))
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
            evacuated: BTreeSet::new(),
            authority_until: sent_at + terms.own_authority(),
            last_store_contact: sent_at,
            promises: BTreeMap::new(),
            sequence: record_sequence,
            needs_rewrite: false,
            superseded: false,
        }
    }

    // --- leases ---------------------------------------------------------------------------------

    /// Processes a heartbeat and renews the member's lease if that is allowed.
    pub fn on_heartbeat(&mut self, report: &MemberReport, now: BootTime) -> RenewalAnswer {
        if report.epoch > self.record.epoch {
            self.superseded = true;
        }
        let may_renew = self.may_renew(now);
        let lease = self.terms.lease;
        let view = self
            .members
            .entry(report.member.node.clone())
            .or_insert_with(|| MemberView::initial(BootTime::ZERO, BootTime::ZERO));
        let former_run = view.newest_report.run;
        let current = view.apply_report(report, now);
        let is_new_run = current && view.newest_report.run != former_run;
        if view.replaced_at == now {
            // A promise of the former incarnation no longer counts.
            self.promises.remove(&report.member.node);
        }
        if current && !view.confirmed && report.epoch == self.record.epoch {
            // The member no longer accepts renewals from an older coordinator, so its lease has a known end.
            view.confirmed = true;
            view.lease_until = now + lease;
        }
        // The report may withdraw releases, so it is applied before the pending write is compared with them.
        let losses = self.pending_losses(&report.member);
        let renewed = may_renew && current && losses.may_renew;
        let store_unavailable = now >= self.last_store_contact + self.terms.store_unavailable_after;
        let owned = &self.record;
        if current {
            self.loads
                .apply_report(owned, &report.member.node, &report.loads);
            self.loads
                .set_service_time(&report.member.node, report.pace_us);
            self.loads
                .set_cold_rate(&report.member.node, report.cold_rate);
        }
        if renewed && let Some(view) = self.members.get_mut(&report.member.node) {
            view.lease_until = view.lease_until.max(now + lease);
        }
        // No released shard can be assigned to a new owner while the store is unavailable.
        let keep = if store_unavailable && current && report.ready {
            self.forget_releases(&report.member.node)
        } else {
            Vec::new()
        };
        let mut release = if renewed { losses.orders } else { Vec::new() };
        // A router that has just started holds no lease yet, so it stops serving what it is ordered to
        // release at once. A move that can wait is ordered with the next reply.
        if !store_unavailable && !is_new_run {
            let ordered: BTreeSet<ShardId> = release.iter().map(|order| order.shard).collect();
            let mut moves = self.release_orders(&report.member);
            moves.retain(|order| !ordered.contains(&order.shard));
            release.append(&mut moves);
        }
        RenewalAnswer {
            epoch: self.record.epoch,
            version: self.record.version,
            renewed,
            keep,
            release,
        }
    }

    /// Discards the releases reported by a member and the moves they belong to; returns those shards.
    ///
    /// Earlier reports of the member no longer lead to a new owner. Shards that a pending write reassigns
    /// are excluded, since that write may still take effect, and so are those of a former incarnation, which the
    /// member cannot serve.
    fn forget_releases(&mut self, node: &NodeId) -> Vec<ShardId> {
        let Some(view) = self.members.get_mut(node) else {
            return Vec::new();
        };
        let (record, pending) = (&self.record, &self.pending);
        let incarnation = view.member.as_ref().map(|member| member.incarnation);
        let token = |record: &CellRecord, shard| record.owner(shard).map(|owner| owner.token);
        let mut kept: Vec<ShardId> = view.released.keys().copied().collect();
        kept.retain(|shard| {
            let owner = record.owner(*shard).map(|owner| owner.incarnation);
            let is_reassigned = |next| token(next, *shard) != token(record, *shard);
            owner == incarnation && !pending.as_ref().is_some_and(is_reassigned)
        });
        for shard in &kept {
            view.released.remove(shard);
            self.moves.remove(shard);
        }
        kept
    }

    /// Returns what a pending write, whose outcome is unknown, means for the lease of a member.
    ///
    /// The write may take away shards that the member has not released: its lease had expired when the write
    /// was planned, or a former run of its router had released them. The lease may be renewed only together
    /// with the order to release these shards.
    fn pending_losses(&self, member: &CellMember) -> PendingLosses {
        let Some(pending) = &self.pending else {
            return PendingLosses::none();
        };
        let mut orders = Vec::new();
        let mut keeps_shard = false;
        for (shard, token) in self.record.owned_by(&member.node, member.incarnation) {
            let next = pending.owner(shard);
            if next.is_some_and(|owner| owner.token == token) {
                keeps_shard = true;
            } else if self.release_of(shard).is_none() {
                let Some(successor) = next.and_then(|owner| pending.member(&owner.node)) else {
                    return PendingLosses::unresolved();
                };
                orders.push(ReleaseOrder {
                    shard,
                    successor: successor.clone(),
                });
            }
        }
        if orders.is_empty() {
            return PendingLosses::none();
        }
        PendingLosses {
            may_renew: keeps_shard,
            orders,
        }
    }

    /// Returns true while this coordinator may renew leases.
    ///
    /// Requires that the store responded recently, or that the outage limit has not passed and every router
    /// that could take over has promised not to.
    #[must_use]
    pub fn may_renew(&self, now: BootTime) -> bool {
        if self.superseded {
            return false;
        }
        now < self.authority_until || self.promises_suffice(now)
    }

    fn promises_suffice(&self, now: BootTime) -> bool {
        let within_outage_limit = now < self.last_store_contact + self.terms.max_outage;
        let promised = |node: &NodeId| self.promises.get(node).is_some_and(|until| now < *until);
        within_outage_limit && self.successors().iter().all(promised)
    }

    /// Returns the routers that could take over: the standbys of the current record and those of a pending
    /// write whose outcome is unknown.
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

    /// Records the promise of a standby, in reply to a request sent at `sent_at`.
    ///
    /// The reply is ignored if the request was sent before the standby's current incarnation was known,
    /// because its former incarnation may have sent the reply.
    pub fn on_promise(&mut self, node: &NodeId, sent_at: BootTime) {
        let is_former_incarnation = |view: &MemberView| sent_at <= view.replaced_at;
        if self.members.get(node).is_none_or(is_former_incarnation) {
            return;
        }
        let until = sent_at + self.terms.own_promise();
        let entry = self.promises.entry(node.clone()).or_default();
        *entry = (*entry).max(until);
    }

    fn release_orders(&self, member: &CellMember) -> Vec<ReleaseOrder> {
        // Iterates over the moves, since there are far fewer of them than shards of a member.
        let moves = self.moves.iter();
        moves
            .filter_map(|(shard, successor)| {
                let owner = self.record.owner(*shard)?;
                let is_owner = owner.node == member.node && owner.incarnation == member.incarnation;
                let successor = self.members.get(successor)?.member.clone()?;
                is_owner.then_some(ReleaseOrder {
                    shard: *shard,
                    successor,
                })
            })
            .collect()
    }

    /// Sets which members could not be called recently, although their heartbeats may still arrive.
    ///
    /// Such a member is assigned no shards, and its shards move away. If more than half of the members
    /// seem unreachable, the fault is assumed to be at this coordinator, and no
    /// member is marked as unreachable.
    pub fn set_unreachable(&mut self, unreachable: &BTreeSet<NodeId>) {
        let local_fault = unreachable.len() * 2 > self.members.len();
        for (node, view) in &mut self.members {
            view.unreachable = !local_fault && unreachable.contains(node);
        }
    }

    /// Sets the failure domains that are evacuated.
    ///
    /// Members in such a domain are assigned no shards, and theirs move away. If the evacuation of a domain
    /// has ended, the moves out of it that have not begun are cancelled.
    pub fn set_evacuated(&mut self, domains: BTreeSet<DomainName>) {
        if domains == self.evacuated {
            return;
        }
        let before = self.evacuated_members();
        self.evacuated = domains;
        let after = self.evacuated_members();
        let is_returning = |node: &NodeId| before.contains(node) && !after.contains(node);
        let record = &self.record;
        self.moves.retain(|shard, _| {
            let owner = record.owner(*shard);
            !owner.is_some_and(|owner| is_returning(&owner.node))
        });
    }

    /// Returns the members in evacuated failure domains.
    fn evacuated_members(&self) -> BTreeSet<NodeId> {
        if self.evacuated.is_empty() {
            return BTreeSet::new();
        }
        // A member that has not reported to this coordinator is known from the record alone.
        let recorded = self.record.members.iter();
        let reported = self.members.values().filter_map(|v| v.member.as_ref());
        recorded
            .chain(reported)
            .filter(|member| self.is_evacuated(member))
            .map(|member| member.node.clone())
            .collect()
    }

    fn is_evacuated(&self, member: &CellMember) -> bool {
        self.evacuated.contains(&member.failure_domain)
    }

    // --- the store ------------------------------------------------------------------------------

    /// Processes the record `stored` that a call sent at `sent_at` read from the store.
    ///
    /// A write with an unknown outcome stays pending, since it may still take effect, unless `stored` is
    /// the result of that write. Returns true if this router is still the coordinator.
    pub fn on_store_read(&mut self, stored: &CellRecord, sent_at: BootTime) -> bool {
        if self
            .pending
            .as_ref()
            .is_some_and(|record| record.is_same_write(stored))
        {
            self.on_committed(sent_at);
        } else if self.is_superseded_by(stored) {
            self.superseded = true;
        } else {
            // An older record means that the store was restored from a backup.
            self.needs_rewrite = stored.version < self.record.version;
            self.extend_authority(sent_at);
        }
        !self.superseded
    }

    /// Returns true if another router has become coordinator.
    ///
    /// If the store was restored from a backup, the other router may have the same epoch.
    fn is_superseded_by(&self, stored: &CellRecord) -> bool {
        let other = stored.coordinator != self.node;
        stored.epoch > self.record.epoch || (stored.epoch == self.record.epoch && other)
    }

    /// Makes the pending record the current one, since it is known to be in the store.
    ///
    /// `sent_at` is when the store call that confirmed it was sent.
    pub fn on_committed(&mut self, sent_at: BootTime) {
        let Some(record) = self.pending.take() else {
            return;
        };
        self.needs_rewrite = false;
        let old = std::mem::replace(&mut self.record, record);
        self.moves.retain(|shard, _| {
            old.owner(*shard).map(|owner| owner.token)
                == self.record.owner(*shard).map(|owner| owner.token)
        });
        self.extend_authority(sent_at);
    }

    /// Discards the pending record, since its write is known not to have taken effect.
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

    /// Sets the weights of the placement objectives from the configuration.
    pub fn set_weights(&mut self, weights: PlacementWeights) {
        self.policy = PlacementPolicy::default().with_weights(weights);
    }

    /// Returns the next record to write, or `None` if nothing changes.
    ///
    /// Nothing is planned while the outcome of an earlier write is unknown.
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
        self.assign_free_shards(&mut next, rules, now);
        self.plan_moves(rules, now);
        if next == self.record && !self.needs_rewrite {
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

    /// Keeps the standbys that are alive and adds new ones, preferring failure domains not yet used.
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
        for new_domain_only in [true, false] {
            for member in members {
                let taken = chosen.contains(&member.node);
                let domain = Some(member.failure_domain.clone());
                let new_domain = !domains.contains(&domain);
                if chosen.len() >= STANDBY_COUNT || taken || !alive(&member.node) {
                    continue;
                }
                if new_domain || !new_domain_only {
                    chosen.push(member.node.clone());
                    domains.push(domain);
                }
            }
        }
        chosen
    }

    fn assign_free_shards(&mut self, next: &mut CellRecord, rules: &ServiceRules, now: BootTime) {
        let free: Vec<ShardId> = (0..rules.shards.max(1))
            .filter(|shard| self.is_free(*shard, rules, now))
            .collect();
        let eligible = self.loads.receivers(&self.eligible(rules, now));
        let mut placed = self
            .policy
            .place(&self.record, &eligible, &free, &self.loads);
        for (shard, node) in &mut placed {
            let planned = self.moves.get(shard).filter(|n| eligible.contains(n));
            if let Some(successor) = self.record_holder(*shard, now).or(planned) {
                *node = successor.clone();
            }
        }
        for (shard, node) in placed {
            self.assign_shard(next, shard, &node);
        }
    }

    fn assign_shard(&self, next: &mut CellRecord, shard: ShardId, node: &NodeId) {
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

    /// Returns the members that shards may be assigned to.
    fn eligible(&self, rules: &ServiceRules, now: BootTime) -> Vec<NodeId> {
        let trusts_health_reports = self.trusts_health_reports();
        self.members
            .iter()
            .filter(|(_, view)| view.ready && !view.unreachable && now < view.lease_until)
            .filter(|(_, view)| !(trusts_health_reports && view.unhealthy))
            .filter(|(_, view)| {
                let member = view.member.as_ref();
                member.is_some_and(|member| {
                    !member.leaving && rules.allows(&member.region) && !self.is_evacuated(member)
                })
            })
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Returns false if so many targets are reported unhealthy that a common cause is more likely.
    fn trusts_health_reports(&self) -> bool {
        let unhealthy = self.members.values().filter(|view| view.unhealthy).count();
        unhealthy * UNHEALTHY_MEMBER_DIVISOR <= self.members.len()
    }

    fn release_of(&self, shard: ShardId) -> Option<&ReleaseReport> {
        let owner = self.record.owner(shard)?;
        let report = self.members.get(&owner.node)?.released.get(&shard)?;
        (report.token == owner.token).then_some(report)
    }

    /// Returns the member that holds the at-most-once record of a released shard, if it is alive.
    ///
    /// The member is assigned the shard even if it has started to leave since, or if another coordinator
    /// planned the move. It hands the record over when the shard later moves away.
    fn record_holder(&self, shard: ShardId, now: BootTime) -> Option<&NodeId> {
        let (node, incarnation) = self.release_of(shard)?.record_at.as_ref()?;
        let view = self.members.get(node)?;
        let member = view.member.as_ref()?;
        let same_incarnation = member.incarnation == *incarnation;
        let alive = view.ready && !view.unreachable && now < view.lease_until;
        (same_incarnation && alive && !self.is_evacuated(member)).then_some(node)
    }

    /// Returns true if no earlier owner can still be serving the shard.
    fn is_free(&self, shard: ShardId, rules: &ServiceRules, now: BootTime) -> bool {
        let Some(owner) = self.record.owner(shard) else {
            return true;
        };
        let Some(view) = self.members.get(&owner.node) else {
            return false;
        };
        let is_released = self.release_of(shard).is_some();
        // A target that does not check fencing tokens may process a request until the request's deadline.
        let fence_wait = if rules.checks_fence {
            BootTime::ZERO
        } else {
            BootTime::from_millis(rules.max_timeout_ms)
        };
        let newer = |member: &CellMember| member.incarnation > owner.incarnation;
        if view.member.as_ref().is_some_and(newer) {
            // The target may have been granted the shard again after it had started as the new incarnation.
            let held_until = if is_released {
                view.replaced_at
            } else {
                view.former_lease_until + self.terms.drift_margin
            };
            return now >= held_until + fence_wait;
        }
        is_released || now >= view.lease_until + self.terms.drift_margin + fence_wait
    }

    fn plan_moves(&mut self, rules: &ServiceRules, now: BootTime) {
        let eligible = self.eligible(rules, now);
        let receivers = self.loads.receivers(&eligible);
        self.moves
            .retain(|_, successor| receivers.contains(successor));
        let view = PlacementView {
            loads: &self.loads,
            moving: &self.moves,
            now,
        };
        let evacuated = self.evacuated_members();
        let policy = &self.policy;
        let leaving = policy.evacuation_moves(&self.record, &eligible, &evacuated, &view);
        self.moves.extend(leaving);
        self.moves.extend(self.region_moves(rules, &receivers));
        let view = PlacementView {
            loads: &self.loads,
            moving: &self.moves,
            now,
        };
        let planned = self.policy.moves(&self.record, &eligible, &view);
        if !self.loads.is_empty() {
            for (shard, _) in &planned {
                self.loads.on_move(*shard, now);
            }
        }
        self.moves.extend(planned);
    }

    /// Returns moves of shards whose owners are outside of the allowed regions.
    ///
    /// No request may run there, so these moves interrupt no service and need not be as few as others.
    fn region_moves(&self, rules: &ServiceRules, eligible: &[NodeId]) -> Vec<(ShardId, NodeId)> {
        let members = self.record.members.iter();
        let outside: BTreeSet<&NodeId> = members
            .filter(|member| !rules.allows(&member.region))
            .map(|member| &member.node)
            .collect();
        if outside.is_empty() {
            return Vec::new();
        }
        let must_move = |(shard, owner): &(ShardId, &Option<ShardOwner>)| {
            let is_outside = owner.as_ref().is_some_and(|o| outside.contains(&o.node));
            is_outside && !self.moves.contains_key(shard)
        };
        let shards = (0..).zip(&self.record.shards).filter(must_move);
        let shards = shards.take(MAX_REGION_MOVES.saturating_sub(self.moves.len()));
        let shards: Vec<ShardId> = shards.map(|(shard, _)| shard).collect();
        self.policy
            .place(&self.record, eligible, &shards, &self.loads)
    }

    // --- accessors ------------------------------------------------------------------------------

    /// Returns the current record.
    #[must_use]
    pub fn record(&self) -> &CellRecord {
        &self.record
    }

    /// Returns the pending record, whose write has an unknown outcome.
    #[must_use]
    pub fn pending(&self) -> Option<&CellRecord> {
        self.pending.as_ref()
    }

    /// Returns when the last store call that succeeded was sent.
    #[must_use]
    pub fn last_store_contact(&self) -> BootTime {
        self.last_store_contact
    }

    /// Returns true if another router has become coordinator.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the members of the record that have sent no heartbeat for `silence`, except the coordinator.
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

    /// Returns the planned moves: each shard and its next owner.
    #[must_use]
    pub fn moves(&self) -> &BTreeMap<ShardId, NodeId> {
        &self.moves
    }
}

impl ReleaseReport {
    /// Creates the report of a release without an at-most-once record and without handover data.
    #[must_use]
    pub fn new(shard: ShardId, token: FencingToken) -> Self {
        Self {
            shard,
            token,
            record_at: None,
            handover: None,
        }
    }
}

impl PendingLosses {
    fn none() -> Self {
        Self {
            may_renew: true,
            orders: Vec::new(),
        }
    }

    fn unresolved() -> Self {
        Self {
            may_renew: false,
            orders: Vec::new(),
        }
    }
}

impl MemberView {
    fn initial(now: BootTime, wait: BootTime) -> Self {
        Self {
            member: None,
            ready: false,
            unhealthy: false,
            unreachable: false,
            confirmed: false,
            lease_until: now + wait,
            last_heard: BootTime::ZERO,
            newest_report: ReportSequence::default(),
            former_runs: Vec::new(),
            replaced_at: BootTime::ZERO,
            former_lease_until: BootTime::ZERO,
            released: BTreeMap::new(),
        }
    }

    /// Applies a report of the member; returns false if the report is outdated.
    ///
    /// A report is outdated if it comes from an older incarnation or a former run of the router, or was
    /// overtaken by a later one. Its list of released shards no longer applies then: the member may have
    /// released or received shards since.
    fn apply_report(&mut self, report: &MemberReport, now: BootTime) -> bool {
        let known = self.member.as_ref().map(|member| member.incarnation);
        if known.is_some_and(|known| report.member.incarnation < known) {
            return false;
        }
        let newest = self.newest_report;
        if report.mark.run == newest.run {
            if report.mark.number < newest.number {
                return false;
            }
        } else if self.former_runs.contains(&report.mark.run) {
            return false;
        } else {
            // Runs are not compared by their numbers: the wall clock may have been set back.
            self.former_runs.push(newest.run);
            let excess = self.former_runs.len().saturating_sub(MAX_FORMER_RUNS);
            self.former_runs.drain(..excess);
        }
        self.newest_report = report.mark;
        if known != Some(report.member.incarnation) {
            self.replaced_at = now;
            self.former_lease_until = self.former_lease_until.max(self.lease_until);
        }
        self.member = Some(report.member.clone());
        self.ready = report.ready;
        self.unhealthy = report.sick;
        self.last_heard = now;
        self.released = report
            .released
            .iter()
            .map(|r| (r.shard, r.clone()))
            .collect();
        true
    }
}
