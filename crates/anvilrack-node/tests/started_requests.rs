//! A response to a caller says "not run" only if its request has not started and never will.

use std::time::Duration;

use anvilrack_node::guard::StartedRequests;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn cancelled_request_never_starts() {
    let mut requests = StartedRequests::default();
    assert!(requests.cancel_before_start(&"r1".into(), NOW));
    assert!(!requests.mark_started(&"r1".into(), NOW));
}

#[test]
fn started_request_cannot_be_cancelled() {
    let mut requests = StartedRequests::default();
    assert!(requests.mark_started(&"r1".into(), NOW));
    assert!(!requests.cancel_before_start(&"r1".into(), NOW + Duration::from_secs(5)));
}

#[test]
fn cancelling_twice_gives_the_same_result() {
    let mut requests = StartedRequests::default();
    assert!(requests.cancel_before_start(&"r1".into(), NOW));
    assert!(requests.cancel_before_start(&"r1".into(), NOW));
}

#[test]
fn cancellation_outlasts_every_request_timeout() {
    let mut requests = StartedRequests::default();
    requests.cancel_before_start(&"r1".into(), NOW);
    // The maximum request timeout of the deployments is 12 seconds.
    assert!(!requests.mark_started(&"r1".into(), NOW + Duration::from_secs(12)));
}
