//! Settings of a process and the operators' configuration file, both JSON with comments.
//!
//! Every field is checked before anything starts. A fault names the file, the line, the field and
//! what is allowed, so that you can mend it without reading this code.
//!
//! See also [`RouterSettings`] and [`config_file::read_config`].

mod checked_file;
pub mod config_file;
mod field_fault;
mod load_policies;
mod router_settings;

pub use checked_file::read_checked;
pub use field_fault::{FieldFault, SettingsError};
pub use load_policies::{AdmissionMode, ChoiceMode, LoadPolicies, PlacementMode};
pub use router_settings::{RouterLimits, RouterSettings};
