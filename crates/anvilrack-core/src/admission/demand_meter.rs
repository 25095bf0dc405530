//! Measures the work that is offered to a target and decides which share of it is admitted.

use std::collections::VecDeque;
use std::time::Duration;

use super::admitted_shares::priority_index;
use crate::{
    AdmittedShares, BootTime, PRIORITY_COUNT, RequestRate, RunAdmission, ShareMilli, WHOLE_SHARE,
};

/// Period over which work is added up before it moves to the next bucket.
const BUCKET: Duration = Duration::from_millis(200);

/// Number of buckets that count, the current one included.
const BUCKET_COUNT: u128 = 5;

/// Period in which the shares stay the same.
const SHARES_PERIOD: Duration = Duration::from_millis(50);

/// Minimum time since the first request before any request is refused.
const MIN_SPAN: Duration = Duration::from_millis(400);

/// Value of a request relative to that of one which is one step less urgent.
const VALUE_STEP: u128 = 2;

/// Share of a priority in percent of that of the next more urgent one, if both are limited together.
///
/// Urgent requests may still meet a full queue at their target, so they get a larger share.
const POOLED_STEP_PERCENT: u128 = 92;

/// Smallest share, so that a target still sees some requests of each priority and notices when their
/// number falls.
const MIN_SHARE: ShareMilli = 20;

/// The work offered to one target over the last second, by priority.
///
/// Work is the time for which a request occupies a slot. A request that arrives from a router which
/// admits only a share of its requests stands for all of them, so the meter knows the demand even while
/// most of it is refused elsewhere. What is left of the slots after the more urgent priorities is the share
/// of the next one, unless both are limited together.
///
/// ```
/// use std::time::Duration;
/// use anvilrack_core::{DemandMeter, OfferedRequest, RunAdmission};
///
/// let mut meter = DemandMeter::default();
/// let ms = Duration::from_millis;
/// let request = OfferedRequest {
///     work: ms(4),
///     admission: RunAdmission { priority: 1, admitted: 1_000 },
///     is_call: false,
/// };
/// for at in 0..1_000 {
///     // Twice the work that two slots can do.
///     meter.record(&request, ms(at));
/// }
/// let shares = meter.shares(2, ms(1_000));
/// assert!((450..550).contains(&shares.share(1)));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DemandMeter {
    buckets: VecDeque<DemandBucket>,
    first_at: Option<BootTime>,
    latest: Option<(BootTime, AdmittedShares)>,
}

/// A request that arrived at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfferedRequest {
    /// Time for which it is expected to occupy a slot.
    pub work: Duration,
    /// Its priority, and the share of such requests that was admitted on their way here.
    pub admission: RunAdmission,
    /// Whether it is a call of another target.
    pub is_call: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DemandBucket {
    index: u128,
    demands: [PriorityDemand; PRIORITY_COUNT],
    /// Work of the calls that arrived.
    call_work: Duration,
    /// Work of all requests that arrived.
    work: Duration,
}

/// The requests of one priority, including those that were refused on their way here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PriorityDemand {
    work: Duration,
    /// Number of requests in thousandths.
    count_milli: u64,
}

/// Adjacent priorities that are limited together.
#[derive(Clone, Debug, Default)]
struct PriorityPool {
    /// Work of each priority in microseconds, the most urgent first.
    work_us: Vec<u128>,
    /// Sum of the values of the requests.
    value: u128,
}

impl DemandMeter {
    /// Adds a request, whether or not it is admitted here.
    pub fn record(&mut self, request: &OfferedRequest, now: BootTime) {
        self.first_at.get_or_insert(now);
        let index = bucket_index(now);
        self.remove_old(index);
        if self.buckets.back().is_none_or(|last| last.index != index) {
            self.buckets.push_back(DemandBucket {
                index,
                ..DemandBucket::default()
            });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            let OfferedRequest {
                work, admission, ..
            } = *request;
            bucket.work += work;
            if request.is_call {
                bucket.call_work += work;
            }
            let share = u32::from(admission.admitted.clamp(MIN_SHARE, WHOLE_SHARE));
            bucket.demands[priority_index(admission.priority)].add(PriorityDemand {
                work: work * u32::from(WHOLE_SHARE) / share,
                count_milli: u64::from(WHOLE_SHARE) * 1_000 / u64::from(share),
            });
        }
    }

    /// Returns the share of calls in the work that arrived, in percent.
    #[must_use]
    pub fn call_share_percent(&self, now: BootTime) -> u32 {
        let oldest = bucket_index(now).saturating_sub(BUCKET_COUNT - 1);
        let counted = || self.buckets.iter().filter(|b| b.index >= oldest);
        let calls: Duration = counted().map(|bucket| bucket.call_work).sum();
        let all: Duration = counted().map(|bucket| bucket.work).sum();
        let percent = calls.as_micros() * 100 / all.as_micros().max(1);
        u32::try_from(percent).unwrap_or(0)
    }

    /// Returns the shares of new requests that a target with this number of slots can serve.
    ///
    /// They are calculated at most every 50 ms.
    pub fn shares(&mut self, slots: u32, now: BootTime) -> AdmittedShares {
        if let Some((at, shares)) = self.latest
            && now < at + SHARES_PERIOD
        {
            return shares;
        }
        let shares = self.calculate_shares(slots, now);
        self.latest = Some((now, shares));
        shares
    }

