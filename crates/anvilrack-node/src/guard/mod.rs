//! The server side next to the target: admission, fencing and the target's incarnations.

mod begun_requests;
mod body_room;
mod control_address;
mod target_door;
mod target_life;

pub use begun_requests::BegunRequests;
pub use body_room::BodyRoom;
pub use control_address::serve_control;
pub use target_door::TargetDoor;
pub use target_life::{LifeState, NoticeEffect, NoticeKind, TargetLife, TargetLives, TargetNotice};
