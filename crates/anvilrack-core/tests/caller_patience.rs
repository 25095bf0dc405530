//! Telling callers that come back from those that ask for the first time.
//!
//! Answers the days on which more comes than can be run: those who can still be served in time go first.

use std::sync::Arc;
use std::time::Duration;

use anvilrack_core::CallerPatience;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn route() -> Arc<str> {
    "view".into()
}

/// A meter that has seen that many first tries with a limit of four seconds.
fn seen(first_tries: usize) -> CallerPatience {
    let mut patience = CallerPatience::default();
    for _ in 0..first_tries {
        patience.waited(&route(), ms(4_000));
    }
    patience
}

macro_rules! patience_cases {
    ($($name:ident: $patience:expr, $time_left:expr => $waited:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut patience: CallerPatience = $patience;
                assert_eq!(patience.waited(&route(), ms($time_left)), ms($waited));
            }
        )*
    };
}

patience_cases! {
    first_try_has_waited_for_nothing: seen(100), 4_000 => 0;
    caller_that_comes_back_has_waited: seen(100), 2_900 => 1_100;
    longer_limit_than_usual_is_a_first_try: seen(100), 9_000 => 0;
    little_is_known_at_first: seen(10), 2_900 => 0;
}

#[test]
fn limits_without_a_usual_one_say_nothing() {
    let mut patience = CallerPatience::default();
    for limit in 0..400 {
        assert!(patience.waited(&route(), ms(1_000 + limit * 7)).is_zero());
    }
}

#[test]
fn most_callers_may_be_coming_back() {
    let mut patience = seen(20);
    // Three of four have been refused before, after as many different times.
    for limit in 0..600 {
        patience.waited(&route(), ms(1_000 + limit * 5));
        if limit % 3 == 0 {
            assert!(patience.waited(&route(), ms(4_000)).is_zero());
        }
    }
    assert_eq!(patience.waited(&route(), ms(3_000)), ms(1_000));
}

#[test]
fn new_limit_replaces_the_one_before() {
    let mut patience = seen(400);
    for _ in 0..1_500 {
        patience.waited(&route(), ms(2_000));
    }
    assert_eq!(patience.waited(&route(), ms(1_500)), ms(500));
}

#[test]
fn routes_are_told_apart() {
    let mut patience = seen(100);
    let other: Arc<str> = "join".into();
    assert!(patience.waited(&other, ms(1_000)).is_zero());
}
