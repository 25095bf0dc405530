//! The at-most-once record: duplicates, stored responses, limits, transfers and losses.

use std::time::Duration;

use anvilrack_core::{
    AtMostOnceKey, AtMostOnceLimits, AtMostOnceRecord, AtMostOnceRequest, BootTime, RefusalReason,
    RequestVerdict, RunDecision, TargetAnswer, UncertainReason, first_sent_at,
};

const KEEP: Duration = Duration::from_mins(5);
const MARGIN: Duration = Duration::from_secs(2);

fn at(seconds: u64) -> BootTime {
    Duration::from_secs(10_000 + seconds)
}

fn new_record() -> AtMostOnceRecord {
    AtMostOnceRecord::new(AtMostOnceLimits::default())
}

fn new_request(id: &str, first_sent: Option<BootTime>) -> AtMostOnceRequest {
    AtMostOnceRequest {
        key: AtMostOnceKey {
            service: "bookings".into(),
            key: "seat-1".into(),
            idempotency_key: id.into(),
        },
        shard: 3,
        fingerprint: 11,
        first_sent,
        record_lost_at: None,
    }
}

fn answer(size: usize) -> RequestVerdict {
    RequestVerdict::Ran(TargetAnswer {
        status: 201,
        content_type: None,
        body: vec![7; size].into(),
    })
}

fn may_have_run(reason: UncertainReason) -> RunDecision {
    RunDecision::Answer(RequestVerdict::MayHaveRun(reason))
}

fn is_refused(step: &RunDecision, expected: RefusalReason) -> bool {
    matches!(step, RunDecision::Answer(RequestVerdict::NotRun(reason, _)) if *reason == expected)
}

macro_rules! record_cases {
    ($($name:ident($record:ident) $body:block)*) => {
        $(
            #[test]
            fn $name() {
                let mut $record = new_record();
                $body
            }
        )*
    };
}

record_cases! {
    a_duplicate_joins_then_gets_the_stored_answer(record) {
        let request = new_request("a", Some(at(0)));
        assert_eq!(record.begin(&request, at(0)), RunDecision::Run);
        assert_eq!(record.begin(&request, at(1)), RunDecision::Join);
        record.settle(&request.key, &answer(5), at(2));
        assert_eq!(record.begin(&request, at(3)), RunDecision::Answer(answer(5)));
    }

    a_request_with_unknown_outcome_does_not_run_again(record) {
        let request = new_request("a", Some(at(0)));
        record.begin(&request, at(0));
        let verdict = RequestVerdict::MayHaveRun(UncertainReason::ConnectionLost);
        record.settle(&request.key, &verdict, at(1));
        let expected = may_have_run(UncertainReason::ConnectionLost);
        assert_eq!(record.begin(&request, at(2)), expected);
    }

    a_request_that_has_not_run_may_run(record) {
        let request = new_request("a", Some(at(0)));
        record.begin(&request, at(0));
        let verdict = RequestVerdict::NotRun(RefusalReason::TargetRefused, MARGIN);
        record.settle(&request.key, &verdict, at(1));
        assert_eq!(record.entries(), 0);
        assert_eq!(record.bytes(), 0);
        assert_eq!(record.begin(&request, at(2)), RunDecision::Run);
    }

    a_key_used_for_a_different_request_is_refused(record) {
        let request = new_request("a", Some(at(0)));
        record.begin(&request, at(0));
        let other = AtMostOnceRequest { fingerprint: 12, ..request };
        assert!(is_refused(&record.begin(&other, at(1)), RefusalReason::KeyReused));
    }

    an_entry_is_kept_for_the_retention_time(record) {
        let request = new_request("not-a-uuid", None);
        record.begin(&request, at(0));
        record.settle(&request.key, &answer(5), at(10));
        let kept_until = at(10) + KEEP;
        assert_eq!(record.begin(&request, kept_until), RunDecision::Answer(answer(5)));
        assert_eq!(record.begin(&request, kept_until + Duration::from_millis(1)), RunDecision::Run);
    }

    a_request_first_sent_before_the_retention_time_is_not_run(record) {
        let request = new_request("a", Some(at(0)));
        let expected = may_have_run(UncertainReason::RecordLost);
        assert_eq!(record.begin(&request, at(0) + KEEP), expected);
        let fresh = new_request("b", Some(at(0) + KEEP));
        assert_eq!(record.begin(&fresh, at(0) + KEEP), RunDecision::Run);
    }

    only_the_outcome_of_a_long_answer_is_stored(record) {
        let request = new_request("a", Some(at(0)));
        record.begin(&request, at(0));
        record.settle(&request.key, &answer(300 * 1024), at(1));
        let expected = may_have_run(UncertainReason::AnswerTooLarge);
        assert_eq!(record.begin(&request, at(2)), expected);
    }

    requests_sent_before_a_loss_are_not_run(record) {
        let lost = |id: &str, first_sent| AtMostOnceRequest {
            record_lost_at: Some(at(100)),
            ..new_request(id, first_sent)
        };
        let expected = may_have_run(UncertainReason::RecordLost);
        assert_eq!(record.begin(&lost("old", Some(at(90))), at(101)), expected);
        assert_eq!(record.begin(&lost("near", Some(at(101))), at(101)), expected);
        assert_eq!(record.begin(&lost("form", None), at(101)), expected);
        assert_eq!(record.begin(&lost("new", Some(at(103))), at(103)), RunDecision::Run);
        assert_eq!(record.begin(&lost("form", None), at(100) + KEEP), RunDecision::Run);
    }

    export_contains_entries_and_an_earlier_loss(record) {
        let done = AtMostOnceRequest {
            record_lost_at: Some(at(100)),
            ..new_request("done", Some(at(110)))
        };
        let in_progress = new_request("open", Some(at(111)));
        record.begin(&done, at(110));
        record.settle(&done.key, &answer(5), at(110));
        record.begin(&in_progress, at(111));
        let exported = record.export(3, Some(at(100)), at(112));
        assert_eq!(record.export(4, None, at(112)).runs, vec![]);
        let mut next = new_record();
        assert!(next.import(3, exported, at(113)));
        assert_eq!(next.begin(&done, at(114)), RunDecision::Answer(answer(5)));
        assert_eq!(next.begin(&in_progress, at(114)), may_have_run(UncertainReason::TimedOut));
        let old = new_request("old", Some(at(90)));
        assert_eq!(next.begin(&old, at(114)), may_have_run(UncertainReason::RecordLost));
    }

    look_up_adds_no_entry(record) {
        let request = new_request("a", Some(at(0)));
        assert_eq!(record.look_up(&request.key, 11), None);
        assert_eq!(record.entries(), 0);
        record.begin(&request, at(0));
        assert_eq!(record.look_up(&request.key, 11), Some(RunDecision::Join));
        record.settle(&request.key, &answer(5), at(1));
        let expected = RunDecision::Answer(answer(5));
        assert_eq!(record.look_up(&request.key, 11), Some(expected));
    }

    a_stored_answer_is_not_replaced_by_an_import(record) {
        let request = new_request("a", Some(at(0)));
        record.begin(&request, at(0));
        let in_progress = record.export(3, None, at(1));
        record.settle(&request.key, &answer(5), at(2));
        assert!(record.import(3, in_progress, at(3)));
        assert_eq!(record.begin(&request, at(4)), RunDecision::Answer(answer(5)));
    }
}