    /// Returns the shares of new requests that a target can serve which takes `rate` requests a second.
    #[must_use]
    pub fn rate_shares(&self, rate: RequestRate, now: BootTime) -> AdmittedShares {
        let Some((mut demands, span)) = self.recent_demands(now) else {
            return AdmittedShares::ALL;
        };
        for demand in &mut demands {
            demand.work = Duration::from_micros(demand.count_milli);
        }
        let capacity = Duration::from_millis(1).as_secs_f64() * rate * span.as_secs_f64();
        let capacity = Duration::try_from_secs_f64(capacity).unwrap_or(Duration::MAX);
        fill(demands, capacity)
    }

    fn calculate_shares(&self, slots: u32, now: BootTime) -> AdmittedShares {
        let recent = self.recent_demands(now);
        recent.map_or(AdmittedShares::ALL, |(demands, span)| {
            fill(demands, span * slots.max(1))
        })
    }

    /// Returns the demand of each priority and the time in which it arrived; `None` if that is too short.
    fn recent_demands(
        &self,
        now: BootTime,
    ) -> Option<([PriorityDemand; PRIORITY_COUNT], Duration)> {
        let since_first = now.saturating_sub(self.first_at?);
        if since_first < MIN_SPAN {
            return None;
        }
        let index = bucket_index(now);
        let oldest = index.saturating_sub(BUCKET_COUNT - 1);
        let full_span = BUCKET * u32::try_from(index - oldest).unwrap_or(0) + part_of_bucket(now);
        let span = full_span.min(since_first);
        let mut demands = [PriorityDemand::default(); PRIORITY_COUNT];
        for bucket in self.buckets.iter().filter(|b| b.index >= oldest) {
            for (sum, demand) in demands.iter_mut().zip(bucket.demands) {
                sum.add(demand);
            }
        }
        Some((demands, span))
    }

    fn remove_old(&mut self, index: u128) {
        let oldest = index.saturating_sub(BUCKET_COUNT - 1);
        while self.buckets.front().is_some_and(|b| b.index < oldest) {
            self.buckets.pop_front();
        }
    }
}

impl PriorityDemand {
    fn add(&mut self, other: Self) {
        self.work += other.work;
        self.count_milli += other.count_milli;
    }
}

impl PriorityPool {
    fn total_us(&self) -> u128 {
        self.work_us.iter().sum()
    }

    /// Returns whether this pool gains more value from the same work than `other`.
    fn is_better_than(&self, other: &Self) -> bool {
        self.value * other.total_us() > other.value * self.total_us()
    }

    fn append(&mut self, mut less_urgent: Self) {
        self.work_us.append(&mut less_urgent.work_us);
        self.value += less_urgent.value;
    }

    /// Returns the shares of the priorities if slots are free for `left_us`.
    fn shares(&self, left_us: u128) -> impl Iterator<Item = ShareMilli> {
        let whole = u128::from(WHOLE_SHARE);
        let fits = self.total_us() <= left_us;
        // Weight of each priority in thousandths of the weight of the first one.
        let weights = std::iter::successors(Some(whole), |w| Some(w * POOLED_STEP_PERCENT / 100));
        let weights: Vec<u128> = weights.take(self.work_us.len()).collect();
        let weighted: u128 = self
            .work_us
            .iter()
            .zip(&weights)
            .map(|(work, w)| work * w)
            .sum();
        let first = (left_us * whole * whole / weighted.max(1)).min(whole);
        weights.into_iter().map(move |weight| {
            let share = if fits { whole } else { first * weight / whole };
            ShareMilli::try_from(share)
                .unwrap_or(WHOLE_SHARE)
                .max(MIN_SHARE)
        })
    }
}

/// Divides the capacity among the priorities so that the value of the admitted requests is greatest,
/// while no priority gets a smaller share than a less urgent one.
///
/// A less urgent priority whose requests are cheap is pooled with the more urgent one before it: both
/// get almost the same share. This is the pool-adjacent-violators method of isotonic regression.
fn fill(demands: [PriorityDemand; PRIORITY_COUNT], capacity: Duration) -> AdmittedShares {
    let mut pools: Vec<PriorityPool> = Vec::with_capacity(PRIORITY_COUNT);
    for (priority, demand) in demands.into_iter().enumerate() {
        let steps = u32::try_from(PRIORITY_COUNT - 1 - priority).unwrap_or(0);
        let mut pool = PriorityPool {
            work_us: vec![demand.work.as_micros()],
            value: u128::from(demand.count_milli) * VALUE_STEP.pow(steps),
        };
        while let Some(mut before) = pools.pop_if(|before| pool.is_better_than(before)) {
            before.append(pool);
            pool = before;
        }
        pools.push(pool);
    }
    let mut left_us = capacity.as_micros();
    let mut shares = Vec::with_capacity(PRIORITY_COUNT);
    for pool in pools {
        shares.extend(pool.shares(left_us));
        left_us = left_us.saturating_sub(pool.total_us());
    }
    AdmittedShares::new(shares.try_into().unwrap_or([WHOLE_SHARE; PRIORITY_COUNT]))
}

fn bucket_index(now: BootTime) -> u128 {
    now.as_micros() / BUCKET.as_micros()
}

fn part_of_bucket(now: BootTime) -> Duration {
    let micros = now.as_micros() % BUCKET.as_micros();
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}
