//! Repeats summed over all routers stay within the deployment's limit, in every window.
//!
//! Guards against a limit that each router keeps alone while their sum exceeds the rule: many routers,
//! reserves that come back with each restart, and calls of repeated runs that nobody pays for.

use std::collections::VecDeque;
use std::time::Duration;

use anvilrack_core::{BootTime, RetryBudgets, RetryTerms, ServiceName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const TERMS: RetryTerms = RetryTerms {
    per_thousand: 200,
    slack: 58,
    window: Duration::from_secs(10),
};

/// Length of a step of the simulation.
const STEP: Duration = Duration::from_millis(100);

/// Steps of a window.
const WINDOW_STEPS: i64 = 100;

/// Steps of a simulation: six windows.
const STEPS: usize = 600;

/// Repeats of one request before its deadline ends them.
const MAX_REPEATS: u32 = 3;

/// When routers restart, which services fail, and what callers send.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    routers: usize,
    slack: u32,
    /// Callers' requests to `orders` per second and router.
    rate: f64,
    /// The rate falls to zero in every second period of this many steps; zero for a steady rate.
    pause_steps: usize,
    /// Steps at which the routers restart, spread over a second.
    restarts: &'static [usize],
    /// Number of steps for which a restarted router knows no other router.
    alone_steps: usize,
    /// First of 150 steps in which no router knows another one, as after an outage of the store.
    view_lost_at: usize,
    /// First step at which all requests to `orders` fail.
    orders_fail_at: usize,
    /// First step at which all calls to `billing` fail.
    billing_fails_at: usize,
    /// Calls to `billing` that one run of `orders` makes.
    calls_per_run: u32,
}

const STEADY: Scenario = Scenario {
    routers: 24,
    slack: 58,
    rate: 5.0,
    pause_steps: 0,
    restarts: &[],
    alone_steps: 0,
    view_lost_at: STEPS,
    orders_fail_at: 0,
    billing_fails_at: STEPS,
    calls_per_run: 0,
};

/// Arrivals at one service in each step.
#[derive(Clone, Debug)]
struct Arrivals {
    requests: Vec<u32>,
    repeats: Vec<u32>,
}

struct Simulation {
    scenario: Scenario,
    terms: Option<RetryTerms>,
    random: StdRng,
    routers: Vec<RetryBudgets>,
    started_at: Vec<usize>,
    orders: Arrivals,
    billing: Arrivals,
}

impl Arrivals {
    fn new() -> Self {
        Self {
            requests: vec![0; STEPS],
            repeats: vec![0; STEPS],
        }
    }

    /// Returns the most repeats above the limit in any window; negative if the limit is kept.
    fn excess(&self, slack: u32) -> f64 {
        let sum = |counts: &[u32], from: i64| -> f64 {
            let steps = from..from + WINDOW_STEPS;
            let counted = steps.filter_map(|step| counts.get(usize::try_from(step).ok()?));
            f64::from(counted.sum::<u32>())
        };
        let windows = (0..i64::try_from(STEPS).expect("few steps")).map(|from| {
            let starts = [from, from - WINDOW_STEPS / 2, from - WINDOW_STEPS];
            let requests = starts.map(|start| sum(&self.requests, start));
            let most = requests.into_iter().fold(0.0, f64::max);
            let allowed = TERMS.per_thousand as f64 / 1_000.0 * most + f64::from(slack);
            sum(&self.repeats, from) - allowed
        });
        windows.fold(f64::MIN, f64::max)
    }
}

impl Simulation {
    fn new(scenario: Scenario, terms: Option<RetryTerms>) -> Self {
        Self {
            scenario,
            terms,
            random: StdRng::seed_from_u64(29),
            // These have run for long.
            routers: vec![RetryBudgets::new(terms, BootTime::ZERO); scenario.routers],
            started_at: vec![0; scenario.routers],
            orders: Arrivals::new(),
            billing: Arrivals::new(),
        }
    }

    fn run(mut self) -> (Arrivals, Arrivals) {
        self.warm_up();
        for step in 0..STEPS {
            self.restart(step);
            for router in 0..self.routers.len() {
                self.serve_callers(router, step);
            }
        }
        (self.orders, self.billing)
    }

    /// The time of a step; the first one is long after the start of the first processes.
    fn now(step: usize) -> BootTime {
        Duration::from_secs(100) + STEP * u32::try_from(step).expect("few steps")
    }

    fn warm_up(&mut self) {
        let at = Self::now(0).saturating_sub(TERMS.window * 3);
        for router in &mut self.routers {
            router.set_routers(self.scenario.routers, at);
            for _ in 0..50 {
                router.on_first_attempt(&orders(), false, at);
                router.on_run();
                (0..self.scenario.calls_per_run)
                    .for_each(|_| router.on_first_attempt(&billing(), true, at));
            }
        }
    }

