//! A router's answers as text for people.

use std::fmt::Write;

use serde_json::Value;

/// Width of the names of fields.
const NAME_WIDTH: usize = 18;

/// `anvilrack status`: the router, the cells, and what is not as it should be.
#[must_use]
pub fn status_text(status: &Value) -> String {
    let mut text = String::new();
    let fields = [
        "node",
        "service",
        "region",
        "failure_domain",
        "target_ready",
        "leaving",
    ];
    push_fields(&mut text, status, &fields);
    push_fields(
        &mut text,
        status,
        &["held_shards", "in_flight", "lease_left_ms"],
    );
    push_fields(&mut text, status, &["coordinates", "config_revision"]);
    push_cells(&mut text, rows_of(status, "cells"));
    push_findings(&mut text, rows_of(status, "findings"));
    text
}

/// `anvilrack explain`: who owns a key, why, since when and what else was weighed.
#[must_use]
pub fn explanation_text(explanation: &Value) -> String {
    let mut text = String::new();
    let fields = [
        "service",
        "key",
        "shard",
        "owner",
        "owner_address",
        "token",
        "why",
    ];
    push_fields(&mut text, explanation, &fields);
    push_fields(
        &mut text,
        explanation,
        &["owner_for_seconds", "owner_before", "coordinator"],
    );
    let weighed = rows_of(explanation, "shards_by_member_then");
    if !weighed.is_empty() {
        text.push_str("shards held by each member at that time:\n");
    }
    for row in weighed {
        let _ = writeln!(text, "  {:<16}{:>6}", plain(&row[0]), plain(&row[1]));
    }
    text
}

fn push_fields(text: &mut String, value: &Value, names: &[&str]) {
    for name in names {
        let shown = plain(&value[*name]);
        let label = name.replace('_', " ");
        let _ = writeln!(text, "{label:<NAME_WIDTH$}{shown}");
    }
}

fn push_cells(text: &mut String, cells: &[Value]) {
    if cells.is_empty() {
        return;
    }
    text.push_str(
        "\nservice        coordinator    standbys                 members  shards  unowned\n",
    );
    for cell in cells {
        let standbys: Vec<_> = rows_of(cell, "standbys").iter().map(plain).collect();
        let _ = writeln!(
            text,
            "{:<15}{:<15}{:<25}{:>7}{:>8}{:>9}",
            plain(&cell["service"]),
            plain(&cell["coordinator"]),
            standbys.join(", "),
            plain(&cell["members"]),
            plain(&cell["shards"]),
            plain(&cell["unowned"]),
        );
    }
}

fn push_findings(text: &mut String, findings: &[Value]) {
    if findings.is_empty() {
        text.push_str("\nnothing is unwell\n");
    }
    for finding in findings {
        let _ = writeln!(text, "\n! {}", plain(&finding["what"]));
        let _ = writeln!(text, "  being done: {}", plain(&finding["being_done"]));
        let person = plain(&finding["for_a_person"]);
        if !person.is_empty() {
            let _ = writeln!(text, "  for a person: {person}");
        }
    }
}

fn rows_of<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    value[name].as_array().map_or(&[], Vec::as_slice)
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
