//! Decides which repeats a router may send or run, for all services.

use std::collections::BTreeMap;

use super::shared_retry_budget::{ONE_REPEAT, RepeatMilli, RetryTerms, SharedRetryBudget};
use crate::{BootTime, RetryBudget, ServiceName};

/// Maximum number of repeats that a router saves for a service if the deployment sets no limit.
const DEFAULT_MAX_SAVED: u32 = 2;

/// Repeats per thousand first attempts if the deployment sets no limit.
///
/// The deployments allow 200. That limit includes the calls that targets make while they run a
/// repeated request, which these constants do not charge.
const DEFAULT_PER_THOUSAND: u32 = 140;

/// Number of runs before the calls per run are known.
const MIN_COUNTED_RUNS: u32 = 10;

/// Number of runs after which calls and runs are halved, so that old ones count less.
const MAX_COUNTED_RUNS: u32 = 200;

/// The calls that one run makes, by called service, in thousandths.
pub type CallCosts = Vec<(ServiceName, RepeatMilli)>;

/// The retry budgets of one router, by service.
///
/// Each repeat is paid where its request enters: from the budget of its service, and for the calls that its
/// run makes from the budgets of the called services ([`Self::take`]). Only the router beside a target knows
/// these calls, and reports them in its replies. Paid beside the target, they would be bounded by the share of
/// that one router, while repeats come from all routers.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    terms: Option<RetryTerms>,
    started_at: BootTime,
    routers: RouterCount,
    services: BTreeMap<ServiceName, ServiceBudget>,
    /// Calls that a run of a service makes, as routers beside its targets reported them.
    call_costs: BTreeMap<ServiceName, CallCosts>,
    calls: CallMeter,
}

#[derive(Clone, Debug)]
enum ServiceBudget {
    Fixed(RetryBudget),
    Shared(SharedRetryBudget),
}

/// The number of routers that share a limit: the most that were known in the last one to two windows.
///
/// A router that has lost its view of the others still shares the limit with them, and those that have just
/// ended may have used their shares.
#[derive(Clone, Copy, Debug, Default)]
struct RouterCount {
    most: usize,
    previous_most: usize,
    period_began_at: BootTime,
}

/// The calls that runs at the local target make, by service.
#[derive(Clone, Debug, Default)]
struct CallMeter {
    runs: u32,
    calls: BTreeMap<ServiceName, u32>,
}

impl RetryBudgets {
    /// Creates the budgets of a process that started at `started_at`; without terms, constants apply.
    #[must_use]
    pub fn new(terms: Option<RetryTerms>, started_at: BootTime) -> Self {
        Self {
            terms,
            started_at,
            routers: RouterCount::default(),
            services: BTreeMap::new(),
            call_costs: BTreeMap::new(),
            calls: CallMeter::default(),
        }
    }

    /// Sets the number of routers known now, this one included.
    pub fn set_routers(&mut self, routers: usize, now: BootTime) {
        if let Some(terms) = self.terms {
            self.routers.record(routers, terms, now);
        }
    }

    /// Records the first attempt of a request; `is_call` says that the local target sent it.
    ///
    /// Calls do not add to the budget of a shared limit, which depends on callers' requests alone.
    pub fn on_first_attempt(&mut self, service: &ServiceName, is_call: bool, now: BootTime) {
        if is_call {
            self.calls.on_call(service);
        }
        match self.budget(service) {
            ServiceBudget::Fixed(budget) => budget.on_first_attempt(),
            ServiceBudget::Shared(budget) if !is_call => budget.on_request(now),
            ServiceBudget::Shared(_) => {}
        }
    }

    /// Takes one repeat from the budget of a service, and the calls of its run from those of the called
    /// services; returns false, and takes nothing, if one of them has too little left.
    pub fn take(&mut self, service: &ServiceName, now: BootTime) -> bool {
        let routers = self.routers.count();
        if let ServiceBudget::Fixed(budget) = self.budget(service) {
            return budget.take_retry();
        }
        let costs = self.costs(service);
        let affordable = costs.iter().all(|(service, cost)| {
            self.shared(service)
                .is_none_or(|budget| budget.left(routers, now) >= *cost)
        });
        if affordable {
            for (service, cost) in &costs {
                if let Some(budget) = self.shared(service) {
                    budget.take(*cost, routers, now);
                }
            }
        }
        affordable
    }

