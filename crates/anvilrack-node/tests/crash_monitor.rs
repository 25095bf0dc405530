//! Which requests count as running when the local target crashes.

use std::time::Duration;

use anvilrack_core::CrashReport;
use anvilrack_node::RequestContent;
use anvilrack_node::guard::{CrashMonitor, StoredCrashes};
use anvilrack_node::held_body::HeldBody;
use bytes::Bytes;

const LEFT: u64 = 1;
const COMPLETED: u64 = 2;
const INTERRUPTED: u64 = 3;

/// A caller that left before the crash took the evidence against its request along.
#[test]
fn request_whose_caller_left_before_the_crash_is_a_suspect() {
    let monitor = CrashMonitor::new("router-1/1");
    drop(monitor.begin_run(LEFT));
    monitor.begin_run(COMPLETED).close_completed();
    assert_eq!(monitor.begin_run(INTERRUPTED).close_crashed(), 1);
    assert!(monitor.is_suspect(LEFT));
    assert!(monitor.is_suspect(INTERRUPTED));
    assert!(!monitor.is_suspect(COMPLETED));
}

#[test]
fn completed_run_clears_a_suspect() {
    let monitor = CrashMonitor::new("router-1/1");
    assert_eq!(monitor.begin_run(INTERRUPTED).close_crashed(), 1);
    monitor.begin_run(INTERRUPTED).close();
    assert!(monitor.is_suspect(INTERRUPTED));
    monitor.begin_run(INTERRUPTED).close_completed();
    assert!(!monitor.is_suspect(INTERRUPTED));
}

#[test]
fn exchange_passes_on_what_the_other_router_lacks() {
    let [first, second] = ["router-1/1", "router-2/1"].map(CrashMonitor::new);
    assert_eq!(first.begin_run(INTERRUPTED).close_crashed(), 1);
    assert_eq!(second.begin_run(INTERRUPTED).close_crashed(), 1);
    let report = first.exchange(&second.exchange(&CrashReport::default()));
    second.exchange(&report);
    for monitor in [&first, &second] {
        assert!(monitor.remaining_quarantine(INTERRUPTED).is_some());
    }
}

macro_rules! restart_cases {
    ($($name:ident: stored at $stored_s:literal s, read at $read_s:literal s, quarantined for $left_s:literal s;)*) => {
        $(
            #[test]
            fn $name() {
                let [first, second] = ["router-1/1", "router-2/1"].map(CrashMonitor::new);
                assert_eq!(first.begin_run(INTERRUPTED).close_crashed(), 1);
                assert_eq!(second.begin_run(INTERRUPTED).close_crashed(), 1);
                second.exchange(&first.exchange(&CrashReport::default()));
                let stored = StoredCrashes::new(&second.quarantined_crashes(), $stored_s * 1_000);
                let restarted = CrashMonitor::new("router-1/2");
                restarted.merge_earlier_crashes(&stored.report($read_s * 1_000));
                assert!(restarted.has_joined());
                let left = restarted.remaining_quarantine(INTERRUPTED).unwrap_or_default();
                let error = left.abs_diff(Duration::from_secs($left_s));
                assert!(error < Duration::from_secs(1), "{left:?}");
            }
        )*
    };
}

restart_cases! {
    router_that_restarts_goes_on_with_a_stored_quarantine: stored at 10_000 s, read at 10_030 s, quarantined for 90 s;
    stored_quarantine_ends_while_no_router_runs: stored at 10_000 s, read at 10_130 s, quarantined for 0 s;
    clock_that_was_set_back_does_not_prolong_a_stored_quarantine: stored at 10_000 s, read at 5_000 s, quarantined for 120 s;
}

/// Routers that all start at once know nothing, so none may take the word of another one.
#[test]
fn reply_of_a_router_that_has_just_started_does_not_count_as_complete() {
    let [first, second] = ["router-1/1", "router-2/1"].map(CrashMonitor::new);
    first.merge_reply(
        &second.exchange(&CrashReport::default()),
        second.knows_earlier_crashes(),
    );
    assert!(!first.has_joined());
    second.merge_earlier_crashes(&CrashReport::default());
    first.merge_reply(
        &second.exchange(&CrashReport::default()),
        second.knows_earlier_crashes(),
    );
    assert!(first.has_joined());
}

fn body(text: &'static str) -> HeldBody {
    Bytes::from(text).into()
}

macro_rules! content_cases {
    ($($name:ident: $change:expr, same $same:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let headers = [
                    ("host".to_owned(), b"trips.example".to_vec()),
                    ("x-request-id".to_owned(), b"first".to_vec()),
                ];
                let (body, next_body) = (body("text"), body("next"));
                let mut content = RequestContent {
                    service: "views",
                    method: "PUT",
                    path: "/view/x?page=2",
                    headers: &headers,
                    key: Some(7),
                    body: &body,
                };
                let fingerprint = content.fingerprint();
                let resent_headers = [
                    ("host".to_owned(), b"trips.example".to_vec()),
                    ("x-request-id".to_owned(), b"second".to_vec()),
                ];
                content.headers = &resent_headers;
                let change: for<'a> fn(&mut RequestContent<'a>, &'a HeldBody) = $change;
                change(&mut content, &next_body);
                assert_eq!(content.fingerprint() == fingerprint, $same);
            }
        )*
    };
}

content_cases! {
    resend_under_a_new_id_has_the_same_fingerprint: |_, _| {}, same true;
    other_service_has_another_fingerprint: |content, _| content.service = "bookings", same false;
    other_method_has_another_fingerprint: |content, _| content.method = "GET", same false;
    other_host_has_another_fingerprint: |content, _| content.headers = &[], same false;
    other_path_has_another_fingerprint: |content, _| content.path = "/view/x?page=3", same false;
    other_key_has_another_fingerprint: |content, _| content.key = Some(8), same false;
    missing_key_has_another_fingerprint: |content, _| content.key = None, same false;
    other_body_has_another_fingerprint: |content, next| content.body = next, same false;
}
