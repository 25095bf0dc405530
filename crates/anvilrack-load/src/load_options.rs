//! What load to make.

use std::net::SocketAddr;
use std::time::Duration;

/// One load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Where requests go, one router after another; targets may stand here for a baseline.
    pub routers: Vec<SocketAddr>,
    /// The service asked for.
    pub service: String,
    /// Number of different keys.
    pub keys: u32,
    /// Share of requests that are claims (POST), from 0 to 1.
    pub claim_share: f64,
    /// Share of requests that go to the ten hottest keys, from 0 to 1.
    pub hot_share: f64,
    /// Bytes in the body of a claim.
    pub body_bytes: usize,
    /// Callers that work side by side.
    pub workers: usize,
    /// How long the load lasts.
    pub duration: Duration,
    /// Requests a second over all callers; none means as fast as answers come.
    pub rate: Option<f64>,
    /// Time that each request allows.
    pub timeout: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}
