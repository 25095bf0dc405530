//! The server side next to the target: admission, fencing and the target's incarnations.

mod begun_requests;
mod body_room;
mod control_address;
mod target_door;
mod target_life;

pub use begun_requests::StartedRequests;
pub use body_room::BodyCapacity;
pub use control_address::serve_control;
pub use target_door::TargetGateway;
pub use target_life::{
    IncarnationState, IncarnationTracker, NotificationEffect, NotificationKind, TargetIncarnation,
    TargetNotification,
};
