//! Non-idempotent requests run at most once: duplicates, drains, and the loss of an owner.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anvilrack_fakes::{TargetFaults, TargetRun};
use anvilrack_harness::{Deployment, DeploymentPlan};
use serde_json::json;

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ToldAnswer {
    status: u16,
    verdict: String,
    reason: String,
    body: String,
}

fn post(router: SocketAddr, key: &str, id: &str, body: &str) -> ToldAnswer {
    let answer = attohttpc::post(format!("http://{router}/bookings/{key}"))
        .header("Idempotency-Key", id)
        .header("Anvilrack-Timeout-Ms", "3000")
        .timeout(Duration::from_secs(8))
        .text(body)
        .send()
        .unwrap();
    let header = |name: &str| {
        let value = answer.headers().get(name);
        value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
    };
    ToldAnswer {
        status: answer.status().as_u16(),
        verdict: header("Anvilrack-Verdict"),
        reason: header("Anvilrack-Reason"),
        body: answer.text().unwrap(),
    }
}

/// The runs at all targets that answer.
fn runs_of(deployment: &Deployment, id: &str) -> Vec<TargetRun> {
    let runs = deployment.target_addresses.iter().flat_map(|address| {
        let answer = attohttpc::get(format!("http://{address}/_control/runs")).send();
        let text = answer.map_or_else(|_| String::new(), |answer| answer.text().unwrap());
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

/// The router beside the target that ran a request.
fn owner_of(deployment: &Deployment, id: &str) -> usize {
    let owns = |index: &usize| {
        let address = deployment.target_addresses[*index];
        let answer = attohttpc::get(format!("http://{address}/_control/runs")).send();
        answer.unwrap().text().unwrap().contains(id)
    };
    (0..deployment.targets.len()).find(owns).unwrap()
}

fn new_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

#[test]
fn duplicates_in_parallel_run_once_and_share_the_answer() {
    let mut plan = DeploymentPlan::new("bookings", 3);
    plan.service_time = Duration::from_millis(300);
    let deployment = with_plan(plan);
    for round in 0..5 {
        let (key, id) = (format!("seat-{round}"), new_id());
        let told: Vec<ToldAnswer> = thread::scope(|scope| {
            let callers = (0..9).map(|caller| {
                let router = deployment.callers[caller % 3];
                let (key, id) = (&key, &id);
                scope.spawn(move || post(router, key, id, "claim"))
            });
            let callers: Vec<_> = callers.collect();
            callers
                .into_iter()
                .map(|caller| caller.join().unwrap())
                .collect()
        });
        assert_eq!(runs_of(&deployment, &id).len(), 1, "{told:?}");
        assert!(told.iter().all(|answer| *answer == told[0]), "{told:?}");
        assert_eq!(told[0].verdict, "ran");
    }
}

#[test]
fn a_resend_over_a_new_connection_gets_the_kept_answer() {
    let deployment = start(3);
    let id = new_id();
    let first = post(deployment.callers[0], "seat", &id, "claim");
    assert_eq!(first.verdict, "ran");
    for router in &deployment.callers {
        assert_eq!(post(*router, "seat", &id, "claim"), first);
    }
    let other = post(deployment.callers[1], "seat", &id, "another claim");
    assert_eq!((other.status, &*other.reason), (400, "key-reused"));
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn a_request_whose_answer_was_cut_short_never_runs_again() {
    let deployment = start(2);
    for index in 0..2 {
        let cut_short = TargetFaults {
            cut_short: true,
            ..TargetFaults::default()
        };
        deployment.set_target_faults(index, &cut_short).unwrap();
    }
    let id = new_id();
    let first = post(deployment.callers[0], "seat", &id, "claim");
    assert_eq!((first.status, &*first.verdict), (504, "may-have-run"));
    for index in 0..2 {
        deployment
            .set_target_faults(index, &TargetFaults::default())
            .unwrap();
    }
    let again = post(deployment.callers[1], "seat", &id, "claim");
    assert_eq!((again.status, &*again.verdict), (504, "may-have-run"));
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn a_resend_after_a_drain_gets_the_answer_that_moved_along() {
    let mut deployment = start(3);
    let id = new_id();
    let first = post(deployment.callers[0], "seat", &id, "claim");
    assert_eq!(first.verdict, "ran");
    let owner = owner_of(&deployment, &id);
    deployment.routers[owner].terminate();
    deployment.routers[owner].wait().unwrap();
    let left = (owner + 1) % 3;
    let again = post(deployment.callers[left], "seat", &id, "claim");
    assert_eq!(again, first);
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn a_resend_during_a_drain_joins_the_claim_that_is_at_work() {
    let mut plan = DeploymentPlan::new("bookings", 2);
    plan.service_time = Duration::from_millis(2_500);
    let deployment = with_plan(plan);
    let probe = new_id();
    assert_eq!(
        post(deployment.callers[0], "seat", &probe, "probe").verdict,
        "ran"
    );
    let owner = owner_of(&deployment, &probe);
    let (owning, other) = (deployment.callers[owner], deployment.callers[1 - owner]);
    let id = new_id();
    let (first, again) = thread::scope(|scope| {
        let first = scope.spawn(|| post(owning, "seat", &id, "claim"));
        thread::sleep(Duration::from_millis(300));
        deployment.routers[owner].terminate();
        // Long enough that the owner has stopped to take new requests.
        thread::sleep(Duration::from_millis(1_500));
        let again = post(other, "seat", &id, "claim");
        (first.join().unwrap(), again)
    });
    assert_eq!(first.verdict, "ran");
    assert_eq!(again, first);
    assert_eq!(runs_of(&deployment, &id).len(), 1);
}

#[test]
fn a_resend_after_the_owner_was_killed_is_told_that_it_may_have_run() {
    let mut deployment = start(3);
    let (id, undated) = (new_id(), "order 17");
    for id in [&*id, undated] {
        assert_eq!(
            post(deployment.callers[0], "seat", id, "claim").verdict,
            "ran"
        );
    }
    let owner = owner_of(&deployment, &id);
    deployment.routers[owner].kill();
    let left = (owner + 1) % 3;
    for id in [&*id, undated] {
        let again = resend_until_owned(deployment.callers[left], id);
        assert_eq!(
            (&*again.verdict, &*again.reason),
            ("may-have-run", "record-lost")
        );
        assert_eq!(runs_of(&deployment, id).len(), 1);
    }
}

/// Sends again while the shard has no owner.
fn resend_until_owned(router: SocketAddr, id: &str) -> ToldAnswer {
    for _ in 0..100 {
        let answer = post(router, "seat", id, "claim");
        if answer.verdict != "not-run" {
            return answer;
        }
        thread::sleep(Duration::from_millis(100));
    }
    panic!("the shard has no owner for too long");
}

#[test]
fn a_full_record_refuses_claims_and_serves_reads() {
    let mut plan = DeploymentPlan::new("bookings", 1);
    plan.settings = json!({ "limits": { "record_entries": 2 } });
    let deployment = with_plan(plan);
    let router = deployment.callers[0];
    let ids: Vec<String> = (0..3).map(|_| new_id()).collect();
    let told: Vec<ToldAnswer> = ids
        .iter()
        .map(|id| post(router, "seat", id, "claim"))
        .collect();
    assert_eq!(told[1].verdict, "ran");
    assert_eq!((told[2].status, &*told[2].reason), (503, "record-full"));
    assert_eq!(runs_of(&deployment, &ids[2]).len(), 0);
    assert_eq!(post(router, "seat", &ids[0], "claim"), told[0]);
    let read = attohttpc::get(format!("http://{router}/bookings/seat"))
        .send()
        .unwrap();
    assert!(read.is_success());
}
