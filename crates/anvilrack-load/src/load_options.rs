//! Options of a load.

use std::net::SocketAddr;
use std::time::Duration;

/// Requests to send, and how fast.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses that requests are sent to in turn: routers, or targets for a baseline without
    /// routers.
    pub routers: Vec<SocketAddr>,
    /// Service that the requests are for.
    pub service: String,
    /// Number of different keys.
    pub keys: u32,
    /// Share of requests that are claims (POST), from 0 to 1.
    pub claim_share: f64,
    /// Share of requests that go to the ten hottest keys, from 0 to 1.
    pub hot_share: f64,
    /// Bytes in the body of a claim.
    pub body_bytes: usize,
    /// Number of callers, each of which has at most one request in flight.
    pub workers: usize,
    /// Duration of the load.
    pub duration: Duration,
    /// Requests per second over all callers. If `None`, each caller sends its next request as soon
    /// as the response to the last one arrives.
    pub rate: Option<f64>,
    /// Timeout that each request carries.
    pub timeout: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}
