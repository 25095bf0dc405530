//! Cell records known to this router, and reactions to changes of its target's incarnation.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilrack_core::{
    CellMember, CellRecord, MemberReport, NodeId, OwnerState, RecordDelta, RegionRule,
    ReportSequence, ShardId, events,
};
use anvilrack_router::boot_clock;

use super::NodeState;
use crate::guard::TargetIncarnation;
use crate::mutex_lock::lock;
use crate::ownership::{PackedCell, PackedDelta, refresh_cell, release_all, release_exited};
use crate::peers::{CellRequest, CellUpdate, RecordVersion};
use crate::{PlatformDialect, emit_event};

/// Maximum number of shards in a delta; a larger delta is no smaller than the packed record.
const MAX_DELTA_SHARDS: usize = 600;

/// Time after a response during which the store counts as reachable.
///
/// The lease of the directory entry is renewed more often than that.
const STORE_REACHABLE_TIME: Duration = Duration::from_millis(1_600);

impl<D: PlatformDialect> NodeState<D> {
    // --- cells -----------------------------------------------------------------------------------

    /// Returns the latest known record of a service's cell.
    #[must_use]
    pub fn cell(&self, service: &str) -> Option<Arc<CellRecord>> {
        lock(&self.cells).get(service).cloned()
    }

    /// Stores a record unless a record of the same or a later version is known.
    pub fn store_cell_record(&self, record: CellRecord) {
        let service = record.service.clone();
        let record = Arc::new(record);
        {
            let mut cells = lock(&self.cells);
            let version = RecordVersion::new(&record);
            let known = cells.get(&service);
            if known.is_some_and(|known| RecordVersion::new(known) >= version) {
                return;
            }
            let mut histories = lock(&self.cell_histories);
            let history = histories.entry(service.clone()).or_default();
            history.advance(known.map_or(&CellRecord::default(), |known| known), &record);
            cells.insert(service.clone(), record.clone());
        }
        if service == self.settings.service {
            self.owner().on_record(&record, boot_clock::now());
            self.grant_updates.notify_one();
        }
        self.route_updates.notify_waiters();
    }

    /// Returns the update that a router asks for; `None` if this router has no newer record.
    #[must_use]
    pub fn newer_cell(&self, request: &CellRequest) -> Option<CellUpdate> {
        let record = self.cell(&request.service)?;
        let known = request.known.as_ref();
        if known.is_some_and(|known| (known.epoch, known.version) >= (record.epoch, record.version))
        {
            return None;
        }
        let delta = {
            let histories = lock(&self.cell_histories);
            let history = histories.get(&request.service)?;
            known.and_then(|known| history.delta_since(known))
        };
        // The history may have advanced since the record was read.
        let delta = delta.filter(|delta| delta.stamp.is_of(&record));
        let update = delta.map_or_else(
            || CellUpdate::Full(PackedCell::new(&record)),
            |delta| CellUpdate::Step(Box::new(PackedDelta::new(&delta))),
        );
        Some(if request.is_member {
            update
        } else {
            update.without_handovers()
        })
    }

    /// Applies an update of a cell's record: a complete record, or a delta from the previous version.
    ///
    /// Requests the complete record if the delta does not apply to the known one.
    pub fn apply_cell_update(self: &Arc<Self>, update: CellUpdate) {
        let delta = match update {
            CellUpdate::Full(packed) => return self.store_cell_record(packed.unpack()),
            CellUpdate::Step(delta) => delta.unpack(),
        };
        let known = self.cell(&delta.service);
        let known_version = known.as_ref().map(|known| RecordVersion::new(known));
        let new_version = RecordVersion {
            epoch: delta.stamp.epoch,
            version: delta.stamp.version,
        };
        if known_version >= Some(new_version) {
            return;
        }
        let mut record = known.map(|known| (*known).clone()).unwrap_or_default();
        if delta.apply_to(&mut record) {
            self.store_cell_record(record);
        } else {
            refresh_cell(self, &delta.service);
        }
    }

    /// Returns the update from version `known` to `record`.
    ///
    /// This is the last delta if it leads from `known` to `record`, and the complete record
    /// otherwise.
    #[must_use]
    pub fn cell_update_from(&self, known: RecordVersion, record: &CellRecord) -> CellUpdate {
        let delta = lock(&self.last_delta);
        let matches_versions = |delta: &&RecordDelta| {
            delta.stamp.is_of(record)
                && (delta.base.epoch, delta.base.version) == (known.epoch, known.version)
        };
        match delta.as_ref().filter(matches_versions) {
            Some(delta) => CellUpdate::Step(Box::new(PackedDelta::new(delta))),
            None => CellUpdate::Full(PackedCell::new(record)),
        }
    }

