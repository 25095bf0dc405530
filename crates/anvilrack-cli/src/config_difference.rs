//! Differences between two configurations, one line for each field.

use std::collections::BTreeMap;

use anvilrack_core::ConfigDocument;
use serde_json::Value;

/// Returns one line for each field that differs, as `path: before -> after`, with `-` for a missing
/// field.
#[must_use]
pub fn difference(before: &ConfigDocument, after: &ConfigDocument) -> String {
    let before = flatten(before);
    let after = flatten(after);
    let mut paths: Vec<_> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    let changed = paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path));
    let text_or_dash = |value: Option<&String>| value.map_or("-".to_owned(), Clone::clone);
    let lines = changed.map(|path| {
        format!(
            "  {path}: {} -> {}",
            text_or_dash(before.get(path)),
            text_or_dash(after.get(path))
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Returns the JSON text of each field by its dotted path; arrays count as single values.
fn flatten(document: &ConfigDocument) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    if let Ok(value) = serde_json::to_value(document) {
        collect_fields("", &value, &mut fields);
    }
    fields
}

fn collect_fields(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    let Value::Object(object) = value else {
        fields.insert(path.to_owned(), value.to_string());
        return;
    };
    for (name, value) in object {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        collect_fields(&path, value, fields);
    }
}