    fn restart(&mut self, step: usize) {
        for begins in self.scenario.restarts {
            for router in 0..self.routers.len() {
                if step == begins + router * 10 / self.routers.len() {
                    self.routers[router] = RetryBudgets::new(self.terms, Self::now(step));
                    self.started_at[router] = step;
                }
            }
        }
    }

    fn serve_callers(&mut self, router: usize, step: usize) {
        let scenario = self.scenario;
        let is_restarted = self.started_at[router] > 0;
        let is_alone = is_restarted && step < self.started_at[router] + scenario.alone_steps;
        let has_lost_view = (scenario.view_lost_at..scenario.view_lost_at + 150).contains(&step);
        let known = if is_alone || has_lost_view {
            1
        } else {
            scenario.routers
        };
        self.routers[router].set_routers(known, Self::now(step));
        let paused = scenario.pause_steps > 0 && (step / scenario.pause_steps) % 2 == 1;
        let expected = if paused {
            0.0
        } else {
            scenario.rate * STEP.as_secs_f64()
        };
        // At most ten requests in a step.
        for _ in 0..10 {
            if !self.random.random_bool(expected / 10.0) {
                continue;
            }
            self.orders.requests[step] += 1;
            self.send(router, step);
        }
    }

    /// Sends a request to a target of `orders`, and repeats it as long as it fails and the budget allows.
    fn send(&mut self, router: usize, step: usize) {
        let (service, now) = (orders(), Self::now(step));
        self.routers[router].on_first_attempt(&service, false, now);
        self.run_at_target(router, false, step);
        let mut repeats = 0;
        while step >= self.scenario.orders_fail_at
            && repeats < MAX_REPEATS
            && self.routers[router].take(&service, now)
        {
            repeats += 1;
            self.run_at_target(router, true, step);
        }
    }

    /// Runs a request at a random target, whose run calls `billing` through the router beside it.
    ///
    /// The reply names the calls of a run.
    fn run_at_target(&mut self, router: usize, is_repeat: bool, step: usize) {
        let beside = self.random.random_range(0..self.routers.len());
        let now = Self::now(step);
        self.orders.repeats[step] += u32::from(is_repeat);
        self.routers[beside].on_run();
        for _ in 0..self.scenario.calls_per_run {
            self.routers[beside].on_first_attempt(&billing(), true, now);
            self.billing.repeats[step] += u32::from(is_repeat);
            let mut repeats = 0;
            while step >= self.scenario.billing_fails_at
                && repeats < MAX_REPEATS
                && self.routers[beside].take(&billing(), now)
            {
                repeats += 1;
                self.billing.repeats[step] += 1;
            }
        }
        if let Some(costs) = self.routers[beside].calls_per_run() {
            self.routers[router].set_call_costs(&orders(), costs);
        }
    }
}

fn orders() -> ServiceName {
    "orders".into()
}

fn billing() -> ServiceName {
    "billing".into()
}

/// Returns the most repeats above the limit at `orders` and at `billing`.
fn excesses(scenario: Scenario, terms: Option<RetryTerms>) -> [f64; 2] {
    let (orders, billing) = Simulation::new(scenario, terms).run();
    [orders, billing].map(|arrivals| arrivals.excess(scenario.slack))
}

macro_rules! sum_cases {
    ($($name:ident: $scenario:expr, constants keep the limit $kept:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let scenario: Scenario = $scenario;
                let terms = RetryTerms { slack: scenario.slack, ..TERMS };
                let shared = excesses(scenario, Some(terms));
                let constants = excesses(scenario, None);
                println!("{}: shared {shared:?}, constants {constants:?}", stringify!($name));
                assert!(shared.iter().all(|excess| *excess <= 0.0), "{shared:?}");
                // Shows that the case can fail: the constants break the limit in it.
                let kept = constants.iter().all(|excess| *excess <= 0.0);
                assert_eq!(kept, $kept, "constants: {constants:?}");
            }
        )*
    };
}

const RESTARTED: Scenario = Scenario {
    restarts: &[200],
    orders_fail_at: 150,
    ..STEADY
};
const CALLING: Scenario = Scenario {
    calls_per_run: 1,
    ..STEADY
};

