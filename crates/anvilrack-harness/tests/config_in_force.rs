//! A configuration once applied takes effect everywhere and never reverts.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_fakes::StoreFaults;
use anvilrack_harness::{Deployment, DeploymentPlan};
use serde_json::{Value, json};

/// Generous: a slow machine must not decide the verdict.
const LIMIT: Duration = Duration::from_mins(1);

macro_rules! config_cases {
    ($($name:ident: $act:ident, $operators:literal operators;)*) => {
        $(
            #[test]
            fn $name() {
                let mut deployment = Deployment::new("bookings", 6).unwrap();
                deployment.await_ready().unwrap();
                $act(&deployment, $operators);
            }
        )*
    };
}

config_cases! {
    one_operator_reaches_every_router: apply_together, 1 operators;
    of_four_operators_at_once_one_wins: apply_together, 4 operators;
    a_restored_store_does_not_bring_back_the_old_one: restore_older, 1 operators;
    a_store_that_loses_a_reply_applies_once: lose_reply, 1 operators;
}

fn apply_together(deployment: &Deployment, operators: u32) {
    let outcomes: Vec<bool> = thread::scope(|scope| {
        let threads: Vec<_> = (0..operators)
            .map(|operator| scope.spawn(move || apply(deployment, 1, 20 + operator)))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    assert_eq!(outcomes.iter().filter(|applied| **applied).count(), 1);
    await_revision(deployment, 2);
}

fn restore_older(deployment: &Deployment, _operators: u32) {
    control(deployment, "save");
    assert!(apply(deployment, 1, 20));
    await_revision(deployment, 2);
    control(deployment, "restore");
    await_true(|| stored(deployment)["revision"] == 2);
    await_revision(deployment, 2);
    assert_eq!(slots(deployment), 20);
}

fn lose_reply(deployment: &Deployment, _operators: u32) {
    let faults = StoreFaults {
        lose_replies: 1,
        ..StoreFaults::default()
    };
    deployment.set_store_faults(faults).unwrap();
    apply(deployment, 1, 20);
    await_revision(deployment, 2);
    assert_eq!(slots(deployment), 20);
    assert_eq!(stored(deployment)["revision"], 2);
}

/// Applies by compare-and-swap, as `anvilrack apply` does; true where the store took it.
fn apply(deployment: &Deployment, from: u64, slots: u32) -> bool {
    let (index, current) = stored_with_index(deployment);
    if current["revision"] != from {
        return false;
    }
    let mut document = DeploymentPlan::new("bookings", 1).config;
    document["services"]["bookings"]["slots"] = json!(slots);
    let record = json!({ "revision": from + 1, "apply_id": "test", "document": document });
    let url = format!(
        "http://{}/v1/kv/anvilrack/config?cas={index}",
        deployment.store_address
    );
    let answer = attohttpc::put(url).text(record.to_string()).send();
    answer.is_ok_and(|answer| answer.text().is_ok_and(|text| text == "true"))
}

fn stored(deployment: &Deployment) -> Value {
    stored_with_index(deployment).1
}

fn stored_with_index(deployment: &Deployment) -> (u64, Value) {
    let url = format!(
        "http://{}/v1/kv/anvilrack/config?raw",
        deployment.store_address
    );
    let answer = attohttpc::get(url).send().unwrap();
    let index = answer.headers()["X-Consul-Index"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    (
        index,
        serde_json::from_slice(&answer.bytes().unwrap()).unwrap(),
    )
}

fn slots(deployment: &Deployment) -> u64 {
    stored(deployment)["document"]["services"]["bookings"]["slots"]
        .as_u64()
        .unwrap()
}

fn control(deployment: &Deployment, call: &str) {
    let url = format!("http://{}/_control/{call}", deployment.store_address);
    attohttpc::post(url)
        .send()
        .unwrap()
        .error_for_status()
        .unwrap();
}

fn await_revision(deployment: &Deployment, revision: u64) {
    await_true(|| {
        (0..deployment.routers.len()).all(|index| {
            deployment
                .status(index)
                .is_ok_and(|status| status["config_revision"] == revision)
        })
    });
}

fn await_true(done: impl Fn() -> bool) {
    let until = Instant::now() + LIMIT;
    while !done() {
        assert!(Instant::now() < until, "did not happen in {LIMIT:?}");
        thread::sleep(Duration::from_millis(50));
    }
}
