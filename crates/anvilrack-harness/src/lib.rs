//! Starts a small deployment as real processes on loopback, for failure tests.
//!
//! ```no_run
//! use anvilrack_harness::Deployment;
//!
//! let mut deployment = Deployment::new("bookings", 6).unwrap();
//! deployment.await_ready().unwrap();
//! deployment.routers[0].kill();
//! ```
//!
//! The binaries must be built first with `cargo build --workspace --bins`; `scripts/check` does so.

mod child_process;
mod deployment;
mod failure_trial;
mod free_ports;
mod key_probe;
mod loss_trial;
mod tcp_relay;
mod unavailability_probe;

pub use child_process::ChildProcess;
pub use deployment::{Deployment, DeploymentPlan};
pub use failure_trial::FailureTrial;
pub use free_ports::free_port;
pub use key_probe::KeyProbe;
pub use loss_trial::{LossKind, LossOutcome, run_loss_trial};
pub use tcp_relay::TcpRelay;
pub use unavailability_probe::UnavailabilityProbe;
