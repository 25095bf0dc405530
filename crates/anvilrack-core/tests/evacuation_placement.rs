//! Keys leave evacuated failure domains in time, the busy ones first, and may come back.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use anvilrack_core::{
    BootTime, CellMember, CellRecord, CoordinatorState, DomainName, LeaseTerms, MemberReport,
    NodeId, ReleaseReport, ReportSequence, RequestClass, ServiceRules, ShardId, ShardLoad,
    ShardOwner,
};

const MEMBERS: u32 = 34;
const DOMAINS: u32 = 6;
const SHARDS: u32 = 1_024;

/// Release calls that a member makes at the same time.
const CONCURRENT_RELEASES: usize = 6;

/// Time between two steps of the simulation, in which each member sends a heartbeat.
const STEP: Duration = Duration::from_millis(100);

/// When operators request the evacuation.
const EVACUATED_AT: Duration = Duration::from_secs(10);

/// Time for which owners serve their keys, of a bound of 5 s.
const HANDOVER: Duration = Duration::from_secs(3);

/// Maximum time that a request waits for the next owner of its key.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(600);

fn node(index: u32) -> NodeId {
    format!("router-{index}").into()
}

fn domain(index: u32) -> DomainName {
    format!("domain-{}", index % DOMAINS).into()
}

fn domains(names: &[u32]) -> BTreeSet<DomainName> {
    names.iter().map(|index| domain(*index)).collect()
}

fn member(index: u32) -> CellMember {
    CellMember {
        node: node(index),
        incarnation: 1,
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: domain(index),
        region: "centro".into(),
        leaving: false,
    }
}

fn rules() -> ServiceRules {
    ServiceRules {
        divided_by_key: true,
        shards: SHARDS,
        slots: 1,
        connections: 1,
        checks_fence: true,
        max_timeout_ms: 0,
        class: RequestClass::Read,
        regions: Vec::new(),
        pinned_keys: BTreeMap::new(),
    }
}

/// Returns the rate of a shard: one in 63 is busy.
fn rate(shard: ShardId) -> u32 {
    if shard.is_multiple_of(63) { 2_000 } else { 1 }
}

/// Returns how long the owner of a shard takes to release it.
fn release_time(shard: ShardId) -> Duration {
    Duration::from_millis(u64::from(100 + shard * 37 % 200))
}

/// A cell whose coordinator and members exchange heartbeats without a network.
struct TestCell {
    coordinator: CoordinatorState,
    members: u32,
    now: BootTime,
    /// Shards that their owners release, with the time at which each release ends.
    releasing: BTreeMap<ShardId, BootTime>,
    released: BTreeMap<ShardId, ReleaseReport>,
    /// Since when shards have no owner that serves them, and the longest such time of a busy shard.
    unserved_since: BTreeMap<ShardId, BootTime>,
    longest_busy_wait: Duration,
    reports: u64,
}

impl TestCell {
    fn new(members: u32) -> Self {
        let owner = |shard: u32| ShardOwner {
            node: node(shard % members),
            incarnation: 1,
            token: u64::from(shard) + 1,
            record_lost: false,
            handover: None,
        };
        let record = CellRecord {
            epoch: 1,
            version: 1,
            coordinator: node(0),
            last_token: u64::from(SHARDS),
            members: (0..members).map(member).collect(),
            shards: (0..SHARDS).map(|shard| Some(owner(shard))).collect(),
            ..CellRecord::default()
        };
        let (terms, now) = (LeaseTerms::default(), EVACUATED_AT);
        let mut cell = Self {
            coordinator: CoordinatorState::new(record, terms, now, now, now),
            members,
            now,
            releasing: BTreeMap::new(),
            released: BTreeMap::new(),
            unserved_since: BTreeMap::new(),
            longest_busy_wait: Duration::ZERO,
            reports: 0,
        };
        cell.step();
        cell
    }

