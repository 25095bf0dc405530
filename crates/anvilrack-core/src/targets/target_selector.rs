//! Chooses a target for a request that any target of its service can serve.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::moving_average::moving_average;
use crate::{
    BootTime, CellMember, HealthOutcome, Incarnation, NodeId, RegionName, RegionRule,
    TargetCapacity, TargetHealth, TargetLoad, USUAL_PACE_PERCENT,
};

/// Divisor for the weight of the newest sample in the moving average of a target's latency.
const AVERAGE_WEIGHT_DIVISOR: u32 = 8;

/// Divisor for the weight of the newest sample in the moving average of a request kind's latency.
/// It is larger than for a single target because this average covers all targets and must not
/// follow the one that was measured last.
const KIND_AVERAGE_WEIGHT_DIVISOR: u32 = 32;

/// Maximum number of request kinds with a moving average; one more kind clears all the averages.
const MAX_KINDS: usize = 256;

/// Latency samples older than this are ignored.
const LATENCY_TTL: Duration = Duration::from_secs(5);

/// A farther target is chosen if the nearer one costs more than this many times as much.
const SPILL_FACTOR: u128 = 2;

/// Slot usage in percent up to which a target's load does not raise its cost.
const BUSY_THRESHOLD_PERCENT: u128 = 75;

/// Time over which the share of a newly added target rises to its full share.
const SLOW_START_DURATION: Duration = Duration::from_secs(10);

/// Divisor for the share of requests that a newly added target gets at first.
const SLOW_START_DIVISOR: u128 = 10;

/// Divisor for the number of targets: suspects are avoided only while they are at most a third of
/// all targets. If more look unhealthy, the fault is probably on the router's side.
const MAX_SUSPECTS_DIVISOR: usize = 3;

/// Latency assumed if no target was measured, in microseconds.
const DEFAULT_LATENCY_US: u128 = 1_000;

/// The targets of one service, with the load and latency that one router observes.
///
/// `choose` draws two targets from each of three groups: the nearest ones, those in the router's
/// region, and all. It takes the one of lower cost in each group, and goes to a farther group only
/// if the nearer target costs more than twice as much. The cost is the latency scaled by the
/// target's load. So requests move to farther targets when the near ones get slower or busier.
#[derive(Clone, Debug, Default)]
pub struct TargetSelector {
    targets: Vec<TargetStats>,
    near: Vec<usize>,
    /// Indices of the targets in the router's own region, which includes its failure domain.
    region: Vec<usize>,
    kinds: KindLatencies,
    round_robin_index: usize,
}

/// Moving averages of the latency of each kind of request, over all targets.
///
/// Kinds of request differ in duration: a look-up may take 50 ms and an upload a second. Comparing
/// a sample with the average of its kind shows how fast the target is.
#[derive(Clone, Debug, Default)]
struct KindLatencies {
    overall: Duration,
    averages: BTreeMap<Arc<str>, Duration>,
}

#[derive(Clone, Debug)]
struct TargetStats {
    node: NodeId,
    incarnation: Incarnation,
    distance: TargetDistance,
    region: RegionName,
    in_flight: u32,
    latency: Duration,
    measured_at: Option<BootTime>,
    busy_until: BootTime,
    capacity: TargetCapacity,
    /// When the target was added; `None` if it was among the first targets.
    added_at: Option<BootTime>,
    health: TargetHealth,
}

/// Distance between a target and the router that chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetDistance {
    /// In the same failure domain.
    Domain,
    /// In the same region, but in another failure domain.
    Region,
    /// In another region.
    Remote,
}

impl TargetDistance {
    /// Returns the distance between two members of a cell.
    #[must_use]
    pub fn new(from: &CellMember, to: &CellMember) -> Self {
        if from.region != to.region {
            Self::Remote
        } else if from.failure_domain != to.failure_domain {
            Self::Region
        } else {
            Self::Domain
        }
    }
}

/// Random numbers for one choice. The caller passes them in so that a choice can be reproduced.
pub type ChoiceDraws = [u64; 4];

