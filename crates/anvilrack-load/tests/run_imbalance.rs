//! Tests of the imbalance of runs, the gaps between responses for a key, and the load shapes.

use std::time::Duration;

use anvilrack_load::{
    LOAD_SHAPES, LoadHistory, LoadOutcome, LoadRecord, LoadShape, RunImbalance,
    longest_response_gaps,
};

macro_rules! imbalance_cases {
    ($($name:ident: $runs:expr => $max:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let imbalance = RunImbalance::new(&$runs);
                assert!((imbalance.max_over_mean - $max).abs() < 1e-9, "{imbalance:?}");
            }
        )*
    };
}

imbalance_cases! {
    even_runs_have_no_imbalance: [100, 100, 100] => 1.0;
    all_runs_on_one_of_three_targets: [300, 0, 0] => 3.0;
    targets_without_runs_have_no_imbalance: [0, 0] => 0.0;
    no_targets_have_no_imbalance: [] => 0.0;
}

fn response_at(ms: u64, told: LoadOutcome) -> LoadRecord {
    LoadRecord {
        method: "GET",
        key: "key-1".to_owned(),
        id: ms.to_string(),
        told,
        sent_at: Duration::from_millis(ms),
        latency: Duration::from_millis(1),
    }
}

macro_rules! gap_cases {
    ($($name:ident: $records:expr => $gap_ms:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let records = Vec::from($records);
                let elapsed = Duration::from_secs(1);
                let gaps = longest_response_gaps(&LoadHistory { records, elapsed });
                let longest = gaps.get("key-1").copied().unwrap_or_default();
                assert_eq!(longest, Duration::from_millis($gap_ms));
            }
        )*
    };
}

use LoadOutcome::{MayHaveRun, NotRun, Ran};

gap_cases! {
    longest_gap_is_returned:
        [response_at(0, Ran), response_at(10, Ran), response_at(40, Ran)] => 30;
    records_may_come_in_any_order:
        [response_at(40, Ran), response_at(0, Ran), response_at(10, Ran)] => 30;
    refusals_do_not_end_a_gap:
        [response_at(0, Ran), response_at(10, NotRun), response_at(40, Ran)] => 40;
    uncertain_outcomes_do_not_end_a_gap:
        [response_at(0, Ran), response_at(10, MayHaveRun), response_at(40, Ran)] => 40;
    single_response_has_no_gap: [response_at(40, Ran)] => 0;
}

#[test]
fn each_shape_is_found_by_its_name() {
    for shape in LOAD_SHAPES {
        let found = LoadShape::by_name(shape.name).unwrap();
        let loads = found.loads(&[([127, 0, 0, 1], 1).into()], 10.0, Duration::from_secs(1));
        assert_eq!(loads.len(), shape.services.len());
    }
    assert!(LoadShape::by_name("nowhere").is_none());
}