    /// Lets each member send a heartbeat, and the coordinator write one record.
    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.members {
            self.finish_releases(index);
            let report = self.report(index);
            let answer = self.coordinator.on_heartbeat(&report, self.now);
            for order in answer.release {
                self.begin_release(index, order.shard);
            }
        }
        let stored = self.coordinator.record().clone();
        assert!(self.coordinator.on_store_read(&stored, self.now));
        self.coordinator.plan(&rules(), 0, self.now);
        self.coordinator.on_committed(self.now);
        let record = self.coordinator.record().clone();
        let is_released = |shard: &ShardId, report: &ReleaseReport| {
            record
                .owner(*shard)
                .is_some_and(|owner| owner.token == report.token)
        };
        self.released
            .retain(|shard, report| is_released(shard, report));
        let unserved: BTreeSet<ShardId> = self
            .releasing
            .keys()
            .chain(self.released.keys())
            .copied()
            .collect();
        self.unserved_since.retain(|shard, since| {
            if rate(*shard) > 1 {
                self.longest_busy_wait =
                    self.longest_busy_wait.max(self.now.saturating_sub(*since));
            }
            unserved.contains(shard)
        });
        for shard in unserved {
            self.unserved_since.entry(shard).or_insert(self.now);
        }
    }

    /// Begins to release a shard; it waits for the calls of its owner before it.
    fn begin_release(&mut self, owner: u32, shard: ShardId) {
        if self.releasing.contains_key(&shard) || self.released.contains_key(&shard) {
            return;
        }
        let mut ends: Vec<_> = self
            .releasing
            .iter()
            .filter(|(other, _)| self.owner(**other) == Some(node(owner)))
            .map(|(_, end)| *end)
            .collect();
        ends.sort_unstable();
        let free_at = ends
            .len()
            .checked_sub(CONCURRENT_RELEASES)
            .map(|index| ends[index]);
        let begins_at = free_at.unwrap_or(self.now);
        self.releasing
            .insert(shard, begins_at + release_time(shard));
    }

    fn finish_releases(&mut self, owner: u32) {
        let owner = node(owner);
        let record = self.coordinator.record();
        let now = self.now;
        let (released, releasing) = (&mut self.released, &mut self.releasing);
        releasing.retain(|shard, end| {
            let Some(token) = record
                .owner(*shard)
                .filter(|o| o.node == owner && *end <= now)
                .map(|o| o.token)
            else {
                return true;
            };
            let report = ReleaseReport {
                shard: *shard,
                token,
                record_at: None,
                handover: None,
            };
            released.insert(*shard, report);
            false
        });
    }

    fn report(&mut self, index: u32) -> MemberReport {
        self.reports += 1;
        let own = |shard: &ShardId| self.owner(*shard) == Some(node(index));
        let released = self.released.iter().filter(|(shard, _)| own(shard));
        let released = released.map(|(_, report)| report.clone()).collect();
        let loads = (0..SHARDS).filter(own);
        let loads = loads.map(|shard| ShardLoad {
            shard,
            rate: rate(shard),
        });
        MemberReport {
            mark: ReportSequence {
                run: 1,
                number: self.reports,
            },
            member: member(index),
            epoch: 1,
            ready: true,
            released,
            sick: false,
            loads: loads.collect(),
            pace_us: 0,
            cold_rate: None,
        }
    }

    fn owner(&self, shard: ShardId) -> Option<NodeId> {
        let owner = self.coordinator.record().owner(shard);
        owner.map(|owner| owner.node.clone())
    }

    /// Returns the shards whose owners are in the given failure domains.
    fn shards_in(&self, domains: &BTreeSet<DomainName>) -> Vec<ShardId> {
        let members: BTreeSet<_> = (0..self.members)
            .filter(|index| domains.contains(&domain(*index)))
            .map(node)
            .collect();
        let shards = 0..SHARDS;
        shards
            .filter(|shard| {
                self.owner(*shard)
                    .is_some_and(|owner| members.contains(&owner))
            })
            .collect()
    }

    /// Returns the number of shards whose owners are in the given failure domains.
    fn owned_in(&self, domains: &BTreeSet<DomainName>) -> usize {
        self.shards_in(domains).len()
    }

    /// Evacuates and returns the time until the last shard has left; fails if that takes too long.
    fn evacuate(&mut self, domains: &BTreeSet<DomainName>) -> Duration {
        let begin = self.now;
        self.coordinator.set_evacuated(domains.clone());
        while self.owned_in(domains) > 0 {
            self.step();
            let took = self.now.saturating_sub(begin);
            assert!(
                took <= HANDOVER,
                "{} shards have not left",
                self.owned_in(domains)
            );
        }
        self.now.saturating_sub(begin)
    }
}

