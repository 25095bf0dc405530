//! A small deployment as real processes on loopback, for failure tests.
//!
//! ```no_run
//! use anvilrack_harness::Deployment;
//!
//! let mut deployment = Deployment::new("bookings", 6).unwrap();
//! deployment.await_ready().unwrap();
//! deployment.routers[0].kill();
//! ```
//!
//! The binaries must have been built: `cargo build --workspace --bins`, which `scripts/check` does.

mod child_process;
mod deployment;
mod free_ports;

pub use child_process::ChildProcess;
pub use deployment::{Deployment, DeploymentPlan};
pub use free_ports::free_port;
