//! What a router learns from replies about the load that services can take.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    AdmissionHint, AdmittedShares, BootTime, EntryAdmission, NodeId, RateHint, RunAdmission,
    ServiceName, WHOLE_SHARE,
};

const PRIORITY: u8 = 1;

fn ms(count: u64) -> BootTime {
    Duration::from_millis(count)
}

fn half() -> AdmittedShares {
    AdmittedShares::new([500; 4])
}

fn own(shares: AdmittedShares) -> AdmissionHint {
    AdmissionHint {
        own: Some(shares),
        ..AdmissionHint::default()
    }
}

fn call(shares: AdmittedShares) -> AdmissionHint {
    AdmissionHint {
        is_call: true,
        ..own(shares)
    }
}

/// Applies a hint twenty times, a tenth of a millisecond apart, from `router` of the service `bookings`.
fn apply(admission: &mut EntryAdmission, router: &str, route: &str, hint: &AdmissionHint) {
    let (service, router): (ServiceName, NodeId) = ("bookings".into(), router.into());
    let route: Arc<str> = route.into();
    for step in 0..20 {
        admission.apply_hint(&service, &route, &router, hint, ms(1_000 + step));
    }
}

fn run(admission: &mut EntryAdmission, count: u32) {
    for _ in 0..count {
        admission.on_run(RunAdmission {
            priority: PRIORITY,
            admitted: WHOLE_SHARE,
        });
    }
}

#[test]
fn unknown_service_admits_all() {
    let admission = EntryAdmission::default();
    assert!(admission.shares("bookings", None, ms(0)).is_all());
}

#[test]
fn shares_follow_the_replies() {
    let mut admission = EntryAdmission::default();
    apply(&mut admission, "b-1", "join", &own(half()));
    let share = admission
        .shares("bookings", None, ms(1_020))
        .share(PRIORITY);
    assert!((500..=520).contains(&share), "{share}");
    apply(&mut admission, "b-1", "join", &AdmissionHint::default());
    let share = admission
        .shares("bookings", None, ms(1_020))
        .share(PRIORITY);
    assert!(share >= 980, "{share}");
}

#[test]
fn shares_rise_again_without_news() {
    let mut admission = EntryAdmission::default();
    apply(
        &mut admission,
        "b-1",
        "join",
        &own(AdmittedShares::new([0; 4])),
    );
    let share_at = |at| admission.shares("bookings", None, ms(at)).share(PRIORITY);
    assert!(share_at(1_500) < 50);
    assert!((150..=550).contains(&share_at(2_200)));
    assert_eq!(share_at(4_000), WHOLE_SHARE);
}

#[test]
fn only_the_overloaded_owner_of_a_key_refuses() {
    let mut admission = EntryAdmission::default();
    apply(&mut admission, "b-1", "join", &own(half()));
    let at = ms(1_020);
    assert_eq!(admission.shares("bookings", Some("b-1"), at), half());
    assert!(admission.shares("bookings", Some("b-2"), at).is_all());
}

#[test]
fn service_called_by_most_runs_limits_them() {
    let mut admission = EntryAdmission::default();
    run(&mut admission, 20);
    apply(&mut admission, "b-1", "check", &call(half()));
    assert!(admission.is_call("check"));
    let share = admission.called_shares(ms(1_020)).share(PRIORITY);
    assert!((500..=520).contains(&share), "{share}");
    assert!(admission.shares("bookings", None, ms(1_020)).is_all());
}

#[test]
fn service_called_by_few_runs_does_not_limit_them() {
    let mut admission = EntryAdmission::default();
    run(&mut admission, 100);
    apply(&mut admission, "b-1", "check", &call(half()));
    assert!(admission.called_shares(ms(1_020)).is_all());
}

#[test]
fn draws_of_request_ids_are_even() {
    let draws = (0..10_000_u32).map(|id| AdmittedShares::draw(&format!("{:016x}", id * 77)));
    let below_half = draws.filter(|draw| *draw < 500).count();
    assert!((4_800..=5_200).contains(&below_half), "{below_half}");
}

#[test]
fn rate_limits_are_known_while_replies_name_them() {
    let mut admission = EntryAdmission::default();
    let now = ms(1_020);
    assert_eq!(admission.rate_limits("bookings", now), None);
    let limited = AdmissionHint {
        rate: Some(RateHint {
            shares: half(),
            interval: ms(125),
        }),
        ..AdmissionHint::default()
    };
    apply(&mut admission, "router-1", "join", &limited);
    let (shares, interval) = admission.rate_limits("bookings", now).unwrap();
    assert!((500..=600).contains(&shares.share(PRIORITY)), "{shares:?}");
    assert_eq!(interval, ms(125));
    // The slots themselves are free.
    assert!(admission.shares("bookings", None, now).is_all());
    apply(
        &mut admission,
        "router-1",
        "join",
        &AdmissionHint::default(),
    );
    apply(
        &mut admission,
        "router-1",
        "join",
        &AdmissionHint::default(),
    );
    assert_eq!(admission.rate_limits("bookings", now), None);
}