impl TargetSelector {
    /// Sets the members whose targets are ready; keeps the statistics of those that remain.
    pub fn set_members<'a>(
        &mut self,
        own: &CellMember,
        ready: impl Iterator<Item = &'a CellMember>,
        now: BootTime,
    ) {
        let mut known = std::mem::take(&mut self.targets);
        let first_update = known.is_empty();
        self.targets = ready
            .map(|member| {
                let same = known
                    .iter()
                    .position(|target| target.is_incarnation_of(member));
                same.map_or_else(
                    || {
                        let added_at = (!first_update).then_some(now);
                        TargetStats::new(member, TargetDistance::new(own, member), added_at)
                    },
                    |index| known.swap_remove(index),
                )
            })
            .collect();
        let nearest = self.targets.iter().map(|target| target.distance).min();
        self.near = (0..self.targets.len())
            .filter(|index| Some(self.targets[*index].distance) == nearest)
            .collect();
        self.region = (0..self.targets.len())
            .filter(|index| self.targets[*index].distance < TargetDistance::Remote)
            .collect();
    }

    // --- choosing -------------------------------------------------------------------------------

    /// Chooses a target in the allowed regions by cost, with preference for near ones; a suspect that is
    /// due for a probe comes first.
    pub fn choose(
        &mut self,
        draws: ChoiceDraws,
        rule: &RegionRule,
        now: BootTime,
    ) -> Option<NodeId> {
        for target in &mut self.targets {
            let latency = target.latency * target.capacity.pace_percent(now) / USUAL_PACE_PERCENT;
            target.health.check_stall(latency, now);
        }
        if let Some(probed) = self.allowed(rule).find(|t| t.health.may_probe(now)) {
            return Some(probed.node.clone());
        }
        let avoid_suspects = self.suspicions_are_credible(rule);
        // If a region is not allowed, the nearer groups may be empty, and the group of all targets is left.
        let usable = |index: &usize| {
            let target = &self.targets[*index];
            rule.allows(&target.region) && !(avoid_suspects && target.health.is_suspect())
        };
        let near: Vec<usize> = self.near.iter().copied().filter(usable).collect();
        let all: Vec<usize> = (0..self.targets.len()).filter(usable).collect();
        let region: Vec<usize> = self.region.iter().copied().filter(usable).collect();
        let near = self.cheaper_of(&near, [draws[0], draws[1]], now);
        let region = self.cheaper_of(&region, [draws[1], draws[2]], now);
        let far = self.cheaper_of(&all, [draws[2], draws[3]], now);
        // Compares from the nearest to the farthest group; a farther target must be clearly
        // cheaper.
        let chosen = [near, region, far]
            .into_iter()
            .flatten()
            .reduce(|nearer, farther| {
                if self.should_spill(nearer, farther, now) {
                    farther
                } else {
                    nearer
                }
            })?;
        Some(self.targets[chosen].node.clone())
    }

    /// Returns whether more requests arrive at every target in the allowed regions than the rate that it
    /// takes, as far as recent load reports tell.
    #[must_use]
    pub fn all_rate_limited(&self, rule: &RegionRule, now: BootTime) -> bool {
        let is_limited = |target: &TargetStats| {
            let load = target.capacity.load(now);
            load.is_some_and(|load| load.rate_limited)
        };
        self.has_allowed(rule) && self.allowed(rule).all(is_limited)
    }

    /// Returns whether a target is in an allowed region.
    #[must_use]
    pub fn has_allowed(&self, rule: &RegionRule) -> bool {
        self.allowed(rule).next().is_some()
    }

    /// Returns the targets in the allowed regions.
    fn allowed<'a>(&'a self, rule: &'a RegionRule) -> impl Iterator<Item = &'a TargetStats> {
        let targets = self.targets.iter();
        targets.filter(|target| rule.allows(&target.region))
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Chooses a target at random, regardless of load and health: a baseline for comparisons.
    #[must_use]
    pub fn choose_random(&self, draw: u64) -> Option<NodeId> {
        let index = pick_index(self.targets.len(), draw)?;
        Some(self.targets[index].node.clone())
    }

    /// Chooses targets in turn, regardless of load and health: a baseline for comparisons.
    pub fn choose_round_robin(&mut self) -> Option<NodeId> {
        self.round_robin_index = self.round_robin_index.wrapping_add(1);
        let index = self.round_robin_index.checked_rem(self.targets.len())?;
        Some(self.targets[index].node.clone())
    }

    fn cheaper_of(&self, candidates: &[usize], draws: [u64; 2], now: BootTime) -> Option<usize> {
        let first = pick_index(candidates.len(), draws[0])?;
        // The second candidate differs from the first, unless there is only one.
        let step = 1 + pick_index(candidates.len().saturating_sub(1), draws[1]).unwrap_or(0);
        let pair = [
            candidates[first],
            candidates[(first + step) % candidates.len()],
        ];
        pair.into_iter().min_by_key(|index| self.cost(*index, now))
    }

    fn should_spill(&self, near: usize, far: usize, now: BootTime) -> bool {
        self.cost(near, now) > self.cost(far, now) * SPILL_FACTOR
    }

    fn cost(&self, index: usize, now: BootTime) -> u128 {
        let target = &self.targets[index];
        let fresh = |at: &BootTime| now < *at + LATENCY_TTL;
        let known = target.measured_at.as_ref().is_some_and(fresh);
        let latency = if known {
            target.latency.as_micros().max(1)
        } else {
            self.assumed_latency(now)
        };
        let busy = if now < target.busy_until {
            u128::from(u32::MAX)
        } else {
            1
        };
        target.latency_under_load(latency, now) * target.slow_start_factor(now) * busy
    }

    /// Returns the average latency of the recently measured targets in microseconds, which is
    /// assumed for the others.
    fn assumed_latency(&self, now: BootTime) -> u128 {
        let fresh =
            |target: &&TargetStats| target.measured_at.is_some_and(|at| now < at + LATENCY_TTL);
        let known = self.targets.iter().filter(fresh);
        let (sum, count) = known.fold((0, 0), |(sum, count), target| {
            (sum + target.latency.as_micros(), count + 1)
        });
        sum.checked_div(count).unwrap_or(DEFAULT_LATENCY_US).max(1)
    }

    /// Returns `false` if so many targets in the allowed regions are suspect that the fault is more likely
    /// this router's own.
    fn suspicions_are_credible(&self, rule: &RegionRule) -> bool {
        let (suspects, count) = self
            .allowed(rule)
            .fold((0, 0), |(suspects, count), target| {
                (
                    suspects + usize::from(target.health.is_suspect()),
                    count + 1,
                )
            });
        suspects <= count / MAX_SUSPECTS_DIVISOR
    }

    // --- observations ---------------------------------------------------------------------------

    /// Records that a request is sent to a target.
    pub fn begin(&mut self, node: &str, now: BootTime) {
        if let Some(target) = self.target(node) {
            target.in_flight += 1;
            target.health.begin(now);
        }
    }

    /// Records the end of a request. `kind` names the kind of work, such as the route.
    pub fn end(
        &mut self,
        node: &str,
        kind: &Arc<str>,
        outcome: HealthOutcome,
        took: Duration,
        now: BootTime,
    ) {
        let measured = outcome != HealthOutcome::NotReached;
        // The pace is a factor of the cost, and may have changed by the next choice.
        let target = self.targets.iter().find(|target| &*target.node == node);
        let took = target.map_or(took, |target| target.capacity.at_usual_pace(took, now));
        let latency = measured.then(|| self.kinds.normalize_latency(kind, took));
        let Some(target) = self.target(node) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        target.health.end(outcome, now);
        if let Some(latency) = latency {
            target.add_latency_sample(latency, now);
        }
    }

    /// Records that a target reported no capacity until the given time.
    pub fn set_busy(&mut self, node: &str, until: BootTime) {
        if let Some(target) = self.target(node) {
            target.busy_until = until;
        }
    }

    /// Records the load that a target reported in a response.
    pub fn set_load(&mut self, node: &str, load: TargetLoad, now: BootTime) {
        if let Some(target) = self.target(node) {
            target.capacity.set_load(load, now);
        }
    }

    /// Records that a target which has not reported its load yet was cold for this time when it started.
    pub fn expect_cold(&mut self, node: &str, cold_for: Duration, now: BootTime) {
        if let Some(target) = self.target(node) {
            target.capacity.expect_cold(cold_for, now);
        }
    }

    /// Records the load of the target beside this router.
    ///
    /// Its number of requests is used only if its rate is limited; otherwise this router's own requests
    /// tell enough.
    pub fn set_local_load(&mut self, node: &str, load: TargetLoad, now: BootTime) {
        if load.rate_limited || load.cold_ms > 0 {
            self.set_load(node, load, now);
        } else if let Some(target) = self.target(node) {
            target.capacity.set_pace(load.pace, now);
        }
    }

    /// Returns whether a target is suspected to be unhealthy.
    #[must_use]
    pub fn is_suspect(&self, node: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| &*target.node == node && target.health.is_suspect())
    }

    fn target(&mut self, node: &str) -> Option<&mut TargetStats> {
        self.targets.iter_mut().find(|target| &*target.node == node)
    }
}

