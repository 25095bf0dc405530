//! Process settings and the operators' configuration file, both in JSON with comments.
//!
//! Every field is validated before anything starts. An error names the file, the line, the field
//! and the allowed values, so that it can be fixed without reading this code.
//!
//! See [`RouterSettings`] and [`config_file::read_config`].

mod checked_file;
pub mod config_file;
mod load_policies;
mod router_settings;
mod settings_error;

pub use checked_file::read_checked;
pub use load_policies::{AdmissionMode, LoadPolicies, PlacementMode, TargetSelectionMode};
pub use router_settings::{RouterLimits, RouterSettings};
pub use settings_error::{FieldError, SettingsError};
