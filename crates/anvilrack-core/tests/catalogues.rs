//! The catalogues in the docs say what the code says.
//!
//! After a change of a catalogue, write the pages anew with
//! `ANVILRACK_WRITE_DOCS=1 cargo test -p anvilrack-core --test catalogues`.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use anvilrack_core::{EVENT_CATALOGUE, METRIC_CATALOGUE};

const EVENTS_HEAD: &str = "\
# Log events

In the log of `anvilrack-router` a line that starts with `E` and a number is an event, and its fields follow
as `name=value`; in that of `anvilrack-node` each line is a JSON object with the number under `event`. A
number never changes its meaning. `RUST_LOG` sets the level (`info` unless you
set it). Requests are told by one line each: where it went, how often it was tried, its verdict and
its time in microseconds.

| number | name | meaning |
|---|---|---|
";

const METRICS_HEAD: &str = "\
# Metrics

Every router offers these on its control port under `/metrics`, in the text form that Prometheus reads; dots
become underscores there, and units become suffixes.

| name | unit | meaning |
|---|---|---|
";

macro_rules! page_cases {
    ($($name:ident: $page:literal, $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_page($page, &$text);
            }
        )*
    };
}

page_cases! {
    events_page_holds_the_catalogue: "EVENTS.md", events_page();
    metrics_page_holds_the_catalogue: "METRICS.md", metrics_page();
}

#[test]
fn event_numbers_are_unique_and_rise() {
    let numbers: Vec<_> = EVENT_CATALOGUE.iter().map(|event| event.number).collect();
    assert!(
        numbers.is_sorted_by(|earlier, later| earlier < later),
        "{numbers:?}"
    );
    let names: BTreeSet<_> = EVENT_CATALOGUE.iter().map(|event| event.name).collect();
    assert_eq!(names.len(), numbers.len());
}

fn events_page() -> String {
    let rows = EVENT_CATALOGUE.iter().map(|event| {
        format!(
            "| E{} | {} | {} |\n",
            event.number, event.name, event.meaning
        )
    });
    rows.fold(EVENTS_HEAD.to_owned(), |page, row| page + &row)
}

fn metrics_page() -> String {
    let rows = METRIC_CATALOGUE.iter().map(|metric| {
        format!(
            "| `{}` | {} | {} |\n",
            metric.name, metric.unit, metric.meaning
        )
    });
    rows.fold(METRICS_HEAD.to_owned(), |page, row| page + &row)
}

fn assert_page(page: &str, expected: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(page);
    if std::env::var_os("ANVILRACK_WRITE_DOCS").is_some() {
        fs::write(&path, expected).unwrap();
    }
    let found = fs::read_to_string(&path).unwrap();
    assert_eq!(
        found, expected,
        "docs/{page} is out of date; see the head of this file"
    );
}
