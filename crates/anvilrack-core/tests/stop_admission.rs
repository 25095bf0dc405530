//! A planned stop sends no request that its end could abort, and refuses few others.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::{
    BootTime, KindDurations, PlannedStop, RecentDurations, StopAdmission, StopBacklog, StopPhase,
    StopRequest,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The grace period of the deployments.
const GRACE: Duration = Duration::from_secs(6);

/// The time from which no request may be sent that is aborted.
const CERTAIN_FROM: Duration = Duration::from_secs(3);

/// Time left until requests time out, unless a case says otherwise.
const TIMEOUT: Duration = Duration::from_secs(8);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn began_at() -> BootTime {
    ms(70_000)
}

fn request(durations: Option<(u64, u64)>, time_left_ms: u64) -> StopRequest {
    StopRequest {
        time_left: ms(time_left_ms),
        durations: durations.map(|(median, tail)| KindDurations {
            median: ms(median),
            tail: ms(tail),
        }),
        is_call: false,
        run_once: false,
    }
}

fn once(request: StopRequest) -> StopRequest {
    StopRequest {
        run_once: true,
        ..request
    }
}

/// Returns the last time, counted from SIGTERM, at which a request is sent; `None` if it never is.
fn last_sent(stop: StopAdmission, request: &StopRequest) -> Option<Duration> {
    let mut sent = (0..600).map(|step| ms(10 * step)).collect::<Vec<_>>();
    sent.retain(|elapsed| stop.admits(request, began_at() + *elapsed));
    sent.last().copied()
}

macro_rules! admission_cases {
    ($($name:ident: $request:expr => $last_ms:expr;)*) => {$(
        /// Requests were sent until the end of the stop, and aborted by it.
        #[test]
        fn $name() {
            let stop = StopAdmission::new(began_at(), GRACE);
            let last: Option<u64> = $last_ms;
            assert_eq!(last_sent(stop, &$request), last.map(ms));
        }
    )*};
}

// The stop ends 5,550 ms after SIGTERM.
admission_cases! {
    short_work_is_sent_until_its_tail_does_not_fit: request(Some((280, 1_000)), 8_000) => Some(4_300);
    tail_of_seven_times_the_mean_fits_after_three_seconds: request(Some((280, 1_960)), 8_000) => Some(3_100);
    long_work_is_sent_while_it_may_be_cut_off: request(Some((1_500, 4_000)), 8_000) => Some(2_990);
    work_that_is_usually_too_long_is_refused: request(Some((4_000, 6_000)), 8_000) => Some(1_550);
    work_that_never_fits_is_refused_from_the_signal_on: request(Some((7_000, 8_000)), 8_000) => None;
    unknown_work_is_sent_while_it_may_be_cut_off: request(None, 8_000) => Some(2_990);
    unknown_work_is_sent_if_it_times_out_in_time: request(None, 2_000) => Some(3_550);
    time_left_bounds_long_work: request(Some((280, 4_000)), 1_000) => Some(4_550);
    request_that_must_not_run_twice_is_sent_if_it_times_out_in_time: once(request(Some((60, 100)), 1_000)) => Some(4_550);
    request_that_must_not_run_twice_is_not_sent_on_an_expectation: once(request(Some((60, 100)), 8_000)) => Some(2_990);
    call_of_a_run_is_sent_longer_than_a_new_request: StopRequest { is_call: true, ..request(Some((280, 1_000)), 8_000) } => Some(4_550);
}

/// With a short grace period, requests were cut off before its last sixth.
#[test]
fn end_of_the_stop_is_in_the_last_sixth_of_the_grace_period() {
    for grace in [1_000, 2_000, 6_000, 30_000].map(ms) {
        let end = StopAdmission::max_time(grace);
        assert!(end >= grace * 5 / 6 && end < grace, "{end:?} of {grace:?}");
    }
    let last = last_sent(
        StopAdmission::new(began_at(), ms(1_000)),
        &request(None, 8_000),
    );
    assert_eq!(last, Some(ms(490)));
}

// --- durations -----------------------------------------------------------------------------------

/// The tail of few requests must not pass for that of all, nor that of long ago for the present one.
#[test]
fn tail_is_that_of_recent_requests() {
    let mut durations = RecentDurations::default();
    let kind: Arc<str> = "seats".into();
    for _ in 0..255 {
        durations.record(&kind, ms(9));
    }
    assert_eq!(durations.of_kind("seats"), None);
    durations.record(&kind, Duration::MAX);
    for _ in 0..1_023 {
        assert!(durations.of_kind("seats").unwrap().tail > TIMEOUT);
        durations.record(&kind, ms(99));
    }
    durations.record(&kind, ms(99));
    let known = durations.of_kind("seats").unwrap();
    assert_eq!((known.median, known.tail), (ms(100), ms(100)));
}

