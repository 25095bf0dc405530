//! The limit on requests that a target names: what it lets through, whom it sends away for how long, and when it ends.

use std::time::Duration;

use anvilrack_core::{BootTime, RateLimiter};

/// Window in which the requests to a target are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn at(ms: u64) -> BootTime {
    Duration::from_secs(1_000) + Duration::from_millis(ms)
}

/// Requests that a target may get in a window if it names this limit.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

macro_rules! rate_cases {
    ($($name:ident: limit $limit:literal, calls $calls:literal, at least $min:literal a second;)*) => {
        $(
            #[test]
            fn $name() {
                assert_rate_is_kept($limit, $calls, $min);
            }
        )*
    };
}

// One in `calls` requests is a call of another target.
rate_cases! {
    limit_of_six_is_kept: limit 6.0, calls 1_000_000, at least 5.5 a second;
    limit_of_six_is_kept_for_calls: limit 6.0, calls 1, at least 5.5 a second;
    limit_of_six_is_kept_for_a_mixture: limit 6.0, calls 3, at least 5.5 a second;
    limit_below_one_is_kept: limit 0.5, calls 1_000_000, at least 0.4 a second;
    limit_of_zero_is_kept: limit 0.0, calls 1, at least 0.2 a second;
    large_limit_is_kept: limit 150.0, calls 3, at least 140.0 a second;
    limit_beyond_the_demand_refuses_nothing: limit 1e20, calls 3, at least 199.0 a second;
}

/// Offers 200 requests a second for a minute.
fn assert_rate_is_kept(limit: f64, calls: u64, min_rate: f64) {
    let mut limiter = RateLimiter::default();
    let mut sent = Vec::new();
    for number in 0..60 * 200 {
        let now = at(number * 5);
        limiter.on_response(Some(limit), now);
        if limiter.take(number % calls == 0, now).is_ok() {
            sent.push(now);
        }
    }
    for (first, start) in sent.iter().enumerate() {
        let in_window = sent[first..].iter().take_while(|at| **at < *start + WINDOW);
        let count = in_window.count() as f64;
        assert!(
            count <= allowed(limit),
            "{count} requests, {} allowed",
            allowed(limit)
        );
    }
    let rate = sent.len() as f64 / 60.0;
    assert!(rate >= min_rate, "{rate} requests a second");
}

#[test]
fn calls_go_before_new_requests() {
    let mut limiter = RateLimiter::default();
    limiter.on_response(Some(4.0), at(0));
    assert!(limiter.take(false, at(0)).is_ok());
    assert!(limiter.take(false, at(0)).is_err());
    assert!(limiter.take(true, at(0)).is_ok());
    // The call has taken the token of the next request.
    assert!(limiter.take(false, at(250)).is_err());
    assert!(limiter.take(false, at(500)).is_ok());
}

#[test]
fn refused_requests_are_told_to_return_one_after_the_other() {
    let mut limiter = RateLimiter::default();
    limiter.on_response(Some(4.0), at(0));
    assert!(limiter.take(false, at(0)).is_ok());
    let waits: Vec<u128> = (0..3)
        .map(|_| limiter.take(false, at(0)).unwrap_err().as_millis())
        .collect();
    assert_eq!(waits, [250, 500, 750]);
    let longest = (0..100)
        .map(|_| limiter.take(false, at(0)).unwrap_err())
        .max();
    assert_eq!(longest, Some(Duration::from_secs(2)));
}

/// A response that named no limit had overtaken others, and the target got everything again.
#[test]
fn limit_ends_only_after_half_a_second_without_it() {
    let mut limiter = RateLimiter::default();
    assert!(limiter.on_response(Some(1.0), at(0)));
    assert!(!limiter.on_response(None, at(100)));
    assert!(!limiter.on_response(Some(1.0), at(400)));
    assert!(!limiter.on_response(None, at(800)));
    assert_eq!(limiter.rate(), Some(1.0));
    assert!(limiter.on_response(None, at(900)));
    assert_eq!(limiter.rate(), None);
    assert!(limiter.take(false, at(900)).is_ok());
}

#[test]
fn limit_that_changes_in_each_response_gives_no_extra_requests() {
    let mut limiter = RateLimiter::default();
    let mut sent = 0;
    for number in 0..4_000 {
        let limit = if number % 2 == 0 { 2.0 } else { 6.0 };
        limiter.on_response(Some(limit), at(number));
        sent += u32::from(limiter.take(false, at(number)).is_ok());
    }
    assert!(f64::from(sent) <= allowed(4.0), "{sent} requests");
}
