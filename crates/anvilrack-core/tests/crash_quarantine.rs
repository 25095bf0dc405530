//! Quarantine of requests that crash targets, and the exchange of crash observations between routers.

use std::time::Duration;

use anvilrack_core::{BootTime, CrashQuarantine};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

const CRASHING_REQUEST: u64 = 7;

fn at(seconds: u64) -> BootTime {
    Duration::from_secs(1_000 + seconds)
}

#[test]
fn second_crash_quarantines_the_request_for_a_bounded_time() {
    let mut quarantine = CrashQuarantine::new("router-1/1");
    assert_eq!(quarantine.on_crash(CRASHING_REQUEST, at(0), at(1)), 1);
    assert_eq!(
        quarantine.remaining_quarantine(CRASHING_REQUEST, at(1)),
        None
    );
    assert_eq!(quarantine.on_crash(CRASHING_REQUEST, at(5), at(6)), 2);
    assert_eq!(
        quarantine.remaining_quarantine(CRASHING_REQUEST, at(6)),
        Some(Duration::from_mins(2))
    );
    assert_eq!(
        quarantine.remaining_quarantine(CRASHING_REQUEST, at(125)),
        Some(Duration::from_secs(1))
    );
    assert_eq!(
        quarantine.remaining_quarantine(CRASHING_REQUEST, at(126)),
        None
    );
    assert_eq!(quarantine.remaining_quarantine(8, at(6)), None);
}

#[test]
fn one_crash_counts_once_however_many_requests_it_interrupts() {
    let mut quarantine = CrashQuarantine::new("router-1/1");
    for started_at in [0, 3, 9, 10] {
        assert_eq!(
            quarantine.on_crash(CRASHING_REQUEST, at(started_at), at(10)),
            1
        );
    }
    assert_eq!(quarantine.on_crash(CRASHING_REQUEST, at(11), at(12)), 2);
}

/// What routers keep in the store for their restarts; a request at a single crash is not part of it.
#[test]
fn crashes_of_quarantined_requests_are_told_apart() {
    let [mut first, mut second] = ["router-1/1", "router-2/1"].map(CrashQuarantine::new);
    first.on_crash(CRASHING_REQUEST, at(0), at(1));
    second.on_crash(CRASHING_REQUEST, at(2), at(3));
    second.on_crash(8, at(2), at(3));
    assert_eq!(second.quarantined_crashes(at(3)), []);
    second.merge(&first.report(0, at(3)), at(3));
    let quarantined = second.quarantined_crashes(at(3));
    let requests: Vec<_> = quarantined.iter().map(|o| o.request).collect();
    assert_eq!(requests, [CRASHING_REQUEST; 2]);
    let detected = second.detected_quarantined_crashes(at(3));
    assert_eq!(detected, quarantined[..1]);
    assert!(second.on_completed(CRASHING_REQUEST));
    assert_eq!(second.quarantined_crashes(at(4)), []);
}

/// A crashing request is resent every minute, and runs whenever it is not quarantined.
#[test]
fn request_resent_for_sixty_hours_crashes_at_most_seven_targets() {
    let mut quarantine = CrashQuarantine::new("router-1/1");
    let mut crashes = 0;
    for minute in 0..60 * 60 {
        let now = at(minute * 60);
        if quarantine
            .remaining_quarantine(CRASHING_REQUEST, now)
            .is_none()
        {
            quarantine.on_crash(CRASHING_REQUEST, now, now + Duration::from_secs(1));
            crashes += 1;
        }
        assert!(minute > 1 || crashes <= 2);
    }
    assert!(crashes <= 7, "{crashes} crashes");
}

macro_rules! convergence_cases {
    ($($name:ident: seed $seed:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_reports_converge($seed);
            }
        )*
    };
}

convergence_cases! {
    reports_converge_in_any_order_a: seed 3;
    reports_converge_in_any_order_b: seed 5;
    reports_converge_in_any_order_c: seed 9;
}