/// The names of routes come from the site document, of which there is any number.
#[test]
fn kind_that_was_absent_longest_is_forgotten() {
    let mut durations = RecentDurations::default();
    let kinds: Vec<Arc<str>> = (0..129).map(|kind| format!("r-{kind}").into()).collect();
    for kind in &kinds {
        for _ in 0..256 {
            durations.record(kind, ms(9));
        }
        durations.record(&kinds[0], ms(9));
    }
    assert_eq!(durations.of_kind("r-1"), None);
    for kept in ["r-0", "r-2", "r-128"] {
        assert!(durations.of_kind(kept).is_some(), "{kept}");
    }
}

// --- whole stops ---------------------------------------------------------------------------------

/// Time that requests take: `tail_percent` of them take seven times as long as the others.
#[derive(Clone, Copy)]
struct TestWork {
    usual_ms: u64,
    tail_percent: u64,
}

impl TestWork {
    fn draw(self, rng: &mut StdRng) -> Duration {
        let factor = if rng.random_range(0..100) < self.tail_percent {
            7
        } else {
            1
        };
        ms(self.usual_ms * factor).mul_f64(rng.random_range(0.8..1.0))
    }
}

/// The requests of one stop.
#[derive(Default)]
struct StopCounts {
    sent: usize,
    refused: usize,
    /// Requests that were sent within three seconds after SIGTERM, and aborted.
    aborted_early: usize,
    aborted_late: usize,
    refused_before_three_seconds: usize,
}

/// Sends 50 requests a second to a router from SIGTERM on until its stop ends; a run at its own target takes
/// up to `run_time`.
fn simulate_stop(work: TestWork, run_time: Duration, seed: u64) -> StopCounts {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut durations = RecentDurations::default();
    let kind: Arc<str> = "seats".into();
    for _ in 0..1_500 {
        durations.record(&kind, work.draw(&mut rng).min(TIMEOUT));
    }
    let admission = StopAdmission::new(began_at(), GRACE);
    let mut stop = PlannedStop::new(began_at(), StopAdmission::max_time(GRACE));
    let mut counts = StopCounts::default();
    let mut open: Vec<(Duration, Duration)> = Vec::new();
    for elapsed in (0..600).map(|step| ms(10 * step)) {
        open.retain(|(sent, took)| elapsed < *sent + *took);
        let backlog = StopBacklog {
            open_requests: open.len(),
            running: usize::from(elapsed < run_time),
            ..StopBacklog::default()
        };
        let now = began_at() + elapsed;
        let phase = stop.phase(backlog, now);
        if phase == StopPhase::Finished {
            break;
        }
        // Callers that do not leave reach the router until its listener closes.
        if phase >= StopPhase::Closing || elapsed.as_millis() % 20 != 0 {
            continue;
        }
        let request = StopRequest {
            time_left: TIMEOUT,
            durations: durations.of_kind(&kind),
            is_call: false,
            run_once: false,
        };
        if admission.admits(&request, now) {
            counts.sent += 1;
            open.push((elapsed, work.draw(&mut rng).min(TIMEOUT)));
        } else {
            counts.refused += 1;
            counts.refused_before_three_seconds += usize::from(elapsed < CERTAIN_FROM);
        }
    }
    let late = |open: &&(Duration, Duration)| open.0 >= CERTAIN_FROM;
    counts.aborted_late = open.iter().filter(late).count();
    counts.aborted_early = open.len() - counts.aborted_late;
    counts
}

macro_rules! stop_cases {
    ($($name:ident: usual $usual_ms:literal ms, $percent:literal percent seven times that, runs until $run_ms:literal ms => $check:expr;)*) => {$(
        /// Requests that entered late in a stop were aborted at its end.
        #[test]
        fn $name() {
            for seed in 0..200 {
                let work = TestWork { usual_ms: $usual_ms, tail_percent: $percent };
                let counts = simulate_stop(work, ms($run_ms), seed);
                assert_eq!(counts.aborted_late, 0, "seed {seed}");
                let check: fn(&StopCounts) -> bool = $check;
                assert!(
                    check(&counts),
                    "seed {seed}: {} sent, {} and {} refused, {} aborted",
                    counts.sent, counts.refused, counts.refused_before_three_seconds, counts.aborted_early
                );
            }
        }
    )*};
}

stop_cases! {
    short_work_is_refused_only_at_the_end: usual 60 ms, 5 percent seven times that, runs until 5_000 ms
        => |counts| counts.aborted_early == 0 && counts.refused <= 2;
    usual_work_is_not_refused_before_the_target_is_idle: usual 280 ms, 3 percent seven times that, runs until 3_300 ms
        => |counts| counts.aborted_early == 0 && counts.refused <= 10;
    usual_work_is_refused_late_while_a_long_run_goes_on: usual 280 ms, 3 percent seven times that, runs until 9_000 ms
        => |counts| counts.aborted_early == 0 && counts.refused_before_three_seconds == 0 && counts.sent >= 150;
    long_work_is_refused_from_three_seconds_on: usual 1_100 ms, 3 percent seven times that, runs until 9_000 ms
        => |counts| counts.refused_before_three_seconds == 0 && counts.refused >= 90 && counts.aborted_early <= 25;
    work_longer_than_the_grace_period_is_refused_at_once: usual 7_500 ms, 0 percent seven times that, runs until 9_000 ms
        => |counts| counts.sent == 0;
}
