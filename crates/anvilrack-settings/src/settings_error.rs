//! Errors in settings and configuration files.

use thiserror::Error;

/// A field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, with dots between its parts, such as `limits.body_bytes`.
    pub field: String,
    /// What is wrong, and which values are allowed.
    pub message: String,
}

impl FieldError {
    /// Creates an error for the field at the dotted path `field`; `message` says which values are
    /// allowed.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            message: message.into(),
        }
    }
}

/// Why a settings or configuration file was rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON with comments.
    #[error("{file}:{line}: invalid JSON with comments: {message}")]
    Syntax {
        /// Path of the file.
        file: String,
        /// Line number, starting at one.
        line: usize,
        /// Message of the parser.
        message: String,
    },
    /// A field has an invalid value, a wrong type, or is missing or unknown.
    #[error("{file}:{line}: field `{field}`: {message}")]
    Field {
        /// Path of the file.
        file: String,
        /// Line number, starting at one.
        line: usize,
        /// Path of the field, with dots between its parts.
        field: String,
        /// What is wrong, and which values are allowed.
        message: String,
    },
}
