//! Which target takes a request that any target of its service may take.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::moving_mean::moving_mean;
use crate::{BootTime, CellMember, HealthOutcome, Incarnation, NodeId, TargetHealth};

/// Weight of the newest latency in the mean, as a divisor.
const MEAN_WEIGHT: u32 = 8;

/// Weight of the newest latency in the mean of a kind of request, as a divisor: that mean is over all
/// targets, and must not follow the one that was measured last.
const KIND_WEIGHT: u32 = 32;

/// Kinds of request whose latency is kept.
const KIND_LIMIT: usize = 256;

/// A latency older than this says nothing any more.
const LATENCY_AGE: Duration = Duration::from_secs(5);

/// A near target is left for one farther away where its cost is this many times greater.
const SPILL_FACTOR: u128 = 2;

/// What a target says of its load counts for this long.
const LOAD_AGE: Duration = Duration::from_millis(600);

/// A target that uses less than this share of its slots is not crowded, in percent.
const CROWDED_PERCENT: u128 = 75;

/// Time over which a target that has just come gets its full share.
const SLOW_START: Duration = Duration::from_secs(10);

/// Share of a target that has just come, as a divisor.
const SLOW_START_PART: u128 = 10;

/// Of so many targets, one at most may be thought sick; more, and the observer doubts itself.
const SUSPECT_PART: usize = 3;

/// Latency of a target of which nothing is known, in microseconds.
const UNKNOWN_US: u128 = 1_000;

/// The targets of one service as one router sees them by its own requests.
///
/// Two are drawn among the nearest and two among all, and the less costly is taken; its cost is its
/// latency times the requests that this router has under way there. So load spills to places farther
/// away when the near ones get slower or fuller.
#[derive(Clone, Debug, Default)]
pub struct TargetChoice {
    targets: Vec<TargetFigures>,
    near: Vec<usize>,
    /// Those of the own region, where it is not all of them.
    region: Vec<usize>,
    kinds: KindLatencies,
    turn: usize,
}

/// How long the kinds of request take in the mean, over all targets.
///
/// A target's last request may have been a look-up of 50 ms or an upload of a second. Held against
/// the mean of its kind, each tells how fast the target is.
#[derive(Clone, Debug, Default)]
struct KindLatencies {
    all: Duration,
    means: BTreeMap<Arc<str>, Duration>,
}

#[derive(Clone, Debug)]
struct TargetFigures {
    node: NodeId,
    incarnation: Incarnation,
    distance: TargetDistance,
    in_flight: u32,
    latency: Duration,
    measured_at: Option<BootTime>,
    busy_until: BootTime,
    load: Option<(TargetLoad, BootTime)>,
    /// When it came; `None` where it was there from the start.
    came_at: Option<BootTime>,
    health: TargetHealth,
}

/// What a target was seen to have under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Requests that run or wait.
    pub busy: u32,
    /// Requests that it runs side by side.
    pub slots: u32,
}

/// How far a target is from the router that chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TargetDistance {
    /// In the same failure domain.
    Domain,
    /// In the same region.
    Region,
    /// In another region.
    Remote,
}