fn assert_reports_converge(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let names = ["a", "b", "c", "d"];
    let mut routers: Vec<_> = names
        .iter()
        .map(|name| CrashQuarantine::new(name))
        .collect();
    routers[0].on_crash(CRASHING_REQUEST, at(0), at(1));
    routers[1].on_crash(CRASHING_REQUEST, at(2), at(3));
    routers[2].on_crash(random.random(), at(2), at(3));
    let mut pairs: Vec<_> = (0..4).flat_map(|a| (0..4).map(move |b| (a, b))).collect();
    for _ in 0..3 {
        pairs.shuffle(&mut random);
        for (from, to) in pairs.iter().filter(|(from, to)| from != to) {
            let report = routers[*from].report(routers[*to].digest(), at(4));
            routers[*to].merge(&report, at(4));
        }
    }
    for router in &routers {
        assert_eq!(router.digest(), routers[0].digest());
        assert_eq!(router.report(routers[0].digest(), at(4)).marks, vec![]);
        assert_eq!(
            router.remaining_quarantine(CRASHING_REQUEST, at(4)),
            Some(Duration::from_secs(119))
        );
    }
}

#[test]
fn stored_and_reported_observations_are_bounded() {
    let mut quarantine = CrashQuarantine::new("router-1/1");
    for request in 0..5_000 {
        quarantine.on_crash(request, at(request), at(request) + Duration::from_millis(1));
    }
    let report = quarantine.report(0, at(5_000));
    assert_eq!(report.marks.len(), 128);
    assert!(report.marks.iter().all(|mark| mark.request >= 5_000 - 128));
    let mut other = CrashQuarantine::new("router-2/1");
    for round in 0..50 {
        other.merge(&quarantine.report(round, at(5_000)), at(5_000));
    }
    assert_eq!(other.report(0, at(5_000)).marks.len(), 128);
}

/// A read of a hot key that was present at two crashes was refused for two minutes, although other routers ran it
/// meanwhile.
#[test]
fn completed_runs_end_the_quarantine_and_then_the_suspicion() {
    let mut quarantine = CrashQuarantine::new("router-1/1");
    assert!(!quarantine.on_completed(CRASHING_REQUEST));
    quarantine.on_crash(CRASHING_REQUEST, at(0), at(1));
    quarantine.on_crash(CRASHING_REQUEST, at(5), at(6));
    assert!(quarantine.on_completed(CRASHING_REQUEST));
    assert_eq!(
        quarantine.remaining_quarantine(CRASHING_REQUEST, at(6)),
        None
    );
    assert!(quarantine.is_suspect(CRASHING_REQUEST));
    assert!(quarantine.on_completed(CRASHING_REQUEST));
    assert!(!quarantine.is_suspect(CRASHING_REQUEST));
    assert_eq!(quarantine.on_crash(CRASHING_REQUEST, at(9), at(10)), 1);
}

#[test]
fn disproved_crashes_stay_disproved_in_any_order_of_reports() {
    let mut routers = ["a", "b", "c"].map(CrashQuarantine::new);
    routers[0].on_crash(CRASHING_REQUEST, at(0), at(1));
    let suspicion = routers[0].report(0, at(2));
    routers[1].merge(&suspicion, at(2));
    assert!(routers[1].on_completed(CRASHING_REQUEST));
    let acquittal = routers[1].report(0, at(3));
    for reports in [[&suspicion, &acquittal], [&acquittal, &suspicion]] {
        let mut router = routers[2].clone();
        for report in reports {
            router.merge(report, at(4));
        }
        assert!(!router.is_suspect(CRASHING_REQUEST));
        assert_eq!(router.digest(), routers[1].digest());
    }
}

#[test]
fn disproved_crashes_make_way_for_others() {
    let mut quarantine = CrashQuarantine::new("router-1/1");
    for time in [0, 10] {
        quarantine.on_crash(CRASHING_REQUEST, at(time), at(time + 1));
    }
    for request in 100..2_000 {
        quarantine.on_crash(request, at(20), at(21));
        quarantine.on_completed(request);
    }
    assert!(
        quarantine
            .remaining_quarantine(CRASHING_REQUEST, at(30))
            .is_some()
    );
}

#[test]
fn recent_report_leaves_out_older_crashes() {
    let mut quarantine = CrashQuarantine::new("router-1/1");
    quarantine.on_crash(1, at(0), at(1));
    quarantine.on_crash(2, at(50), at(51));
    let report = quarantine.recent_report(Duration::from_secs(10), at(52));
    let requests: Vec<_> = report.marks.iter().map(|mark| mark.request).collect();
    assert_eq!(requests, [2]);
}
