//! Non-idempotent requests run at most once, despite duplicates, drains and the loss of an owner.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anvilrack_fakes::{TargetFaults, TargetRun};
use anvilrack_harness::{Deployment, DeploymentPlan};
use serde_json::json;

/// A response as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct CallerResponse {
    status: u16,
    verdict: String,
    reason: String,
    body: String,
}

fn post(router: SocketAddr, key: &str, id: &str, body: &str) -> CallerResponse {
    let response = attohttpc::post(format!("http://{router}/bookings/{key}"))
        .header("Idempotency-Key", id)
        .header("Anvilrack-Timeout-Ms", "3000")
        .timeout(Duration::from_secs(8))
        .text(body)
        .send()
        .unwrap();
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
    };
    CallerResponse {
        status: response.status().as_u16(),
        verdict: header("Anvilrack-Verdict"),
        reason: header("Anvilrack-Reason"),
        body: response.text().unwrap(),
    }
}

/// Returns the runs of a request at all targets that respond.
fn runs_of(deployment: &Deployment, id: &str) -> Vec<TargetRun> {
    let runs = deployment.target_addresses.iter().flat_map(|address| {
        let response = attohttpc::get(format!("http://{address}/_control/runs")).send();
        let text = response.map_or_else(|_| String::new(), |response| response.text().unwrap());
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        lines.collect::<Vec<TargetRun>>()
    });
    runs.filter(|run| run.idempotency_key.as_deref() == Some(id))
        .collect()
}

fn start(routers: usize) -> Deployment {
    with_plan(DeploymentPlan::new("bookings", routers))
}

fn with_plan(plan: DeploymentPlan) -> Deployment {
    let mut deployment = Deployment::with_plan(plan).unwrap();
    deployment.await_ready().unwrap();
    deployment
}

/// Returns the index of the router whose target ran a request.
fn owner_of(deployment: &Deployment, id: &str) -> usize {
    let owns = |index: &usize| {
        let address = deployment.target_addresses[*index];
        let response = attohttpc::get(format!("http://{address}/_control/runs")).send();
        response.unwrap().text().unwrap().contains(id)
    };
    (0..deployment.targets.len()).find(owns).unwrap()
}

fn new_request_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

#[test]
fn concurrent_duplicates_run_once_and_get_the_same_response() {
    let mut plan = DeploymentPlan::new("bookings", 3);
    plan.service_time = Duration::from_millis(300);
    let deployment = with_plan(plan);
    for round in 0..5 {
        let (key, id) = (format!("seat-{round}"), new_request_id());
        let responses: Vec<CallerResponse> = thread::scope(|scope| {
            let callers = (0..9).map(|caller| {
                let router = deployment.caller_addresses[caller % 3];
                let (key, id) = (&key, &id);
                scope.spawn(move || post(router, key, id, "claim"))
            });
            let callers: Vec<_> = callers.collect();
            callers
                .into_iter()
                .map(|caller| caller.join().unwrap())
                .collect()
        });
        assert_eq!(runs_of(&deployment, &id).len(), 1, "{responses:?}");
        assert!(
            responses.iter().all(|response| *response == responses[0]),
            "{responses:?}"
        );
        assert_eq!(responses[0].verdict, "ran");
    }
}

