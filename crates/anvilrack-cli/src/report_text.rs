//! Formats a router's JSON responses as text.

use std::fmt::Write;

use serde_json::Value;

/// Width of the column of field labels, in characters.
const LABEL_WIDTH: usize = 18;

/// Formats the output of `anvilrack status`: the router, the cells and the problems found.
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
    push_cells(&mut text, array_field(status, "cells"));
    push_findings(&mut text, array_field(status, "findings"));
    text
}

/// Formats the output of `anvilrack explain`: a key's owner, the reason, how long it has owned the
/// key, and the shards that each member held when the owner was chosen.
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
    let shard_counts = array_field(explanation, "shards_by_member_then");
    if !shard_counts.is_empty() {
        text.push_str("shards held by each member at that time:\n");
    }
    for row in shard_counts {
        let _ = writeln!(
            text,
            "  {:<16}{:>6}",
            display_value(&row[0]),
            display_value(&row[1])
        );
    }
    text
}

fn push_fields(text: &mut String, value: &Value, names: &[&str]) {
    for name in names {
        let shown = display_value(&value[*name]);
        let label = name.replace('_', " ");
        let _ = writeln!(text, "{label:<LABEL_WIDTH$}{shown}");
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
        let standbys: Vec<_> = array_field(cell, "standbys")
            .iter()
            .map(display_value)
            .collect();
        let _ = writeln!(
            text,
            "{:<15}{:<15}{:<25}{:>7}{:>8}{:>9}",
            display_value(&cell["service"]),
            display_value(&cell["coordinator"]),
            standbys.join(", "),
            display_value(&cell["members"]),
            display_value(&cell["shards"]),
            display_value(&cell["unowned"]),
        );
    }
}

fn push_findings(text: &mut String, findings: &[Value]) {
    if findings.is_empty() {
        text.push_str("\nno problems found\n");
    }
    for finding in findings {
        let _ = writeln!(text, "\n! {}", display_value(&finding["what"]));
        let _ = writeln!(
            text,
            "  in progress: {}",
            display_value(&finding["being_done"])
        );
        let operator_action = display_value(&finding["for_a_person"]);
        if !operator_action.is_empty() {
            let _ = writeln!(text, "  operator action: {operator_action}");
        }
    }
}

fn array_field<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    value[name].as_array().map_or(&[], Vec::as_slice)
}

fn display_value(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
