//! Which requests count as running when the local target crashes.

use anvilrack_core::CrashReport;
use anvilrack_node::RequestContent;
use anvilrack_node::guard::CrashMonitor;

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

macro_rules! content_cases {
    ($($name:ident: $change:expr, same $same:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let headers = [
                    ("host".to_owned(), b"trips.example".to_vec()),
                    ("x-request-id".to_owned(), b"first".to_vec()),
                ];
                let mut content = RequestContent {
                    service: "views",
                    method: "PUT",
                    path: "/view/x?page=2",
                    headers: &headers,
                    key: Some(7),
                    body: b"text",
                };
                let fingerprint = content.fingerprint();
                let resent_headers = [
                    ("host".to_owned(), b"trips.example".to_vec()),
                    ("x-request-id".to_owned(), b"second".to_vec()),
                ];
                content.headers = &resent_headers;
                let change: fn(&mut RequestContent<'_>) = $change;
                change(&mut content);
                assert_eq!(content.fingerprint() == fingerprint, $same);
            }
        )*
    };
}

content_cases! {
    resend_under_a_new_id_has_the_same_fingerprint: |_| {}, same true;
    other_service_has_another_fingerprint: |content| content.service = "bookings", same false;
    other_method_has_another_fingerprint: |content| content.method = "GET", same false;
    other_host_has_another_fingerprint: |content| content.headers = &[], same false;
    other_path_has_another_fingerprint: |content| content.path = "/view/x?page=3", same false;
    other_key_has_another_fingerprint: |content| content.key = Some(8), same false;
    missing_key_has_another_fingerprint: |content| content.key = None, same false;
    other_body_has_another_fingerprint: |content| content.body = b"next", same false;
}
