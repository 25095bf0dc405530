//! Planned stops of routers beside targets that go on running, one at a time and in waves.

use std::time::Duration;

use anvilrack_core::{PlannedStop, StopBacklog, StopPhase};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Time that the platform allows for a stop.
const MAX_TIME: Duration = Duration::from_millis(5_100);

/// Time from the end of a process until the next one serves the target.
const RESTART_TIME: Duration = Duration::from_millis(700);

/// Time between two looks at a stop.
const STEP: Duration = Duration::from_millis(50);

/// Number of routers that restart.
const ROUTERS: usize = 24;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

macro_rules! phase_cases {
    ($($name:ident: max $max_ms:literal ms, running until $running_ms:literal ms, open until $open_ms:literal ms, connected until $connected_ms:literal ms, withdrawn $withdrawn_ms:literal ms, closing $closing_ms:literal ms, finished $finished_ms:literal ms;)*) => {
        $(
            #[test]
            fn $name() {
                let backlog = |elapsed: Duration| StopBacklog {
                    running: usize::from(elapsed < ms($running_ms)),
                    open_requests: usize::from(elapsed < ms($open_ms)),
                    open_connections: usize::from(elapsed < ms($connected_ms)),
                    handing_over: false,
                };
                let first = |phase| first_time_in(phase, ms($max_ms), backlog);
                assert_eq!(first(StopPhase::Withdrawn), ms($withdrawn_ms));
                assert_eq!(first(StopPhase::Closing), ms($closing_ms));
                assert_eq!(first(StopPhase::Finished), ms($finished_ms));
            }
        )*
    };
}

phase_cases! {
    idle_target_is_withdrawn_when_callers_have_left: max 5_100 ms, running until 0 ms, open until 0 ms, connected until 0 ms, withdrawn 3_250 ms, closing 3_250 ms, finished 3_300 ms;
    listener_stays_open_for_the_calls_of_runs: max 5_100 ms, running until 3_600 ms, open until 0 ms, connected until 3_600 ms, withdrawn 3_250 ms, closing 3_600 ms, finished 3_650 ms;
    idle_connection_is_waited_for_until_it_is_closed: max 5_100 ms, running until 0 ms, open until 0 ms, connected until 9_000 ms, withdrawn 3_250 ms, closing 3_250 ms, finished 3_700 ms;
    long_run_does_not_delay_the_close_beyond_the_limit: max 5_100 ms, running until 9_000 ms, open until 0 ms, connected until 0 ms, withdrawn 3_250 ms, closing 4_600 ms, finished 5_100 ms;
    open_request_is_waited_for: max 5_100 ms, running until 0 ms, open until 4_000 ms, connected until 4_000 ms, withdrawn 3_250 ms, closing 3_250 ms, finished 4_000 ms;
    short_grace_shortens_all_phases: max 1_000 ms, running until 0 ms, open until 0 ms, connected until 9_000 ms, withdrawn 700 ms, closing 700 ms, finished 1_000 ms;
}

/// Returns when a stop is first in a phase or beyond it.
fn first_time_in(
    phase: StopPhase,
    max_time: Duration,
    backlog: impl Fn(Duration) -> StopBacklog,
) -> Duration {
    let began_at = ms(60_000);
    let mut stop = PlannedStop::new(began_at, max_time);
    let mut elapsed = Duration::ZERO;
    while stop.phase(backlog(elapsed), began_at + elapsed) < phase {
        elapsed += STEP;
    }
    elapsed
}

macro_rules! wave_cases {
    ($($name:ident: $at_once:literal at once, at most $max_out:literal out;)*) => {
        $(
            /// Targets withdrawn for the whole stop were missing all at once.
            #[test]
            fn $name() {
                for seed in 0..50 {
                    let [late, at_once] = most_targets_out($at_once, seed);
                    assert!(late <= $max_out, "seed {seed}: {late} of {ROUTERS} targets out");
                    assert!(late <= at_once, "seed {seed}: {late} and {at_once}");
                }
            }
        )*
    };
}

wave_cases! {
    planned_stops_in_turn_keep_most_targets: 1 at once, at most 5 out;
    planned_stops_of_three_at_a_time_keep_half_of_the_targets: 3 at once, at most 12 out;
}

/// Restarts all routers in turn, `at_once` of them each half second, and returns the most targets that
/// get no requests at one time: as decided, and if each were withdrawn when its stop begins.
fn most_targets_out(at_once: usize, seed: u64) -> [usize; 2] {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut outages = Vec::new();
    for router in 0..ROUTERS {
        let began_at = ms(500) * u32::try_from(router / at_once).expect("a small number");
        let run_time = ms(rng.random_range(50..500));
        let backlog = |elapsed: Duration| StopBacklog {
            // The last run begins when the target is withdrawn.
            running: usize::from(elapsed < ms(3_250) + run_time),
            ..StopBacklog::default()
        };
        let withdrawn = first_time_in(StopPhase::Withdrawn, MAX_TIME, backlog);
        let ended = first_time_in(StopPhase::Finished, MAX_TIME, backlog);
        outages.push((
            began_at,
            began_at + withdrawn,
            began_at + ended + RESTART_TIME,
        ));
    }
    let most_out = |since: fn(&(Duration, Duration, Duration)) -> Duration| {
        let out_at = |time: Duration| {
            let is_out = |outage: &&(Duration, Duration, Duration)| {
                (since(outage)..outage.2).contains(&time)
            };
            outages.iter().filter(is_out).count()
        };
        (0..400).map(|step| out_at(STEP * step)).max()
    };
    [most_out(|outage| outage.1), most_out(|outage| outage.0)].map(Option::unwrap_or_default)
}