impl TargetDistance {
    /// The distance between two members of a cell.
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

/// Random numbers for one choice, passed in so that a choice can be repeated.
pub type ChoiceDraws = [u64; 4];

impl TargetChoice {
    /// Takes the members that are ready now; figures of those that stay are kept.
    pub fn set_members<'a>(
        &mut self,
        own: &CellMember,
        ready: impl Iterator<Item = &'a CellMember>,
        now: BootTime,
    ) {
        let mut known = std::mem::take(&mut self.targets);
        let first_time = known.is_empty();
        self.targets = ready
            .map(|member| {
                let same = known.iter().position(|target| target.is_run_of(member));
                same.map_or_else(
                    || {
                        let came_at = (!first_time).then_some(now);
                        TargetFigures::new(member, TargetDistance::new(own, member), came_at)
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

    /// Chooses by cost, near ones first.
    pub fn choose(&mut self, draws: ChoiceDraws, now: BootTime) -> Option<NodeId> {
        for target in &mut self.targets {
            target.health.look(target.latency, now);
        }
        if let Some(probed) = self.targets.iter().find(|t| t.health.may_probe(now)) {
            return Some(probed.node.clone());
        }
        let trusts = self.trusts_itself();
        let usable = |index: &usize| !trusts || !self.targets[*index].health.is_suspect();
        let near: Vec<usize> = self.near.iter().copied().filter(usable).collect();
        let all: Vec<usize> = (0..self.targets.len()).filter(usable).collect();
        let region: Vec<usize> = self.region.iter().copied().filter(usable).collect();
        let near = self.better_of(&near, [draws[0], draws[1]], now);
        let region = self.better_of(&region, [draws[1], draws[2]], now);
        let far = self.better_of(&all, [draws[2], draws[3]], now);
        // From the nearest outwards; each step out has to be worth it.
        let chosen = [near, region, far]
            .into_iter()
            .flatten()
            .reduce(|nearer, farther| {
                if self.spills(nearer, farther, now) {
                    farther
                } else {
                    nearer
                }
            })?;
        Some(self.targets[chosen].node.clone())
    }

    /// One at random, whatever its state: a baseline.
    #[must_use]
    pub fn choose_random(&self, draw: u64) -> Option<NodeId> {
        let index = pick(self.targets.len(), draw)?;
        Some(self.targets[index].node.clone())
    }

    /// One after another, whatever their state: a baseline.
    pub fn choose_next(&mut self) -> Option<NodeId> {
        self.turn = self.turn.wrapping_add(1);
        let index = self.turn.checked_rem(self.targets.len())?;
        Some(self.targets[index].node.clone())
    }

    fn better_of(&self, of: &[usize], draws: [u64; 2], now: BootTime) -> Option<usize> {
        let first = pick(of.len(), draws[0])?;
        // The second is another one, where there is one.
        let step = 1 + pick(of.len().saturating_sub(1), draws[1]).unwrap_or(0);
        let pair = [of[first], of[(first + step) % of.len()]];
        pair.into_iter().min_by_key(|index| self.cost(*index, now))
    }

    fn spills(&self, near: usize, far: usize, now: BootTime) -> bool {
        self.cost(near, now) > self.cost(far, now) * SPILL_FACTOR
    }

    fn cost(&self, index: usize, now: BootTime) -> u128 {
        let target = &self.targets[index];
        let fresh = |at: &BootTime| now < *at + LATENCY_AGE;
        let known = target.measured_at.as_ref().is_some_and(fresh);
        let latency = if known {
            target.latency.as_micros().max(1)
        } else {
            self.usual_latency(now)
        };
        let busy = if now < target.busy_until {
            u128::from(u32::MAX)
        } else {
            1
        };
        target.crowded(latency, now) * target.slow_start(now) * busy
    }

    /// What is assumed of a target that was not measured lately: the mean of the others.
    fn usual_latency(&self, now: BootTime) -> u128 {
        let fresh =
            |target: &&TargetFigures| target.measured_at.is_some_and(|at| now < at + LATENCY_AGE);
        let known = self.targets.iter().filter(fresh);
        let (sum, count) = known.fold((0, 0), |(sum, count), target| {
            (sum + target.latency.as_micros(), count + 1)
        });
        sum.checked_div(count).unwrap_or(UNKNOWN_US).max(1)
    }

    /// False where so many look sick that the fault is more likely this router's own.
    fn trusts_itself(&self) -> bool {
        let suspects = self
            .targets
            .iter()
            .filter(|t| t.health.is_suspect())
            .count();
        suspects <= self.targets.len() / SUSPECT_PART
    }

    // --- evidence -------------------------------------------------------------------------------

    /// A request goes to a target.
    pub fn begin(&mut self, node: &str, now: BootTime) {
        if let Some(target) = self.target(node) {
            target.in_flight += 1;
            target.health.begin(now);
        }
    }

    /// A request is over; `kind` says what work it was, such as its route.
    pub fn end(
        &mut self,
        node: &str,
        kind: &Arc<str>,
        outcome: HealthOutcome,
        took: Duration,
        now: BootTime,
    ) {
        let measured = outcome != HealthOutcome::NotTried;
        let latency = measured.then(|| self.kinds.typical(kind, took));
        let Some(target) = self.target(node) else {
            return;
        };
        target.in_flight = target.in_flight.saturating_sub(1);
        target.health.end(outcome, now);
        if let Some(latency) = latency {
            target.measure(latency, now);
        }
    }

    /// A target said that it has no room until the given time.
    pub fn set_busy(&mut self, node: &str, until: BootTime) {
        if let Some(target) = self.target(node) {
            target.busy_until = until;
        }
    }

    /// A target's answer told what it has under way.
    pub fn set_load(&mut self, node: &str, load: TargetLoad, now: BootTime) {
        if let Some(target) = self.target(node) {
            target.load = Some((load, now));
        }
    }

    /// True where a target is thought to be sick.
    #[must_use]
    pub fn is_suspect(&self, node: &str) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|target| &*target.node == node && target.health.is_suspect())
    }

    fn target(&mut self, node: &str) -> Option<&mut TargetFigures> {
        self.targets.iter_mut().find(|target| &*target.node == node)
    }
}

impl KindLatencies {
    /// What a typical request would have taken where one of this kind took `took`.
    fn typical(&mut self, kind: &Arc<str>, took: Duration) -> Duration {
        if self.means.len() >= KIND_LIMIT && !self.means.contains_key(kind) {
            self.means.clear();
        }
        self.all = moving_mean(self.all, took, KIND_WEIGHT);
        let mean = self.means.entry(kind.clone()).or_default();
        *mean = moving_mean(*mean, took, KIND_WEIGHT);
        let micros = took.as_micros() * self.all.as_micros() / mean.as_micros().max(1);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

impl TargetFigures {
    fn new(member: &CellMember, distance: TargetDistance, came_at: Option<BootTime>) -> Self {
        Self {
            node: member.node.clone(),
            incarnation: member.incarnation,
            distance,
            in_flight: 0,
            latency: Duration::ZERO,
            measured_at: None,
            busy_until: BootTime::ZERO,
            load: None,
            came_at,
            health: TargetHealth::default(),
        }
    }

    fn is_run_of(&self, member: &CellMember) -> bool {
        self.node == member.node && self.incarnation == member.incarnation
    }

    fn measure(&mut self, took: Duration, now: BootTime) {
        let fresh = self.measured_at.is_some_and(|at| now < at + LATENCY_AGE);
        self.latency = if fresh {
            (self.latency * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT
        } else {
            took
        };
        self.measured_at = Some(now);
    }

    /// The latency to be expected with what is under way.
    ///
    /// Where the target told its load lately, that counts: while it has slots free, one more request
    /// slows nobody down. Else this router's own requests there are all that is known.
    fn crowded(&self, latency: u128, now: BootTime) -> u128 {
        let fresh = |(_, at): &&(TargetLoad, BootTime)| now < *at + LOAD_AGE;
        match self.load.as_ref().filter(fresh) {
            Some((load, _)) if load.slots > 0 => {
                let used = 100 * u128::from(load.busy.max(self.in_flight) + 1);
                let free = u128::from(load.slots) * CROWDED_PERCENT;
                latency * used.max(free) / free
            }
            _ => latency * (u128::from(self.in_flight) + 1),
        }
    }

    /// A factor that falls from ten to one while a new target warms up.
    fn slow_start(&self, now: BootTime) -> u128 {
        let Some(came_at) = self.came_at else {
            return 1;
        };
        let age = now.saturating_sub(came_at).as_millis();
        let warm = age * SLOW_START_PART / SLOW_START.as_millis();
        SLOW_START_PART / warm.clamp(1, SLOW_START_PART)
    }
}

/// Turns a random number into an index.
fn pick(of: usize, draw: u64) -> Option<usize> {
    let of = u64::try_from(of).ok()?;
    usize::try_from(draw.checked_rem(of)?).ok()
}
