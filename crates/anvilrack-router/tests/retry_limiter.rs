//! Tests the limit on requests that wait for a retry.
//!
//! Without it, requests for a shard that has no owner would occupy all caller workers.

use anvilrack_router::retry_limiter::RetryLimiter;
use anvilrack_settings::RouterLimits;

macro_rules! slot_cases {
    ($($name:ident: $workers:literal workers, $slots:literal slots;)*) => {
        $(
            #[test]
            fn $name() {
                let limiter = limiter_for($workers);
                let held: Vec<_> = (0..$slots).map(|_| limiter.acquire_slot().unwrap()).collect();
                assert!(limiter.acquire_slot().is_none());
                assert!(limiter.acquire_slot().is_none(), "a refusal must not take a slot");
                drop(held);
                let again: Vec<_> = (0..$slots).map(|_| limiter.acquire_slot()).collect();
                assert!(again.iter().all(Option::is_some));
            }
        )*
    };
}

slot_cases! {
    single_worker_may_wait: 1 workers, 1 slots;
    quarter_of_workers_may_wait: 128 workers, 32 slots;
    fraction_of_slot_is_rounded_up: 9 workers, 3 slots;
}

fn limiter_for(caller_workers: usize) -> RetryLimiter {
    RetryLimiter::new(&RouterLimits {
        caller_workers,
        ..RouterLimits::default()
    })
}