/// Guards against a limit on moves that keeps keys in the domain until they are released without an owner.
#[test]
fn all_shards_leave_one_domain_within_the_bound() {
    let mut cell = TestCell::new(MEMBERS);
    cell.evacuate(&domains(&[1]));
    // No shard comes back while the domain is evacuated.
    for _ in 0..50 {
        cell.step();
        assert_eq!(cell.owned_in(&domains(&[1])), 0);
    }
}

/// Guards against a busy shard that waits without an owner behind many others of its member.
#[test]
fn busy_shards_are_soon_served_again() {
    let mut cell = TestCell::new(MEMBERS);
    cell.evacuate(&domains(&[1]));
    assert!(cell.longest_busy_wait > Duration::ZERO);
    assert!(
        cell.longest_busy_wait <= MAX_OWNER_WAIT,
        "a busy shard had no owner for {:?}",
        cell.longest_busy_wait
    );
}

/// Guards against two evacuations at once that take the time of two.
#[test]
fn all_shards_leave_two_domains_within_the_bound() {
    let mut cell = TestCell::new(MEMBERS);
    cell.evacuate(&domains(&[1, 4]));
}

/// Guards against an evacuation that goes on after it was revoked, and a domain that stays without keys.
#[test]
fn revoked_evacuation_stops_halfway() {
    let mut cell = TestCell::new(MEMBERS);
    let evacuated = domains(&[1]);
    let before = cell.owned_in(&evacuated);
    cell.coordinator.set_evacuated(evacuated.clone());
    while cell.owned_in(&evacuated) > before * 2 / 3 {
        cell.step();
    }
    let under_way = cell.releasing.len() + cell.released.len();
    let left = cell.owned_in(&evacuated);
    let shards = cell.shards_in(&evacuated);
    assert!(!shards.into_iter().any(|shard| rate(shard) > 1));
    cell.coordinator.set_evacuated(BTreeSet::new());
    assert!(cell.coordinator.moves().is_empty());
    for _ in 0..30 {
        cell.step();
        assert!(cell.owned_in(&evacuated) + under_way >= left);
    }
    // The members are eligible again, and get some of the load back.
    let shards = cell.shards_in(&evacuated);
    assert!(shards.into_iter().any(|shard| rate(shard) > 1));
}

/// Guards against members that get keys back although no member may have any.
#[test]
fn no_shard_moves_if_all_domains_are_evacuated() {
    let mut cell = TestCell::new(MEMBERS);
    let all = domains(&[0, 1, 2, 3, 4, 5]);
    cell.coordinator.set_evacuated(all.clone());
    for _ in 0..20 {
        cell.step();
    }
    assert!(cell.coordinator.moves().is_empty());
    assert_eq!(cell.owned_in(&all), SHARDS as usize);
    // Owners release what is left at the end of their time.
    for shard in 0..SHARDS {
        let owner = cell.coordinator.record().owner(shard).expect("an owner");
        let report = ReleaseReport {
            shard,
            token: owner.token,
            record_at: None,
            handover: None,
        };
        cell.released.insert(shard, report);
    }
    let version = cell.coordinator.record().version;
    for _ in 0..20 {
        cell.step();
    }
    assert_eq!(cell.released.len(), SHARDS as usize, "a shard was assigned");
    assert_eq!(cell.coordinator.record().version, version);
    cell.coordinator.set_evacuated(BTreeSet::new());
    cell.step();
    assert!(cell.released.is_empty(), "members are eligible again");
}
