//! What a router knows of cells, and of the life of its own target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anvilrack_core::{
    CellMember, CellRecord, MemberReport, NodeId, OwnerState, RecordDelta, ReportMark, ShardId,
    events,
};
use anvilrack_router::boot_clock;

use super::NodeShared;
use crate::guard::TargetLife;
use crate::ownership::{PackedCell, PackedStep, refresh_cell, release_all};
use crate::peers::{CellUpdate, RecordMark};
use crate::state_lock::lock;
use crate::{PlatformDialect, tell};

/// With more shards than this a step is no smaller than the packed record.
const STEP_LIMIT: usize = 600;

/// The store counts as reached for this long after an answer; the entry's lease is renewed more often.
const STORE_REACHED: Duration = Duration::from_millis(1_600);

impl<D: PlatformDialect> NodeShared<D> {
    // --- cells ----------------------------------------------------------------------------------

    /// The newest record of a service's cell that this router has.
    #[must_use]
    pub fn cell(&self, service: &str) -> Option<Arc<CellRecord>> {
        lock(&self.cells).get(service).cloned()
    }

    /// Takes a record; an older one changes nothing.
    pub fn take_cell(&self, record: CellRecord) {
        let service = record.service.clone();
        let record = Arc::new(record);
        {
            let mut cells = lock(&self.cells);
            let mark = RecordMark::new(&record);
            let known = cells.get(&service);
            if known.is_some_and(|known| RecordMark::new(known) >= mark) {
                return;
            }
            cells.insert(service.clone(), record.clone());
        }
        if service == self.settings.service {
            self.owner().on_record(&record, boot_clock::now());
            self.grant_news.notify_one();
        }
        self.route_news.notify_waiters();
    }

    /// Takes a newer record, in full or as a step from the one before.
    pub fn take_update(self: &Arc<Self>, update: CellUpdate) {
        let step = match update {
            CellUpdate::Full(packed) => return self.take_cell(packed.unpack()),
            CellUpdate::Step(step) => step.unpack(),
        };
        let known = self.cell(&step.service);
        let newest = known.as_ref().map(|known| RecordMark::new(known));
        let offered = RecordMark {
            epoch: step.stamp.epoch,
            version: step.stamp.version,
        };
        if newest >= Some(offered) {
            return;
        }
        let mut record = known.map(|known| (*known).clone()).unwrap_or_default();
        if step.apply_to(&mut record) {
            self.take_cell(record);
        } else {
            refresh_cell(self, &step.service);
        }
    }

    /// What somebody with the record `known` needs to have `record`.
    #[must_use]
    pub fn update_from(&self, known: RecordMark, record: &CellRecord) -> CellUpdate {
        let step = lock(&self.last_step);
        let fits = |step: &&RecordDelta| {
            step.stamp.is_of(record)
                && (step.base.epoch, step.base.version) == (known.epoch, known.version)
        };
        match step.as_ref().filter(fits) {
            Some(step) => CellUpdate::Step(Box::new(PackedStep::new(step))),
            None => CellUpdate::Full(PackedCell::new(record)),
        }
    }

    /// Remembers the step to a record that was just written, for those that have the one before.
    pub fn keep_step(&self, old: &CellRecord, new: &CellRecord) -> CellUpdate {
        let step = RecordDelta::new(old, new);
        if step.shards.len() > STEP_LIMIT {
            *lock(&self.last_step) = None;
            return CellUpdate::Full(PackedCell::new(new));
        }
        let packed = PackedStep::new(&step);
        *lock(&self.last_step) = Some(step);
        CellUpdate::Step(Box::new(packed))
    }

    /// The store has answered a call of this router.
    pub fn see_store(&self) {
        *lock(&self.store_seen_at) = boot_clock::now();
    }

    /// True where the store has answered this router lately.
    #[must_use]
    pub fn reaches_store(&self) -> bool {
        boot_clock::now() < *lock(&self.store_seen_at) + STORE_REACHED
    }

    /// This router as a member of its cell, once its target has been heard from.
    #[must_use]
    pub fn member(&self) -> Option<CellMember> {
        let entry = self.own_entry();
        entry.target.as_ref()?;
        Some(entry.as_member())
    }

    /// What this router tells its coordinator.
    #[must_use]
    pub fn member_report(&self) -> Option<MemberReport> {
        let member = self.member()?;
        Some(MemberReport {
            ready: !member.leaving,
            member,
            mark: ReportMark {
                run: self.run,
                number: self.report_count.fetch_add(1, Ordering::Relaxed),
            },
            epoch: self.owner().epoch(),
            released: self.grants.released(),
            sick: false,
            loads: self.door.shard_loads(),
            pace_us: self.door.pace_us(),
        })
    }

    /// What the previous owner of a shard handed over.
    #[must_use]
    pub fn handover_of(&self, shard: ShardId) -> Option<Arc<str>> {
        let cell = self.cell(&self.settings.service)?;
        cell.owner(shard)?.handover.clone()
    }

    /// The router beside the owner of a shard.
    #[must_use]
    pub fn owner_of(&self, service: &str, shard: ShardId) -> Option<(NodeId, SocketAddr)> {
        let cell = self.cell(service)?;
        let owner = cell.owner(shard)?;
        let member = cell.member(&owner.node)?;
        Some((member.node.clone(), member.peer_address))
    }

    // --- the target's life ----------------------------------------------------------------------

    /// A new life of the target began: it holds nothing.
    pub fn on_new_life(self: &Arc<Self>) {
        let Some(life) = self.door.life() else { return };
        tell!(
            Info,
            events::TARGET_SEEN,
            target = &*life.id,
            incarnation = life.incarnation,
            slots = life.slots
        );
        let node = self.settings.node.clone();
        let mut owner = OwnerState::new(node, life.incarnation, self.lease_terms);
        if let Some(cell) = self.cell(&self.settings.service) {
            owner.on_record(&cell, boot_clock::now());
        }
        *self.owner() = owner;
        self.standby().set_incarnation(life.incarnation);
        self.grants.clear();
        self.publish_entry();
        self.member_news.notify_one();
    }

    /// The target wants no new work; its keys go to others.
    pub fn on_target_leaving(self: &Arc<Self>) {
        if let Some(life) = self.door.life() {
            tell!(Info, events::TARGET_LEAVING, target = &*life.id);
        }
        self.publish_entry();
        release_all(self);
        self.member_news.notify_one();
    }

    /// The target has ended, and with it what it held.
    pub fn on_target_gone(&self, life: &TargetLife, shown_by: &str) {
        tell!(
            Warn,
            events::TARGET_GONE,
            target = &*life.id,
            incarnation = life.incarnation,
            shown_by = shown_by
        );
        let held: Vec<_> = self.owner().held().collect();
        for (shard, token) in held {
            self.owner().release(shard);
            self.grants.report(shard, token, None);
        }
        self.entry_news.notify_one();
        let service = self.settings.service.clone();
        self.refresh_choice(&service);
        self.member_news.notify_one();
    }
}