sum_cases! {
    one_router: Scenario { routers: 1, rate: 100.0, ..STEADY }, constants keep the limit true;
    small_deployment: STEADY, constants keep the limit true;
    large_deployment: Scenario { routers: 295, slack: 630, ..STEADY }, constants keep the limit true;
    more_routers_than_slack: Scenario { routers: 295, rate: 1.0, ..STEADY }, constants keep the limit false;
    thousand_routers: Scenario { routers: 1_000, rate: 0.5, ..STEADY }, constants keep the limit false;
    thousand_routers_restarted: Scenario { routers: 1_000, rate: 0.5, alone_steps: 20, ..RESTARTED },
        constants keep the limit false;
    all_restarted: RESTARTED, constants keep the limit true;
    all_restarted_at_low_rate: Scenario { rate: 0.5, ..RESTARTED }, constants keep the limit false;
    large_deployment_restarted: Scenario { routers: 295, slack: 630, rate: 0.5, ..RESTARTED },
        constants keep the limit false;
    restarted_alone: Scenario { routers: 295, slack: 630, rate: 0.5, alone_steps: 300, ..RESTARTED },
        constants keep the limit false;
    restarted_twice: Scenario { rate: 0.5, restarts: &[200, 260], ..RESTARTED }, constants keep the limit false;
    restarted_as_service_fails: Scenario { orders_fail_at: 295, rate: 50.0, ..RESTARTED }, constants keep the limit true;
    view_of_others_lost: Scenario { view_lost_at: 250, orders_fail_at: 240, ..STEADY },
        constants keep the limit true;
    failure_after_a_pause: Scenario { pause_steps: 30, orders_fail_at: 150, ..STEADY },
        constants keep the limit true;
    calls_of_repeated_runs: CALLING, constants keep the limit false;
    calls_of_repeated_runs_restarted: Scenario { restarts: &[200], ..CALLING }, constants keep the limit false;
    three_calls_of_each_run: Scenario { calls_per_run: 3, ..CALLING }, constants keep the limit false;
    called_service_fails: Scenario { orders_fail_at: STEPS, billing_fails_at: 0, ..CALLING },
        constants keep the limit false;
    both_services_fail: Scenario { billing_fails_at: 0, ..CALLING }, constants keep the limit false;
    large_deployment_both_fail: Scenario { routers: 295, slack: 630, billing_fails_at: 0, rate: 2.0, ..CALLING },
        constants keep the limit false;
}

/// A limit that is kept by sending next to no repeats would serve callers worse than the constants.
#[test]
fn small_deployment_repeats_no_less_than_with_constants() {
    let repeats = |scenario: Scenario, terms| -> u32 {
        let (orders, _) = Simulation::new(scenario, terms).run();
        orders.repeats.iter().sum()
    };
    for rate in [0.2, 1.0, 5.0, 20.0] {
        let scenario = Scenario { rate, ..STEADY };
        let (shared, constants) = (repeats(scenario, Some(TERMS)), repeats(scenario, None));
        assert!(shared >= constants, "rate {rate}: {shared} and {constants}");
    }
}

/// A single router keeps its part for any times of requests and repeats, not only for those of a simulation.
#[test]
fn random_times_stay_within_share_and_ratio() {
    let mut random = StdRng::seed_from_u64(31);
    for _ in 0..50 {
        let mut budgets = RetryBudgets::new(Some(TERMS), BootTime::ZERO);
        let mut now = Duration::from_secs(20);
        let (mut requests, mut repeats) = (VecDeque::new(), VecDeque::new());
        for _ in 0..2_000 {
            now += Duration::from_millis(random.random_range(0..200));
            budgets.set_routers(24, now);
            if random.random_bool(0.5) {
                budgets.on_first_attempt(&orders(), false, now);
                requests.push_back(now);
            } else if budgets.take(&orders(), now) {
                repeats.push_back(now);
            }
            let from = now.saturating_sub(TERMS.window);
            requests.retain(|at| *at > from);
            repeats.retain(|at| *at > from);
            let allowed = requests.len() as f64 * 0.2 + 58.0 / 24.0;
            assert!(
                repeats.len() as f64 <= allowed + 1e-9,
                "{} of {allowed}",
                repeats.len()
            );
        }
    }
}

/// A process that restarts used up the share of its former process a second time.
#[test]
fn restarted_router_uses_no_slack_for_a_window() {
    let at = Duration::from_secs;
    let mut budgets = RetryBudgets::new(Some(TERMS), at(100));
    budgets.set_routers(24, at(100));
    assert!(!budgets.take(&orders(), at(100)));
    // Half the ratio: ten requests earn one repeat.
    for _ in 0..10 {
        budgets.on_first_attempt(&orders(), false, at(105));
    }
    assert!(budgets.take(&orders(), at(105)));
    assert!(!budgets.take(&orders(), at(109)));
    // The repeat at 105 s still occupies the share of 2.4.
    assert!(budgets.take(&orders(), at(110)));
    assert!(!budgets.take(&orders(), at(110)));
    assert!(budgets.take(&orders(), at(115)));
}

/// What was taken for a repeat that no target got is there for the next one.
#[test]
fn repeat_that_was_not_sent_is_given_back() {
    let now = Duration::from_secs(20);
    for terms in [Some(TERMS), None] {
        let mut budgets = RetryBudgets::new(terms, BootTime::ZERO);
        budgets.set_routers(24, now);
        assert!(budgets.take(&orders(), now) && budgets.take(&orders(), now));
        assert!(!budgets.take(&orders(), now));
        budgets.give_back(&orders());
        assert!(budgets.take(&orders(), now));
        assert!(!budgets.take(&orders(), now));
    }
}
