//! Shares of new requests that a target admits, from the demand of the last second.

use std::time::Duration;

use anvilrack_core::{
    AdmittedShares, BootTime, DemandMeter, OfferedRequest, RunAdmission, ShareMilli, WHOLE_SHARE,
};

const SLOTS: u32 = 4;

/// Requests of one priority that arrive evenly.
#[derive(Clone, Copy)]
struct OfferedLoad {
    priority: u8,
    per_s: u32,
    work: Duration,
    admitted: ShareMilli,
    is_call: bool,
}

fn load(priority: u8, per_s: u32, work_ms: u64) -> OfferedLoad {
    OfferedLoad {
        priority,
        per_s,
        work: ms(work_ms),
        admitted: WHOLE_SHARE,
        is_call: false,
    }
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn record(meter: &mut DemandMeter, loads: &[OfferedLoad], from: BootTime, length: Duration) {
    for step in 0..u32::try_from(length.as_millis()).unwrap() {
        for load in loads {
            for _ in step * load.per_s / 1_000..(step + 1) * load.per_s / 1_000 {
                let request = OfferedRequest {
                    work: load.work,
                    admission: RunAdmission {
                        priority: load.priority,
                        admitted: load.admitted,
                    },
                    is_call: load.is_call,
                };
                meter.record(&request, from + ms(step.into()));
            }
        }
    }
}

/// Returns the shares after two seconds of the loads.
fn shares_under(loads: &[OfferedLoad]) -> AdmittedShares {
    let mut meter = DemandMeter::default();
    record(&mut meter, loads, ms(0), ms(2_000));
    meter.shares(SLOTS, ms(2_000))
}

macro_rules! shares {
    ($($name:ident: $loads:expr => |$shares:ident| $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let $shares = shares_under(&$loads);
                assert!($expected, "{:?}", $shares);
            }
        )*
    };
}

shares! {
    load_below_the_slots_is_admitted: [load(1, 35, 100)] => |shares| shares.is_all();
    twice_the_slots_is_halved: [load(1, 80, 100)]
        => |shares| (450..=550).contains(&shares.share(1));
    more_urgent_requests_go_first: [load(0, 30, 100), load(1, 30, 100)]
        => |shares| shares.share(0) == WHOLE_SHARE && (280..=380).contains(&shares.share(1));
    cheap_requests_do_not_pass_urgent_ones: [load(1, 40, 100), load(2, 200, 10)]
        => |shares| shares.share(1) > shares.share(2) && shares.share(2) >= 600;
    requests_refused_on_their_way_count: [OfferedLoad { admitted: 250, ..load(1, 20, 100) }]
        => |shares| (450..=550).contains(&shares.share(1));
    some_requests_of_each_priority_are_always_admitted: [load(0, 400, 100), load(3, 40, 100)]
        => |shares| shares.share(3) > 0;
}

#[test]
fn burst_is_answered_within_a_second_and_forgotten_within_two() {
    let mut meter = DemandMeter::default();
    let calm = [load(1, 30, 100)];
    record(&mut meter, &calm, ms(0), ms(2_000));
    assert!(meter.shares(SLOTS, ms(2_000)).is_all());
    record(&mut meter, &[load(1, 60, 100)], ms(2_000), ms(1_000));
    assert!(meter.shares(SLOTS, ms(3_000)).share(1) < 800);
    record(&mut meter, &calm, ms(3_000), ms(1_900));
    assert!(meter.shares(SLOTS, ms(4_900)).is_all());
}

#[test]
fn first_requests_after_a_start_are_admitted() {
    let mut meter = DemandMeter::default();
    record(&mut meter, &[load(1, 400, 100)], ms(0), ms(300));
    assert!(meter.shares(SLOTS, ms(300)).is_all());
}

#[test]
fn share_of_calls_is_measured_by_work() {
    let mut meter = DemandMeter::default();
    let calls = OfferedLoad {
        is_call: true,
        ..load(1, 100, 10)
    };
    record(&mut meter, &[calls, load(1, 10, 100)], ms(0), ms(1_000));
    assert!((45..=55).contains(&meter.call_share_percent(ms(1_000))));
}

/// A limit on the number of requests holds however short they are.
#[test]
fn rate_shares_depend_on_the_number_of_requests() {
    let mut meter = DemandMeter::default();
    record(&mut meter, &[load(1, 100, 1)], ms(0), ms(1_000));
    assert!(meter.shares(SLOTS, ms(1_000)).is_all());
    assert!(meter.rate_shares(120.0, ms(1_000)).is_all());
    let share = meter.rate_shares(25.0, ms(1_000)).share(1);
    assert!((230..=270).contains(&share), "{share}");
    let smallest = meter.rate_shares(0.0, ms(1_000)).share(1);
    assert!(smallest > 0, "no request would tell that the limit is gone");
    assert!(meter.rate_shares(1e9, ms(1_000)).is_all());
}

#[test]
fn urgent_requests_get_the_larger_share_of_a_limited_rate() {
    let mut meter = DemandMeter::default();
    record(
        &mut meter,
        &[load(0, 50, 1), load(3, 50, 1)],
        ms(0),
        ms(1_000),
    );
    let shares = meter.rate_shares(60.0, ms(1_000));
    assert!(shares.share(0) > 950 && shares.share(3) < 300, "{shares:?}");
}
