//! Reads JSON with comments into a typed value and validates it.

use std::path::Path;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde::de::DeserializeOwned;

use crate::{FieldError, SettingsError};

/// Reads a file and validates its value with `check`.
///
/// # Errors
///
/// Returns a [`SettingsError`] when the file cannot be read, is not valid JSON with comments, or
/// has a field with an invalid value. The error names the file and, if known, the line and field.
pub fn read_checked<T: DeserializeOwned>(
    path: &Path,
    check: impl Fn(&T) -> Result<(), FieldError>,
) -> Result<T, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: file.clone(),
        source,
    })?;
    parse_checked(&file, &text, check)
}

/// Like [`read_checked`], but parses text that is already in memory; `file` is used in errors only.
///
/// # Errors
///
/// Returns a [`SettingsError`] when the text is not valid JSON with comments or has a field with an
/// invalid value. The error names the file and line.
pub fn parse_checked<T: DeserializeOwned>(
    file: &str,
    text: &str,
    check: impl Fn(&T) -> Result<(), FieldError>,
) -> Result<T, SettingsError> {
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
            .map_err(|error| SettingsError::Syntax {
                file: file.to_owned(),
                line: line_at(text, error.range().start),
                message: error.kind().to_string(),
            })?;
    let tree = parsed.value.ok_or_else(|| SettingsError::Syntax {
        file: file.to_owned(),
        line: 1,
        message: "the file is empty".to_owned(),
    })?;
    let field_error = |error: FieldError| SettingsError::Field {
        file: file.to_owned(),
        line: line_at(text, field_offset(&tree, &error.field)),
        field: error.field,
        message: error.message,
    };
    let json: serde_json::Value = tree.clone().into();
    let value: T = serde_path_to_error::deserialize(json).map_err(|error| {
        let field = error.path().to_string();
        field_error(FieldError::new(field, error.into_inner().to_string()))
    })?;
    check(&value).map_err(field_error)?;
    Ok(value)
}

/// Returns the offset of the field at `path`, or of its nearest parent that exists.
///
/// A required field that is missing is thus reported at the object that lacks it.
fn field_offset(tree: &Value<'_>, path: &str) -> usize {
    let mut node = tree;
    for step in path.split('.') {
        let next = match node {
            Value::Object(object) => object.get(step).map(|property| &property.value),
            Value::Array(array) => step
                .trim_matches(['[', ']'])
                .parse()
                .ok()
                .and_then(|index: usize| array.elements.get(index)),
            _ => None,
        };
        let Some(next) = next else { break };
        node = next;
    }
    node.range().start
}

/// Returns the one-based line number of a byte offset.
fn line_at(text: &str, offset: usize) -> usize {
    text.bytes()
        .take(offset)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}