#[test]
fn a_full_record_refuses_requests_and_keeps_its_entries() {
    let limits = AtMostOnceLimits {
        entries: 2,
        ..AtMostOnceLimits::default()
    };
    let mut record = AtMostOnceRecord::new(limits);
    let (first, second) = (new_request("a", Some(at(0))), new_request("b", Some(at(0))));
    for request in [&first, &second] {
        record.begin(request, at(0));
        record.settle(&request.key, &answer(5), at(0));
    }
    let third = record.begin(&new_request("c", Some(at(1))), at(1));
    assert!(is_refused(&third, RefusalReason::RecordFull));
    assert_eq!(record.begin(&first, at(1)), RunDecision::Answer(answer(5)));
    let exported = new_record_with("d").export(3, None, at(1));
    assert!(!record.import(3, exported, at(1)));
    let later = at(1) + KEEP;
    assert_eq!(
        record.begin(&new_request("c", Some(later)), later),
        RunDecision::Run
    );
}

fn new_record_with(id: &str) -> AtMostOnceRecord {
    let mut record = new_record();
    record.begin(&new_request(id, Some(at(0))), at(0));
    record
}

#[test]
fn the_size_limit_covers_pending_answers() {
    let limits = AtMostOnceLimits {
        bytes: 1024 * 1024,
        ..AtMostOnceLimits::default()
    };
    let mut record = AtMostOnceRecord::new(limits);
    let ids = (0..100).map(|number| format!("id-{number}"));
    let new_requests: Vec<_> = ids.map(|id| new_request(&id, Some(at(0)))).collect();
    let admitted = new_requests
        .iter()
        .filter(|request| record.begin(request, at(0)) == RunDecision::Run);
    let admitted: Vec<_> = admitted.collect();
    assert_eq!(admitted.len(), 3);
    for request in admitted {
        record.settle(&request.key, &answer(256 * 1024), at(1));
    }
    assert!(record.bytes() <= limits.bytes);
}

#[test]
fn only_uuids_of_version_7_contain_a_send_time() {
    let id = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let created_at = Duration::from_secs(1_645_557_742);
    let sent = first_sent_at(id, created_at + Duration::from_secs(5), at(100), MARGIN);
    assert_eq!(sent, Some(at(95)));
    let future = first_sent_at(
        id,
        created_at.saturating_sub(Duration::from_secs(3)),
        at(100),
        MARGIN,
    );
    assert_eq!(future, None);
    let random = "f81d4fae-7dec-41d0-a765-00a0c91e6bf6";
    assert_eq!(first_sent_at(random, created_at, at(100), MARGIN), None);
    assert_eq!(first_sent_at("order 17", created_at, at(100), MARGIN), None);
}
