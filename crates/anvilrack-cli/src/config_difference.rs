//! What differs between two configurations, line by line.

use std::collections::BTreeMap;

use anvilrack_core::ConfigDocument;
use serde_json::Value;

/// One line for each field that differs: `path: before -> after`.
#[must_use]
pub fn difference(before: &ConfigDocument, after: &ConfigDocument) -> String {
    let before = fields_of(before);
    let after = fields_of(after);
    let mut paths: Vec<_> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    let changed = paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path));
    let text = |value: Option<&String>| value.map_or("-".to_owned(), Clone::clone);
    let lines = changed.map(|path| {
        format!(
            "  {path}: {} -> {}",
            text(before.get(path)),
            text(after.get(path))
        )
    });
    lines.collect::<Vec<_>>().join("\n")
}

fn fields_of(document: &ConfigDocument) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    if let Ok(value) = serde_json::to_value(document) {
        collect("", &value, &mut fields);
    }
    fields
}

fn collect(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
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
        collect(&path, value, fields);
    }
}
