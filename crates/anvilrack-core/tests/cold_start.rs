//! Requests to a cold target: no window of a second may have more than the target tolerates, whatever happens.

use std::time::Duration;

use anvilrack_core::{BootTime, ColdRules, RateLimiter, RoutedService};

const WINDOW: Duration = Duration::from_secs(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(time: u64) -> BootTime {
    Duration::from_secs(1_000) + ms(time)
}

fn rules(rate: f64) -> Option<ColdRules> {
    ColdRules::of(&RoutedService {
        cold_rate: Some(rate),
        cold_start: ms(3_000),
        ..RoutedService::default()
    })
}

/// Requests that a cold target tolerates in any second.
fn tolerated(rate: f64) -> f64 {
    rate * 1.5 + 8.0
}

/// Requests in any second that the limiter aims at: the rate and a few.
fn intended(rate: f64) -> f64 {
    rate + 5.0
}

/// A limiter that has known its service and a warm target for long.
fn warm_limiter(rate: f64) -> RateLimiter {
    let mut limiter = RateLimiter::default();
    limiter
        .cold_mut()
        .set_rules(rules(rate), Duration::from_secs(990));
    limiter.on_new_incarnation(Some(Duration::ZERO), Duration::from_secs(990));
    limiter
}

/// What happens at a target at some time, in milliseconds.
#[derive(Clone, Copy)]
enum Happening {
    /// A notification with the remaining time.
    Report(u64),
    /// A new incarnation whose first notification states the remaining time.
    Start(Option<u64>),
    /// The router restarts, and learns the site document and the state of the target 100 ms later.
    RouterRestart(u64),
    /// The target names a limit in a response.
    Limit(f64),
    /// The target is expected to be cold.
    Expect,
}

/// Offers requests through the happenings, and returns the times of those that were sent.
///
/// One in `calls` requests is a call of another target. Notifications repeat what was said every 870 ms.
fn run_schedule(
    rate: f64,
    (per_s, calls): (u64, u64),
    schedule: &[(u64, Happening)],
    end: u64,
) -> Vec<u64> {
    let mut limiter = warm_limiter(rate);
    let mut cold_until = 0;
    let mut sent = Vec::new();
    let mut blind_until = 0;
    let mut next = schedule.iter().peekable();
    for number in 0..end * per_s / 1_000 {
        let time = number * 1_000 / per_s;
        let now = at(time);
        while let Some((_, happening)) = next.next_if(|(at, _)| *at <= time) {
            match *happening {
                Happening::Report(left) => cold_until = time + left,
                Happening::Start(left) => {
                    cold_until = time + left.unwrap_or(3_000);
                    limiter.on_new_incarnation(left.map(ms), now);
                }
                Happening::RouterRestart(left) => {
                    limiter = RateLimiter::default();
                    blind_until = time + 100;
                    cold_until = time + left;
                }
                Happening::Limit(named) => _ = limiter.on_response(Some(named), now),
                Happening::Expect => limiter.cold_mut().expect_cold(now),
            }
            if matches!(happening, Happening::Report(_)) {
                limiter.cold_mut().on_report(ms(cold_until - time), now);
            }
        }
        if blind_until > 0 && time >= blind_until {
            blind_until = 0;
            limiter.cold_mut().set_rules(rules(rate), now);
            let left = ms(cold_until.saturating_sub(time));
            limiter.on_new_incarnation(Some(left), now);
        }
        let is_reported = number.is_multiple_of((870 * per_s / 1_000).max(1));
        // Nothing is reported once the target is expected to be cold.
        let is_expected = schedule.iter().any(|(at, happening)| {
            *at <= time && matches!(happening, Happening::Expect | Happening::Start(None))
        });
        if is_reported && blind_until == 0 && !is_expected {
            let left = ms(cold_until.saturating_sub(time));
            limiter.cold_mut().on_report(left, now);
        }
        if blind_until == 0 && limiter.take(number.is_multiple_of(calls), now).is_ok() {
            sent.push(time);
        }
    }
    sent
}

/// Returns the largest number of requests in any second that begins at `from` or later and before `to`.
fn most_in_window(sent: &[u64], from: u64, to: u64) -> f64 {
    let starts = sent.iter().filter(|at| (from..to).contains(*at));
    let window = |start: &u64| *start..*start + 1_000;
    let counts = starts.map(|start| sent.iter().filter(|at| window(start).contains(*at)).count());
    counts.max().unwrap_or(0) as f64
}

macro_rules! schedules {
    ($($name:ident: $schedule:expr, cold from $from:literal to $to:literal, most $most:expr;)*) => {
        $(
            /// Guards against a second with more requests than a cold target tolerates, over usual rates and
            /// demands, with and without calls.
            #[test]
            fn $name() {
                for rate in [0.5, 1.0, 7.8, 11.0, 40.0] {
                    for demand in [(50, 1_000_000), (200, 1_000_000), (200, 3), (500, 1)] {
                        let sent = run_schedule(rate, demand, &$schedule, 15_000);
                        let most = most_in_window(&sent, $from, $to);
                        let max: fn(f64) -> f64 = $most;
                        assert!(most <= max(rate), "{most} at {rate} a second of {demand:?}");
                        assert!(max(rate) <= tolerated(rate));
                    }
                }
            }
        )*
    };
}

// The windows that count begin when the router learns that the target is cold, and before it becomes warm.
schedules! {
    cold_at_start_is_kept_at_the_rate: [(0, Happening::Start(Some(3_000)))], cold from 0 to 3_000, most |rate| intended(rate).min(tolerated(rate));
    start_without_a_statement_is_kept_at_the_rate: [(2_000, Happening::Start(None))], cold from 2_000 to 5_000, most |rate| intended(rate).min(tolerated(rate));
    cold_again_after_warm_is_kept_at_the_rate: [(0, Happening::Start(Some(2_000))), (4_000, Happening::Report(3_000)), (8_000, Happening::Report(2_000)), (11_500, Happening::Report(1_000))], cold from 8_000 to 10_000, most |rate| intended(rate).min(tolerated(rate));
    remaining_time_that_rises_is_kept_at_the_rate: [(1_000, Happening::Report(500)), (1_400, Happening::Report(4_000))], cold from 1_000 to 5_400, most |rate| intended(rate).min(tolerated(rate));
    named_limit_at_the_same_time_does_not_add_up: [(1_000, Happening::Report(6_000)), (1_500, Happening::Limit(6.0)), (3_000, Happening::Limit(150.0))], cold from 1_000 to 7_000, most |rate| intended(rate).min(tolerated(rate));
    expected_cold_is_kept_at_the_rate: [(1_000, Happening::Expect)], cold from 1_000 to 3_000, most |rate| intended(rate).min(tolerated(rate));
    router_restart_grants_no_burst: [(0, Happening::Start(Some(9_000))), (4_000, Happening::RouterRestart(5_000)), (4_300, Happening::RouterRestart(4_700))], cold from 0 to 9_000, most |rate| intended(rate).min(tolerated(rate));
    router_restart_beside_a_target_that_becomes_cold: [(4_000, Happening::RouterRestart(5_000))], cold from 4_000 to 9_000, most |rate| intended(rate).min(tolerated(rate));
}

/// A target that was found cold under load got a full second of its cold rate on top of what was under way.
#[test]
fn target_that_becomes_cold_under_load_gets_nothing_for_a_second() {
    let sent = run_schedule(
        7.8,
        (100, 1_000_000),
        &[(5_005, Happening::Report(3_000))],
        9_000,
    );
    let during = |from: u64, to: u64| sent.iter().filter(|at| (from..to).contains(*at)).count();
    assert_eq!(during(4_000, 5_000), 100);
    assert_eq!(during(5_010, 5_990), 0);
    assert!(
        (6..=13).contains(&during(6_100, 7_100)),
        "{}",
        during(6_100, 7_100)
    );
}

/// The few requests of the second before count too, no more and no less.
#[test]
fn requests_from_before_the_target_became_cold_count() {
    let sent = run_schedule(
        11.0,
        (8, 1_000_000),
        &[(5_000, Happening::Report(3_000))],
        9_000,
    );
    // Eight a second are below the rate, so none is refused.
    assert_eq!(sent.len(), 72);
}

/// A limit that uses little of the rate refuses requests that the target could serve.
#[test]
fn nearly_the_whole_rate_is_used() {
    for (rate, min) in [(7.8, 7.2), (11.0, 10.2), (40.0, 37.0)] {
        let sent = run_schedule(rate, (100, 4), &[(0, Happening::Report(60_000))], 30_000);
        let used = sent.iter().filter(|at| **at >= 2_000).count() as f64 / 28.0;
        assert!(
            (min..=rate + 0.3).contains(&used),
            "{used} of {rate} a second"
        );
    }
}

/// Guards against a warm target that stays limited, and against a second partly cold that has too many.
#[test]
fn limit_ends_a_second_after_the_target_is_warm() {
    for early in [Some(2_000), None] {
        let mut schedule = vec![(0, Happening::Start(Some(3_000)))];
        schedule.extend(early.map(|at| (at, Happening::Report(0))));
        let warm_at = early.unwrap_or(3_000);
        let sent = run_schedule(7.8, (100, 1_000_000), &schedule, 6_000);
        let most = most_in_window(&sent, 0, warm_at);
        assert!(most <= intended(7.8), "{most}");
        let after = sent
            .iter()
            .filter(|at| (warm_at + 1_020..warm_at + 2_020).contains(*at));
        assert!(after.count() >= 98);
    }
}

/// Guards against a first burst of many routers at a target that has just come back.
#[test]
fn many_senders_at_once_do_not_exceed_the_rate() {
    let mut limiter = warm_limiter(7.8);
    limiter.on_new_incarnation(Some(ms(3_000)), at(0));
    let results: Vec<_> = (0..80).map(|_| limiter.take(false, at(5))).collect();
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 2);
    // Those that are refused return one after the other, at the rate.
    let waits: Vec<_> = results.iter().filter_map(|result| result.err()).collect();
    assert_eq!(waits[0].as_millis(), 128);
    assert_eq!(waits[1].as_millis(), 256);
    assert_eq!(waits.iter().max(), Some(&ms(2_000)));
}

