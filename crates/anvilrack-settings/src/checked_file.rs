//! Reading a file of JSON with comments into a checked value.

use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde::de::DeserializeOwned;

use crate::{FieldFault, SettingsError};

/// Reads a file, and checks it with `check`.
///
/// # Errors
///
/// [`SettingsError`] with the file, the line and the field.
pub fn read_checked<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Result<(), FieldFault>,
) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse_checked(&file, &text, check)
}

/// Like [`read_checked`], over text that is already in memory.
///
/// # Errors
///
/// [`SettingsError`] with the file, the line and the field.
pub fn parse_checked<T: DeserializeOwned>(
    file: &str,
    text: &str,
    check: impl Fn(&T) -> Result<(), FieldFault>,
) -> Result<T, SettingsError> {
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
            .map_err(|error| SettingsError::Syntax {
                file: file.to_owned(),
                line: line_of(text, error.range().start),
                fault: error.kind().to_string(),
            })?;
    let tree = parsed.value.ok_or_else(|| SettingsError::Syntax {
        file: file.to_owned(),
        line: 1,
        fault: "the file is empty".to_owned(),
    })?;
    let field_error = |fault: FieldFault| SettingsError::Field {
        file: file.to_owned(),
        line: line_of(text, offset_of(&tree, &fault.field)),
        field: fault.field,
        fault: fault.fault,
    };
    let json: serde_json::Value = tree.clone().into();
    let value: T = serde_path_to_error::deserialize(json).map_err(|error| {
        let field = error.path().to_string();
        field_error(FieldFault::new(field, error.into_inner().to_string()))
    })?;
    check(&value).map_err(field_error)?;
    Ok(value)
}

/// Where the field of that path begins, or its nearest parent that is there.
fn offset_of(tree: &Value<'_>, path: &str) -> usize {
    let mut at = tree;
    for step in path.split('.') {
        let next = match at {
            Value::Object(object) => object.get(step).map(|property| &property.value),
            Value::Array(array) => step
                .trim_matches(['[', ']'])
                .parse()
                .ok()
                .and_then(|index: usize| array.elements.get(index)),
            _ => None,
        };
        let Some(next) = next else { break };
        at = next;
    }
    at.range().start
}

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes()
        .take(offset)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}
