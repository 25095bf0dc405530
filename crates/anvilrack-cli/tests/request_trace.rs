//! Tests of the cause of a request's outcome, derived from the log lines of several routers.

use anvilrack_cli::request_trace::RequestTrace;

const LOG: &str = r#"
12.1 router-b {"at_ms":1040,"node":"router-b","event":2301,"name":"admission.refused","request":"a1","running":12,"waiting":30}
12.2 router-a {"at_ms":1060,"node":"router-a","event":2401,"name":"request.answered","request":"a1","outcome":"not-run","why":"overloaded","place":"router-b","service":"bookings"}
{"at_ms":1000,"node":"router-a","event":2402,"name":"request.tried","request":"b2","fault":"link lost: reset"}
{"at_ms":1010,"node":"router-a","event":2401,"name":"request.answered","request":"b2","outcome":"may-have-run","why":"connection-lost","place":"router-c","service":"bookings"}
{"at_ms":1000,"node":"router-a","event":2401,"name":"request.answered","request":"c3","outcome":"not-run","why":"moving","key":4711,"place":"router-c","service":"views"}
{"at_ms":1000,"node":"router-a","event":2401,"name":"request.answered","request":"c3.1","outcome":"ran","why":null,"place":"router-c","service":"bookings"}
{"at_ms":1500,"node":"router-a","event":2404,"name":"request.left","request":"d4","waited_ms":420}
{"at_ms":1500,"node":"router-a","event":2002,"name":"request.refused","request":"e5","why":"no routes are known yet"}
{"at_ms":1500,"node":"router-a","event":2401,"name":"request.answered","request":"f6","outcome":"not-run","why":"outdated-route","place":"router-b","service":"bookings","routes_version":68}
{"at_ms":1,"node":"router-a","event":1304,"name":"cell.written"}
not a line of ours, request a1
"#;

macro_rules! cause_cases {
    ($($name:ident: $request:literal => $cause:literal;)*) => {$(
        #[test]
        fn $name() {
            let trace = RequestTrace::new($request, LOG.lines());
            assert_eq!(trace.cause(), $cause);
        }
    )*};
}

cause_cases! {
    refused_under_load:
        "a1" => "refused under load: router-b could not start the request in time (bookings)";
    uncertain_after_lost_connection:
        "b2" => "uncertain: the connection to router-c or its target was lost after sending";
    target_responded: "c3.1" => "the target of router-c responded";
    caller_disconnected: "d4" => "the caller disconnected after 420 ms";
    refused_by_callers_router: "e5" => "refused by the caller's router: no routes are known yet";
    routed_by_an_outdated_document:
        "f6" => "refused: router-a routed by site document 68, and router-b has a newer one";
    unknown_request: "zz" => "no log line records the outcome; the logs may cover another time";
}

#[test]
fn lines_are_in_time_order_and_include_nested_calls() {
    let trace = RequestTrace::new("a1", LOG.lines());
    let text = trace.text();
    let refused = text
        .find("admission.refused")
        .expect("the log line of the target's router");
    let answered = text
        .find("request.answered")
        .expect("the log line of the caller's router");
    assert!(refused < answered, "{text}");
    assert!(text.contains("running=12"), "{text}");
    let with_nested_calls = RequestTrace::new("c3", LOG.lines()).text();
    assert_eq!(with_nested_calls.lines().count(), 3, "{with_nested_calls}");
}
