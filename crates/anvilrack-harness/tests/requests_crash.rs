//! A request that crashes its target and is resent many times through different routers: it may
//! crash only a limited number of targets before it is quarantined.

use std::time::Duration;

use anvilrack_fakes::TargetFaults;
use anvilrack_harness::Deployment;

/// Body of the request that crashes its target.
const CRASHING_BODY: &str = "poison";

/// Number of times the request is sent; far more than there are targets.
const SEND_COUNT: usize = 120;

macro_rules! crash_cases {
    ($($name:ident: $method:ident, idempotency key $id:expr, at most $lost_targets:literal targets;)*) => {
        $(
            #[test]
            fn $name() {
                assert_few_targets_crash(stringify!($method), $id, $lost_targets);
            }
        )*
    };
}

crash_cases! {
    idempotent_request_does_not_crash_every_target: PUT, idempotency key None, at most 2 targets;
    unrecorded_claim_does_not_crash_every_target: POST, idempotency key None, at most 2 targets;
    recorded_claim_crashes_one_target: POST, idempotency key Some("poison-1"), at most 1 targets;
}

fn assert_few_targets_crash(method: &str, id: Option<&str>, max_lost_targets: usize) {
    let mut deployment = Deployment::new("bookings", 5).unwrap();
    deployment.await_ready().unwrap();
    let crash = TargetFaults {
        crash_on: Some(CRASHING_BODY.to_owned()),
        ..TargetFaults::default()
    };
    for index in 0..5 {
        deployment.set_target_faults(index, &crash).unwrap();
    }
    let mut quarantined = 0;
    for attempt in 0..SEND_COUNT {
        let router = deployment.caller_addresses[attempt % 5];
        let url = format!("http://{router}/bookings/seat");
        let mut request = attohttpc::RequestBuilder::new(
            attohttpc::Method::from_bytes(method.as_bytes()).unwrap(),
            url,
        );
        if let Some(id) = id {
            request = request.header("Idempotency-Key", id);
        }
        let response = request
            .timeout(Duration::from_secs(8))
            .text(CRASHING_BODY)
            .send()
            .unwrap();
        let header = |name: &str| {
            let value = response.headers().get(name);
            value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
        };
        assert_ne!(header("Anvilrack-Verdict"), "ran");
        if header("Anvilrack-Reason") == "quarantined" {
            let retry_after_s: u64 = header("Retry-After").parse().unwrap();
            assert!((1..=120).contains(&retry_after_s), "{retry_after_s}");
            quarantined += 1;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let lost_targets = deployment
        .targets
        .iter_mut()
        .map(|target| usize::from(!target.is_running()));
    let lost_targets: usize = lost_targets.sum();
    assert!(
        (1..=max_lost_targets).contains(&lost_targets),
        "{lost_targets} targets lost"
    );
    assert!(max_lost_targets == 1 || lost_targets < 2 || quarantined > 0);
    // The remaining targets keep working: the key has an owner again and is served.
    for index in 0..5 {
        let router = deployment.caller_addresses[index];
        let read = attohttpc::get(format!("http://{router}/bookings/seat"))
            .send()
            .unwrap();
        assert_eq!(read.status().as_u16(), 200, "{}", read.text().unwrap());
    }
}
