//! What a router keeps of targets that are leaving, when it acknowledges them, and when the next process uses a target.

use std::collections::BTreeSet;
use std::time::Duration;

use anvilrack_core::{
    DEPARTURE_RETENTION, DepartureKeeper, DepartureLog, DepartureReading, DepartureReceipt,
    KeptDepartures, MAX_DEPARTURES, ReadingSource, ReadingStep, ReceiptStep, TargetDeparture,
    departure_keepers,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn departure(id: &str, started_ms: Option<u64>) -> TargetDeparture {
    TargetDeparture {
        id: id.into(),
        started_ms,
        noted_ms: 1_000,
    }
}

#[test]
fn departure_is_that_of_one_incarnation() {
    let mut log = DepartureLog::default();
    assert_eq!(log.insert(departure("a", Some(10)), at(500)), 1);
    assert_eq!(log.insert(departure("a", Some(10)), at(900)), 1, "known");
    assert_eq!(log.leaving_since("a", 10, at(1_000)), Some(at(500)));
    assert_eq!(log.leaving_since("a", 20, at(1_000)), None);
    assert_eq!(log.leaving_since("b", 10, at(1_000)), None);
}

/// A target that had started again under its id, with its clock set back, stayed unused because of a departure without a
/// start.
#[test]
fn departure_without_a_start_is_that_of_earlier_starts_for_a_while() {
    let mut log = DepartureLog::default();
    log.insert(departure("a", None), at(0));
    assert!(log.leaving_since("a", 999, at(1_000)).is_some());
    assert_eq!(log.leaving_since("a", 1_001, at(1_000)), None);
    assert_eq!(log.leaving_since("a", 999, at(60_000)), None);
}

#[test]
fn departures_are_bounded_and_forgotten() {
    let mut log = DepartureLog::default();
    for start in 0..100 {
        log.insert(departure("a", Some(start)), at(start));
    }
    assert_eq!(log.departures().len(), MAX_DEPARTURES);
    assert!(log.leaving_since("a", 99, at(200)).is_some());
    log.forget_old(at(100) + DEPARTURE_RETENTION);
    assert!(log.departures().is_empty());
}

#[test]
fn departures_of_a_former_process_need_no_new_write_if_the_store_has_them() {
    let mut log = DepartureLog::default();
    assert_eq!(log.merge_stored(&[departure("a", Some(10))], at(0)), 1);
    assert_eq!(log.version(), 0);
    assert_eq!(log.merge_kept(&[departure("b", Some(20))], at(0)), 1);
    assert_eq!(log.version(), 1, "only other routers have it");
    assert_eq!(log.version_of("a", 10, at(0)), Some(0));
    assert_eq!(log.version_of("b", 20, at(0)), Some(1));
}

/// Describes what is known when a receipt is asked for version 2.
struct ReceiptCase {
    stored: u64,
    not_stored: u64,
    /// Version that routers were asked to keep, how many confirmed it, and how many were asked.
    kept: (u64, usize, usize),
    waited_ms: u64,
    expected: ReceiptStep,
}

macro_rules! receipts {
    ($($name:ident: stored $stored:literal, not stored $not_stored:literal, kept $kept:expr, after $waited:literal ms => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_receipt(&ReceiptCase {
                stored: $stored,
                not_stored: $not_stored,
                kept: $kept,
                waited_ms: $waited,
                expected: $expected,
            });
        }
    )*};
}

fn assert_receipt(case: &ReceiptCase) {
    let mut receipt = DepartureReceipt::default();
    receipt.on_stored(case.stored);
    receipt.on_not_stored(case.not_stored);
    let (version, confirmed, asked) = case.kept;
    receipt.on_kept(version, confirmed, asked);
    assert_eq!(receipt.step(2, at(case.waited_ms)), case.expected);
}

receipts! {
    departure_in_the_store_is_acknowledged:
        stored 2, not stored 0, kept (0, 0, 0), after 5 ms => ReceiptStep::Acknowledge(DepartureKeeper::Store);
    earlier_departure_in_the_store_is_not_this_one:
        stored 1, not stored 0, kept (0, 0, 0), after 100 ms => ReceiptStep::Wait(at(200));
    store_is_waited_for_although_routers_keep_the_departure:
        stored 1, not stored 1, kept (2, 4, 4), after 100 ms => ReceiptStep::Wait(at(200));
    routers_suffice_if_the_store_is_slow:
        stored 1, not stored 0, kept (2, 2, 4), after 300 ms => ReceiptStep::Acknowledge(DepartureKeeper::Routers);
    routers_suffice_at_once_if_the_store_fails:
        stored 1, not stored 2, kept (2, 2, 4), after 5 ms => ReceiptStep::Acknowledge(DepartureKeeper::Routers);
    one_router_of_several_does_not_suffice:
        stored 1, not stored 2, kept (2, 1, 4), after 400 ms => ReceiptStep::Wait(at(350));
    only_other_router_suffices:
        stored 1, not stored 2, kept (2, 1, 1), after 400 ms => ReceiptStep::Acknowledge(DepartureKeeper::Routers);
    departure_that_nobody_keeps_is_not_acknowledged:
        stored 1, not stored 2, kept (2, 0, 0), after 750 ms => ReceiptStep::Refuse;
}