    /// Gives back a repeat that was taken and then not sent.
    pub fn give_back(&mut self, service: &ServiceName) {
        if let ServiceBudget::Fixed(budget) = self.budget(service) {
            budget.give_back();
            return;
        }
        for (service, cost) in self.costs(service) {
            if let Some(budget) = self.shared(&service) {
                budget.give_back(cost);
            }
        }
    }

    /// Counts a request that the local target begins to run.
    pub fn on_run(&mut self) {
        self.calls.on_run();
    }

    /// Returns the calls that a run at the local target makes; `None` until they are known, or if the
    /// deployment sets no limit.
    #[must_use]
    pub fn calls_per_run(&self) -> Option<CallCosts> {
        self.terms?;
        self.calls.per_run()
    }

    /// Sets the calls that a run of a service makes, as the router beside one of its targets reported them.
    pub fn set_call_costs(&mut self, service: &ServiceName, costs: CallCosts) {
        self.call_costs.insert(service.clone(), costs);
    }

    /// Returns what a repeat costs, by service: itself and the calls of its run.
    fn costs(&self, service: &ServiceName) -> CallCosts {
        let calls = self.call_costs.get(service).into_iter().flatten().cloned();
        std::iter::once((service.clone(), ONE_REPEAT))
            .chain(calls)
            .collect()
    }

    /// Returns how many repeats may be sent now, by service.
    pub fn left(&mut self, now: BootTime) -> Vec<(ServiceName, RepeatMilli)> {
        let routers = self.routers.count();
        let services = self.services.iter_mut();
        let left = services.map(|(service, budget)| {
            let left = match budget {
                ServiceBudget::Fixed(budget) => budget.saved(),
                ServiceBudget::Shared(budget) => budget.left(routers, now),
            };
            (service.clone(), left)
        });
        left.collect()
    }

    fn shared(&mut self, service: &ServiceName) -> Option<&mut SharedRetryBudget> {
        match self.budget(service) {
            ServiceBudget::Fixed(_) => None,
            ServiceBudget::Shared(budget) => Some(budget),
        }
    }

    fn budget(&mut self, service: &ServiceName) -> &mut ServiceBudget {
        let (terms, started_at) = (self.terms, self.started_at);
        let budget = self.services.entry(service.clone());
        budget.or_insert_with(|| match terms {
            Some(terms) => ServiceBudget::Shared(SharedRetryBudget::new(terms, started_at)),
            None => ServiceBudget::Fixed(
                RetryBudget::new()
                    .with_max_saved(DEFAULT_MAX_SAVED)
                    .with_share(DEFAULT_PER_THOUSAND),
            ),
        })
    }
}

impl RouterCount {
    fn record(&mut self, routers: usize, terms: RetryTerms, now: BootTime) {
        if now >= self.period_began_at + terms.window {
            self.previous_most = self.most;
            self.most = 0;
            self.period_began_at = now;
        }
        self.most = self.most.max(routers);
    }

    fn count(self) -> usize {
        self.most.max(self.previous_most).max(1)
    }
}

impl CallMeter {
    fn on_run(&mut self) {
        self.runs += 1;
        if self.runs >= MAX_COUNTED_RUNS {
            self.runs /= 2;
            self.calls.values_mut().for_each(|calls| *calls /= 2);
            self.calls.retain(|_, calls| *calls > 0);
        }
    }

    fn on_call(&mut self, service: &ServiceName) {
        let calls = self.calls.entry(service.clone()).or_default();
        *calls = calls.saturating_add(1);
    }

    /// Returns the calls of one run by service; `None` until enough runs were counted.
    fn per_run(&self) -> Option<CallCosts> {
        if self.runs < MIN_COUNTED_RUNS {
            return None;
        }
        let runs = RepeatMilli::from(self.runs);
        let calls = self.calls.iter().map(|(service, calls)| {
            let cost = RepeatMilli::from(*calls) * ONE_REPEAT;
            (service.clone(), cost.div_ceil(runs))
        });
        Some(calls.collect())
    }
}
