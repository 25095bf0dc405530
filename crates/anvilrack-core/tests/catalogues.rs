//! The catalogue pages in the documentation match the catalogues in the code.
//!
//! After changing a catalogue, regenerate the pages with
//! `ANVILRACK_WRITE_DOCS=1 cargo test -p anvilrack-core --test catalogues`.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use anvilrack_core::{EVENT_CATALOGUE, METRIC_CATALOGUE};

const EVENTS_HEADER: &str = "\
# Log events

In the log of `anvilrack-router`, a line that starts with `E` and a number is an event; its fields follow as
`name=value`. In the log of `anvilrack-node`, each line is a JSON object with the number under `event`. A
number never changes its meaning. `RUST_LOG` sets the log level (default: `info`). Each request is logged on
one line with its destination, the number of attempts, its verdict and its duration in microseconds.

| number | name | meaning |
|---|---|---|
";

const METRICS_HEADER: &str = "\
# Metrics

Every router serves these on its control port under `/metrics`, in the Prometheus text format. In that format,
dots in names become underscores, and units become suffixes.

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
    events_page_matches_the_catalogue: "EVENTS.md", events_page();
    metrics_page_matches_the_catalogue: "METRICS.md", metrics_page();
}

#[test]
fn event_numbers_are_unique_and_ascending() {
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
    rows.fold(EVENTS_HEADER.to_owned(), |page, row| page + &row)
}

fn metrics_page() -> String {
    let rows = METRIC_CATALOGUE.iter().map(|metric| {
        format!(
            "| `{}` | {} | {} |\n",
            metric.name, metric.unit, metric.meaning
        )
    });
    rows.fold(METRICS_HEADER.to_owned(), |page, row| page + &row)
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
        "docs/{page} is out of date; regenerate it as described at the top of this file"
    );
}