#[test]
fn restored_store_has_no_departures() {
    let mut receipt = DepartureReceipt::default();
    receipt.on_stored(3);
    receipt.on_store_restored();
    assert!(!receipt.is_stored(1));
}

/// Describes what a router that started at 10 s has learned when it is asked whether it may use its target.
struct ReadingCase {
    store: bool,
    replies: Option<usize>,
    sound: bool,
    has_check: bool,
    after_ms: u64,
    expected: ReadingStep,
}

macro_rules! readings {
    ($($name:ident: store $store:literal, replies $replies:expr, sound $sound:literal, check $check:literal, after $after:literal ms => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_reading(&ReadingCase {
                store: $store,
                replies: $replies,
                sound: $sound,
                has_check: $check,
                after_ms: $after,
                expected: $expected,
            });
        }
    )*};
}

fn assert_reading(case: &ReadingCase) {
    let started_at = at(10_000);
    let mut reading = DepartureReading::new(started_at);
    if case.store {
        reading.on_store();
    }
    if let Some(replies) = case.replies {
        reading.on_routers(replies);
    }
    if case.sound {
        reading.on_sound_target();
    }
    let step = reading.step(case.has_check, started_at + at(case.after_ms));
    assert_eq!(step, case.expected);
}

readings! {
    store_and_routers_suffice_at_once:
        store true, replies Some(2), sound false, check true, after 5 ms => ReadingStep::Complete(ReadingSource::Store);
    store_without_other_routers_suffices:
        store true, replies Some(0), sound false, check true, after 5 ms => ReadingStep::Complete(ReadingSource::Store);
    store_alone_suffices_after_the_usual_time:
        store true, replies None, sound false, check true, after 700 ms => ReadingStep::Complete(ReadingSource::Store);
    routers_are_waited_for:
        store true, replies None, sound false, check true, after 100 ms => ReadingStep::Wait;
    store_is_waited_for:
        store false, replies Some(4), sound false, check true, after 699 ms => ReadingStep::Wait;
    without_the_store_the_target_is_asked:
        store false, replies Some(4), sound false, check true, after 700 ms => ReadingStep::CheckTarget;
    target_that_says_that_it_stays_is_used:
        store false, replies None, sound true, check true, after 800 ms => ReadingStep::Complete(ReadingSource::HealthCheck);
    routers_suffice_without_a_health_check:
        store false, replies Some(1), sound false, check false, after 700 ms => ReadingStep::Complete(ReadingSource::Routers);
    nobody_replies_and_there_is_no_health_check:
        store false, replies Some(0), sound false, check false, after 60000 ms => ReadingStep::Wait;
}

/// Without the store, other routers and a health check, only a target that goes on reporting itself is used.
#[test]
fn two_late_reports_are_not_steady_reports() {
    let started_at = at(10_000);
    let mut reading = DepartureReading::new(started_at);
    let id = "a".into();
    reading.on_report(&id, 10, 7, at(11_000));
    reading.on_report(&id, 10, 8, at(13_000));
    reading.on_report(&id, 10, 8, at(14_000));
    assert_eq!(reading.step(false, at(14_000)), ReadingStep::Wait);
    reading.on_report(&id, 20, 9, at(14_500));
    assert_eq!(
        reading.step(false, at(14_500)),
        ReadingStep::Wait,
        "another start"
    );
    reading.on_report(&id, 20, 10, at(15_300));
    reading.on_report(&id, 20, 11, at(16_100));
    let complete = ReadingStep::Complete(ReadingSource::Reports);
    assert_eq!(reading.step(false, at(16_100)), complete);
    assert_eq!(reading.step(true, at(16_100)), ReadingStep::CheckTarget);
}

#[test]
fn departures_of_other_routers_are_kept_for_a_while() {
    let mut kept = KeptDepartures::default();
    kept.keep(&"r-1".into(), &[departure("a", Some(10))], at(0));
    kept.keep(&"r-1".into(), &[departure("b", Some(20))], at(1_000));
    kept.keep(&"r-2".into(), &[departure("c", Some(30))], at(1_000));
    let known = kept.of_router("r-1", at(2_000));
    assert_eq!(known, [departure("a", Some(10)), departure("b", Some(20))]);
    assert_eq!(kept.of_router("r-3", at(2_000)), []);
    assert_eq!(kept.of_router("r-1", at(1_000) + DEPARTURE_RETENTION), []);
}

/// The next process asks the routers that the former one told, also if it knows a few routers more or less.
#[test]
fn keepers_are_the_same_for_each_process() {
    let routers: Vec<u16> = (0..84).collect();
    let told = departure_keepers("r-1", &routers, 4);
    assert_eq!(told.len(), 4);
    let mut reversed = routers.clone();
    reversed.reverse();
    assert_eq!(departure_keepers("r-1", &reversed, 4), told);
    let fewer: Vec<u16> = routers.iter().copied().filter(|r| *r != told[0]).collect();
    let asked = departure_keepers("r-1", &fewer, 4);
    assert_eq!(asked[..3], told[1..]);
    let all: BTreeSet<u16> = (0..84)
        .flat_map(|router| departure_keepers(&format!("r-{router}"), &routers, 4))
        .collect();
    assert!(all.len() > 60, "{} routers keep departures", all.len());
}