impl KindLatencies {
    /// Scales the duration of a request of this kind to that of an average request, and updates the
    /// averages.
    fn normalize_latency(&mut self, kind: &Arc<str>, took: Duration) -> Duration {
        if self.averages.len() >= MAX_KINDS && !self.averages.contains_key(kind) {
            self.averages.clear();
        }
        self.overall = moving_average(self.overall, took, KIND_AVERAGE_WEIGHT_DIVISOR);
        let average = self.averages.entry(kind.clone()).or_default();
        *average = moving_average(*average, took, KIND_AVERAGE_WEIGHT_DIVISOR);
        let micros = took.as_micros() * self.overall.as_micros() / average.as_micros().max(1);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

impl TargetStats {
    fn new(member: &CellMember, distance: TargetDistance, added_at: Option<BootTime>) -> Self {
        Self {
            node: member.node.clone(),
            incarnation: member.incarnation,
            distance,
            region: member.region.clone(),
            in_flight: 0,
            latency: Duration::ZERO,
            measured_at: None,
            busy_until: BootTime::ZERO,
            capacity: TargetCapacity::default(),
            added_at,
            health: TargetHealth::default(),
        }
    }

    fn is_incarnation_of(&self, member: &CellMember) -> bool {
        self.node == member.node && self.incarnation == member.incarnation
    }

    fn add_latency_sample(&mut self, took: Duration, now: BootTime) {
        let fresh = self.measured_at.is_some_and(|at| now < at + LATENCY_TTL);
        self.latency = if fresh {
            (self.latency * (AVERAGE_WEIGHT_DIVISOR - 1) + took) / AVERAGE_WEIGHT_DIVISOR
        } else {
            took
        };
        self.measured_at = Some(now);
    }

    /// Scales the latency by the target's load and pace.
    ///
    /// A recent load report takes precedence: while the target has free slots, another request
    /// does not slow down the others. Without one, the router knows only its own requests there.
    fn latency_under_load(&self, latency: u128, now: BootTime) -> u128 {
        let cost_percent = self.capacity.cost_percent(now);
        let latency = latency * cost_percent / u128::from(USUAL_PACE_PERCENT);
        let load = self.capacity.load(now).filter(|load| load.slots > 0);
        load.map_or_else(
            || latency * (u128::from(self.in_flight) + 1),
            |load| {
                let used = 100 * u128::from(load.busy.max(self.in_flight) + 1);
                let threshold = u128::from(load.slots) * BUSY_THRESHOLD_PERCENT;
                latency * used.max(threshold) / threshold
            },
        )
    }

    /// Returns a cost factor that falls from ten to one during the slow start of a new target.
    fn slow_start_factor(&self, now: BootTime) -> u128 {
        let Some(added_at) = self.added_at else {
            return 1;
        };
        let age = now.saturating_sub(added_at).as_millis();
        let progress = age * SLOW_START_DIVISOR / SLOW_START_DURATION.as_millis();
        SLOW_START_DIVISOR / progress.clamp(1, SLOW_START_DIVISOR)
    }
}

/// Maps a random number to an index below `count`; `None` if `count` is zero.
fn pick_index(count: usize, draw: u64) -> Option<usize> {
    let count = u64::try_from(count).ok()?;
    usize::try_from(draw.checked_rem(count)?).ok()
}