    /// Keeps the delta to a record that was just written, for routers that have the previous version.
    ///
    /// Returns the update to send to them.
    pub fn keep_last_delta(&self, old: &CellRecord, new: &CellRecord) -> CellUpdate {
        let delta = RecordDelta::new(old, new);
        if delta.shards.len() > MAX_DELTA_SHARDS {
            *lock(&self.last_delta) = None;
            return CellUpdate::Full(PackedCell::new(new));
        }
        let packed = PackedDelta::new(&delta);
        *lock(&self.last_delta) = Some(delta);
        CellUpdate::Step(Box::new(packed))
    }

    /// Records that the store has responded to a call of this router.
    pub fn record_store_response(&self) {
        *lock(&self.store_seen_at) = boot_clock::now();
    }

    /// Returns true if the store has responded to this router recently.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        boot_clock::now() < *lock(&self.store_seen_at) + STORE_REACHABLE_TIME
    }

    /// Returns this router as a member of its cell; `None` until its target has sent a notification.
    #[must_use]
    pub fn member(&self) -> Option<CellMember> {
        let entry = self.own_entry();
        entry.target.as_ref()?;
        Some(entry.as_member())
    }

    /// Builds the report to the coordinator; `None` until the target has sent a notification.
    #[must_use]
    pub fn member_report(&self) -> Option<MemberReport> {
        let member = self.member()?;
        Some(MemberReport {
            ready: !member.leaving,
            member,
            mark: ReportSequence {
                run: self.run,
                number: self.report_count.fetch_add(1, Ordering::Relaxed),
            },
            epoch: self.owner().epoch(),
            released: self.grants.released(),
            sick: false,
            loads: self.gateway.shard_loads(),
            pace_us: self.gateway.mean_service_time_us(),
            cold_rate: self.gateway.cold_rate_per_ten_seconds(boot_clock::now()),
        })
    }

    /// Returns the data that the previous owner of a shard handed over.
    #[must_use]
    pub fn handover_of(&self, shard: ShardId) -> Option<Arc<str>> {
        let cell = self.cell(&self.settings.service)?;
        cell.owner(shard)?.handover.clone()
    }

    /// Returns the router of the target that owns a shard, and its address for other routers; `None` also
    /// while that router is about to restart, or if it is in a region that is not allowed.
    #[must_use]
    pub fn owner_of(
        &self,
        service: &str,
        shard: ShardId,
        rule: &RegionRule,
    ) -> Option<(NodeId, SocketAddr)> {
        let cell = self.cell(service)?;
        let owner = cell.owner(shard)?;
        let member = cell.member(&owner.node)?;
        if !rule.allows(&member.region) {
            return None;
        }
        if lock(&self.withdrawn_routers).is_ending(&member.node, boot_clock::now()) {
            return None;
        }
        let leaving_for = self.leaving_for(&member.node, member.incarnation);
        let drain = self.settings.terms.drain;
        // Until its keys have moved to other targets, only this target can serve them.
        if leaving_for.is_some_and(|time| time >= drain / 2) {
            return None;
        }
        Some((member.node.clone(), member.peer_address))
    }

    // --- incarnations of the target --------------------------------------------------------------

    /// Resets ownership for a new incarnation of the target, which serves no keys yet.
    ///
    /// It may hold keys of the former one, which the next heartbeat begins to release.
    pub fn on_new_incarnation(self: &Arc<Self>) {
        let Some(new) = self.gateway.current_incarnation() else {
            return;
        };
        let node = self.settings.node.clone();
        let mut owner = OwnerState::new(node, new.incarnation, self.lease_terms);
        if let Some(cell) = self.cell(&self.settings.service) {
            owner.on_record(&cell, boot_clock::now());
        }
        emit_event!(
            Info,
            events::TARGET_SEEN,
            target = &*new.id,
            incarnation = new.incarnation,
            slots = new.slots,
            former_shards = owner.former().count()
        );
        *self.owner() = owner;
        self.standby().set_incarnation(new.incarnation);
        self.grants.invalidate_all();
        self.publish_entry();
        self.member_updates.notify_one();
    }

    /// Releases all keys because the target is stopping.
    pub fn on_target_leaving(self: &Arc<Self>) {
        if let Some(target) = self.gateway.current_incarnation() {
            emit_event!(Info, events::TARGET_LEAVING, target = &*target.id);
        }
        self.publish_entry();
        release_all(self);
        self.member_updates.notify_one();
    }

    /// Releases all shards because the target's incarnation has ended.
    pub fn on_target_gone(self: &Arc<Self>, target: &TargetIncarnation, shown_by: &str) {
        let (shards, unreleased) = release_exited(self);
        emit_event!(
            Warn,
            events::TARGET_GONE,
            target = &*target.id,
            incarnation = target.incarnation,
            shown_by = shown_by,
            shards = shards,
            unreleased = unreleased
        );
        self.entry_updates.notify_one();
        let service = self.settings.service.clone();
        self.refresh_selector(&service);
        self.member_updates.notify_one();
    }
}