/// Guards against a silent target, which may have become cold, that gets its usual load, and against one
/// that never reports and stays limited.
#[test]
fn silent_target_counts_as_cold_if_it_used_to_report() {
    let mut limiter = warm_limiter(7.8);
    limiter.cold_mut().on_report(Duration::ZERO, at(0));
    assert_eq!(limiter.rate_in_force(at(1_800)), None);
    assert_eq!(limiter.rate_in_force(at(2_300)), Some(7.8));
    limiter.cold_mut().on_report(Duration::ZERO, at(2_400));
    assert_eq!(limiter.rate_in_force(at(2_400)), None);
    limiter.cold_mut().on_unstated_check();
    assert_eq!(limiter.rate_in_force(at(60_000)), None);
}

/// A target that is expected to be cold and never reports must not stay limited for good.
#[test]
fn expectation_ends_without_a_report() {
    let mut limiter = warm_limiter(7.8);
    limiter.on_new_incarnation(None, at(0));
    limiter.cold_mut().expect_cold(at(10_000));
    assert_eq!(limiter.rate_in_force(at(12_900)), Some(7.8));
    assert_eq!(limiter.rate_in_force(at(13_100)), None);
}

/// A service without a limit on cold targets must be served as before, and a cold target is spared until the
/// site document tells.
#[test]
fn service_without_a_cold_rate_is_not_limited() {
    let mut limiter = RateLimiter::default();
    limiter.on_new_incarnation(Some(ms(3_000)), at(0));
    assert!(limiter.take(false, at(0)).is_err());
    limiter.cold_mut().set_rules(None, at(10));
    limiter.cold_mut().expect_cold(at(20));
    for number in 0..1_000 {
        assert!(limiter.take(false, at(20 + number)).is_ok());
    }
    assert_eq!(limiter.cold().remaining(at(100)), Duration::ZERO);
    assert_eq!(limiter.rate_in_force(at(100_000)), None);
}

/// The smaller of both limits is in force.
#[test]
fn smaller_limit_is_in_force() {
    let mut limiter = warm_limiter(7.8);
    limiter.cold_mut().on_report(ms(3_000), at(0));
    limiter.on_response(Some(20.0), at(0));
    assert_eq!(limiter.rate_in_force(at(0)), Some(7.8));
    limiter.on_response(Some(3.0), at(0));
    assert_eq!(limiter.rate_in_force(at(0)), Some(3.0));
    assert_eq!(limiter.rate_in_force(at(0) + WINDOW * 60), Some(3.0));
}
