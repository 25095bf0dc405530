//! A request that crashes its target and is sent again and again through different routers.

use std::time::Duration;

use anvilrack_fakes::TargetFaults;
use anvilrack_harness::Deployment;

/// What the body of the crashing request says.
const POISON: &str = "poison";

/// Most resends; many more than targets.
const RESENDS: usize = 120;

macro_rules! crash_cases {
    ($($name:ident: $method:ident, idempotency key $id:expr, at most $lost:literal targets;)*) => {
        $(
            #[test]
            fn $name() {
                send_again_and_again(stringify!($method), $id, $lost);
            }
        )*
    };
}

crash_cases! {
    an_idempotent_request_does_not_walk_through_the_fleet: PUT, idempotency key None, at most 2 targets;
    an_unrecorded_claim_does_not_walk_through_the_fleet: POST, idempotency key None, at most 2 targets;
    a_recorded_claim_runs_at_one_target: POST, idempotency key Some("poison-1"), at most 1 targets;
}

fn send_again_and_again(method: &str, id: Option<&str>, most_lost: usize) {
    let mut deployment = Deployment::new("bookings", 5).unwrap();
    deployment.await_ready().unwrap();
    let crash = TargetFaults {
        crash_on: Some(POISON.to_owned()),
        ..TargetFaults::default()
    };
    for index in 0..5 {
        deployment.set_target_faults(index, &crash).unwrap();
    }
    let mut refused = 0;
    for turn in 0..RESENDS {
        let router = deployment.callers[turn % 5];
        let url = format!("http://{router}/bookings/seat");
        let mut request = attohttpc::RequestBuilder::new(
            attohttpc::Method::from_bytes(method.as_bytes()).unwrap(),
            url,
        );
        if let Some(id) = id {
            request = request.header("Idempotency-Key", id);
        }
        let answer = request
            .timeout(Duration::from_secs(8))
            .text(POISON)
            .send()
            .unwrap();
        let header = |name: &str| {
            let value = answer.headers().get(name);
            value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
        };
        assert_ne!(header("Anvilrack-Verdict"), "ran");
        if header("Anvilrack-Reason") == "quarantined" {
            let wait: u64 = header("Retry-After").parse().unwrap();
            assert!((1..=120).contains(&wait), "{wait}");
            refused += 1;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let lost = deployment
        .targets
        .iter_mut()
        .map(|target| usize::from(!target.is_running()));
    let lost: usize = lost.sum();
    assert!((1..=most_lost).contains(&lost), "{lost} targets lost");
    assert!(most_lost == 1 || lost < 2 || refused > 0);
    // The others go on: each key has an owner again, and answers.
    for index in 0..5 {
        let router = deployment.callers[index];
        let read = attohttpc::get(format!("http://{router}/bookings/seat"))
            .send()
            .unwrap();
        assert_eq!(read.status().as_u16(), 200, "{}", read.text().unwrap());
    }
}
