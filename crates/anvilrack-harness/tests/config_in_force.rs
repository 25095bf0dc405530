//! An applied configuration takes effect at every router and is never reverted.

use std::thread;
use std::time::{Duration, Instant};

use anvilrack_fakes::StoreFaults;
use anvilrack_harness::{Deployment, DeploymentPlan};
use serde_json::{Value, json};

/// Maximum wait for a condition; long, so that a slow machine does not fail the test.
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);

macro_rules! config_cases {
    ($($name:ident: $check:ident, $operators:literal operators;)*) => {
        $(
            #[test]
            fn $name() {
                let mut deployment = Deployment::new("bookings", 6).unwrap();
                deployment.await_ready().unwrap();
                $check(&deployment, $operators);
            }
        )*
    };
}

config_cases! {
    config_of_one_operator_reaches_every_router: apply_concurrently, 1 operators;
    one_of_four_concurrent_operators_succeeds: apply_concurrently, 4 operators;
    restored_store_does_not_revert_the_config: restore_older_store, 1 operators;
    config_applies_once_when_store_loses_a_reply: lose_store_response, 1 operators;
}

fn apply_concurrently(deployment: &Deployment, operators: u32) {
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

fn restore_older_store(deployment: &Deployment, _operators: u32) {
    control_store(deployment, "save");
    assert!(apply(deployment, 1, 20));
    await_revision(deployment, 2);
    control_store(deployment, "restore");
    wait_until(|| stored_config(deployment)["revision"] == 2);
    await_revision(deployment, 2);
    assert_eq!(stored_slots(deployment), 20);
}

fn lose_store_response(deployment: &Deployment, _operators: u32) {
    let faults = StoreFaults {
        lose_replies: 1,
        ..StoreFaults::default()
    };
    deployment.set_store_faults(faults).unwrap();
    apply(deployment, 1, 20);
    await_revision(deployment, 2);
    assert_eq!(stored_slots(deployment), 20);
    assert_eq!(stored_config(deployment)["revision"], 2);
}

/// Applies a configuration by compare-and-swap, as `anvilrack apply` does. Returns whether the store
/// accepted it.
fn apply(deployment: &Deployment, from: u64, slots: u32) -> bool {
    let (index, current) = stored_config_with_index(deployment);
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
    let response = attohttpc::put(url).text(record.to_string()).send();
    response.is_ok_and(|response| response.text().is_ok_and(|text| text == "true"))
}

fn stored_config(deployment: &Deployment) -> Value {
    stored_config_with_index(deployment).1
}

fn stored_config_with_index(deployment: &Deployment) -> (u64, Value) {
    let url = format!(
        "http://{}/v1/kv/anvilrack/config?raw",
        deployment.store_address
    );
    let response = attohttpc::get(url).send().unwrap();
    let index = response.headers()["X-Consul-Index"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    (
        index,
        serde_json::from_slice(&response.bytes().unwrap()).unwrap(),
    )
}

fn stored_slots(deployment: &Deployment) -> u64 {
    stored_config(deployment)["document"]["services"]["bookings"]["slots"]
        .as_u64()
        .unwrap()
}

fn control_store(deployment: &Deployment, call: &str) {
    let url = format!("http://{}/_control/{call}", deployment.store_address);
    attohttpc::post(url)
        .send()
        .unwrap()
        .error_for_status()
        .unwrap();
}

fn await_revision(deployment: &Deployment, revision: u64) {
    wait_until(|| {
        (0..deployment.routers.len()).all(|index| {
            deployment
                .status(index)
                .is_ok_and(|status| status["config_revision"] == revision)
        })
    });
}

fn wait_until(done: impl Fn() -> bool) {
    let until = Instant::now() + CONDITION_TIMEOUT;
    while !done() {
        assert!(
            Instant::now() < until,
            "condition not met within {CONDITION_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(50));
    }
}