#[test]
fn resend_over_a_new_connection_gets_the_recorded_response() {
    let deployment = start(3);
    let id = new_request_id();
    let first = post(deployment.caller_addresses[0], "seat", &id, "claim");
    assert_eq!(first.verdict, "ran");
    for router in &deployment.caller_addresses {
        assert_eq!(post(*router, "seat", &id, "claim"), first);
    }
    let different_claim = post(deployment.caller_addresses[1], "seat", &id, "another claim");
    assert_eq!(
        (different_claim.status, &*different_claim.reason),
        (400, "key-reused")
    );
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn request_whose_response_was_cut_short_never_runs_again() {
    let deployment = start(2);
    for index in 0..2 {
        let cut_short = TargetFaults {
            cut_short: true,
            ..TargetFaults::default()
        };
        deployment.set_target_faults(index, &cut_short).unwrap();
    }
    let id = new_request_id();
    let first = post(deployment.caller_addresses[0], "seat", &id, "claim");
    assert_eq!((first.status, &*first.verdict), (504, "may-have-run"));
    for index in 0..2 {
        deployment
            .set_target_faults(index, &TargetFaults::default())
            .unwrap();
    }
    let second = post(deployment.caller_addresses[1], "seat", &id, "claim");
    assert_eq!((second.status, &*second.verdict), (504, "may-have-run"));
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn resend_after_a_drain_gets_the_handed_over_response() {
    let mut deployment = start(3);
    let id = new_request_id();
    let first = post(deployment.caller_addresses[0], "seat", &id, "claim");
    assert_eq!(first.verdict, "ran");
    let owner = owner_of(&deployment, &id);
    deployment.routers[owner].terminate();
    deployment.routers[owner].wait().unwrap();
    let remaining = (owner + 1) % 3;
    let second = post(deployment.caller_addresses[remaining], "seat", &id, "claim");
    assert_eq!(second, first);
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn resend_during_a_drain_joins_the_running_claim() {
    let mut plan = DeploymentPlan::new("bookings", 2);
    plan.service_time = Duration::from_millis(2_500);
    let deployment = with_plan(plan);
    let probe_id = new_request_id();
    assert_eq!(
        post(deployment.caller_addresses[0], "seat", &probe_id, "probe").verdict,
        "ran"
    );
    let owner = owner_of(&deployment, &probe_id);
    let (owner_address, other_address) = (
        deployment.caller_addresses[owner],
        deployment.caller_addresses[1 - owner],
    );
    let id = new_request_id();
    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| post(owner_address, "seat", &id, "claim"));
        thread::sleep(Duration::from_millis(300));
        deployment.routers[owner].terminate();
        // Long enough that the owner no longer accepts new requests.
        thread::sleep(Duration::from_millis(1_500));
        let second = post(other_address, "seat", &id, "claim");
        (first.join().unwrap(), second)
    });
    assert_eq!(first.verdict, "ran");
    assert_eq!(second, first);
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn resend_after_loss_of_the_owner_may_have_run() {
    let mut deployment = start(3);
    let (id, id_without_time) = (new_request_id(), "order 17");
    for id in [&*id, id_without_time] {
        assert_eq!(
            post(deployment.caller_addresses[0], "seat", id, "claim").verdict,
            "ran"
        );
    }
    let owner = owner_of(&deployment, &id);
    deployment.routers[owner].kill();
    let remaining = (owner + 1) % 3;
    for id in [&*id, id_without_time] {
        let second = resend_until_shard_is_owned(deployment.caller_addresses[remaining], id);
        assert_eq!(
            (&*second.verdict, &*second.reason),
            ("may-have-run", "record-lost")
        );
        assert_eq!(runs_of(&deployment, id).len(), 1);
    }
}

/// Sends the request again until the shard has an owner, which shows as a verdict other than
/// `not-run`.
fn resend_until_shard_is_owned(router: SocketAddr, id: &str) -> CallerResponse {
    for _ in 0..100 {
        let response = post(router, "seat", id, "claim");
        if response.verdict != "not-run" {
            return response;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the shard still has no owner after 100 attempts");
}

#[test]
fn full_record_refuses_claims_and_serves_reads() {
    let mut plan = DeploymentPlan::new("bookings", 1);
    plan.settings = json!({ "limits": { "record_entries": 2 } });
    let deployment = with_plan(plan);
    let router = deployment.caller_addresses[0];
    let ids: Vec<String> = (0..3).map(|_| new_request_id()).collect();
    let responses: Vec<CallerResponse> = ids
        .iter()
        .map(|id| post(router, "seat", id, "claim"))
        .collect();
    assert_eq!(responses[1].verdict, "ran");
    assert_eq!(
        (responses[2].status, &*responses[2].reason),
        (503, "record-full")
    );
    assert_eq!(runs_of(&deployment, &ids[2]).len(), 0);
    assert_eq!(post(router, "seat", &ids[0], "claim"), responses[0]);
    let read = attohttpc::get(format!("http://{router}/bookings/seat"))
        .send()
        .unwrap();
    assert!(read.is_success());
}
