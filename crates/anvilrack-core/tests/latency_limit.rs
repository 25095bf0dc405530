//! Adaptation of the concurrency limit to the measured latency, and fair shares.

use std::time::Duration;

use anvilrack_core::{BootTime, FairShare, LatencyLimit};

/// Records one latency per millisecond and returns the smallest and the last limit.
fn record_latencies(
    limit: &mut LatencyLimit,
    from_ms: u64,
    for_ms: u64,
    latency_ms: u64,
) -> (u32, u32) {
    let mut smallest = u32::MAX;
    for ms in from_ms..from_ms + for_ms {
        let now = BootTime::from_millis(ms);
        limit.record(Duration::from_millis(latency_ms), true, now);
        smallest = smallest.min(limit.limit());
    }
    (smallest, limit.limit())
}

macro_rules! limit_cases {
    ($($name:ident: $before:literal ms then $after:literal ms for $time:literal ms => $smallest:literal, $last:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut limit = LatencyLimit::new(12);
                record_latencies(&mut limit, 0, 2_000, $before);
                let seen = record_latencies(&mut limit, 2_000, $time, $after);
                assert_eq!(seen, ($smallest, $last));
            }
        )*
    };
}

limit_cases! {
    steady_latency_keeps_the_slots: 5 ms then 5 ms for 3000 ms => 12, 12;
    small_growth_is_tolerated: 5 ms then 9 ms for 3000 ms => 12, 12;
    large_growth_lowers_the_limit_to_its_minimum: 5 ms then 50 ms for 900 ms => 3, 3;
    growth_not_caused_by_load_restores_the_slots: 5 ms then 50 ms for 2500 ms => 3, 12;
}

#[test]
fn growth_caused_by_load_keeps_the_limit_low() {
    let mut limit = LatencyLimit::new(12);
    record_latencies(&mut limit, 0, 2_000, 5);
    let mut ms_above_seven = 0;
    for ms in 2_000..12_000 {
        let latency = if limit.limit() > 6 { 50 } else { 5 };
        record_latencies(&mut limit, ms, 1, latency);
        ms_above_seven += u32::from(limit.limit() > 7);
    }
    // The limit rises above seven from time to time, but for less than a fifth of the time.
    assert!(
        ms_above_seven < 2_000,
        "the limit was above seven for {ms_above_seven} ms"
    );
}

#[test]
fn fixed_limit_ignores_latency() {
    let mut limit = LatencyLimit::new(12).with_fixed_limit();
    record_latencies(&mut limit, 0, 1_000, 5);
    assert_eq!(record_latencies(&mut limit, 1_000, 1_000, 500), (12, 12));
}

macro_rules! share_cases {
    ($($name:ident: $holders:literal holders of $places:literal => $each:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let mut share = FairShare::new($places);
                let names: Vec<_> = (0..$holders).map(|n| format!("caller-{n}").into()).collect();
                for _ in 0..$places {
                    for name in &names {
                        share.try_acquire(name);
                    }
                }
                for name in &names {
                    assert_eq!(share.held(name), $each);
                }
                assert!(share.try_acquire(&"newcomer".into()));
            }
        )*
    };
}

share_cases! {
    single_holder_leaves_a_third: 1 holders of 120 => 80;
    two_holders_get_two_fifths_each: 2 holders of 100 => 40;
    seven_holders_leave_free_capacity: 7 holders of 150 => 20;
}
