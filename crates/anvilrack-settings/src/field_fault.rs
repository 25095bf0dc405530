//! What is wrong with a settings file.

use thiserror::Error;

/// One field that is not as it must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldFault {
    /// Path of the field, its steps joined by dots.
    pub field: String,
    /// What is wrong, and what is allowed.
    pub fault: String,
}

impl FieldFault {
    /// You name the field by its path and say what is allowed.
    pub fn new(field: impl Into<String>, fault: impl Into<String>) -> Self {
        Self {
            field: field.into(),
            fault: fault.into(),
        }
    }
}

/// A settings file that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not JSON with comments.
    #[error("{file}:{line}: not JSON with comments: {fault}")]
    Syntax {
        /// The file.
        file: String,
        /// Line, from one.
        line: usize,
        /// What the parser says.
        fault: String,
    },
    /// A field is not as it must be.
    #[error("{file}:{line}: field `{field}`: {fault}")]
    Field {
        /// The file.
        file: String,
        /// Line, from one.
        line: usize,
        /// Path of the field.
        field: String,
        /// What is wrong, and what is allowed.
        fault: String,
    },
}
