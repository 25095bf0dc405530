//! Random choice of the requests to send.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use crate::LoadOptions;

/// Number of keys that receive the hot share of the load.
const HOT_KEYS: u32 = 10;

/// Generates one caller's requests; the same seed gives the same requests, except for their ids.
#[derive(Debug)]
pub struct RequestPlan {
    random: StdRng,
    options: LoadOptions,
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// HTTP method.
    pub method: &'static str,
    /// Key that the request is for.
    pub key: String,
    /// Unique id, sent as the idempotency key.
    pub id: String,
    /// Size of the body, in bytes.
    pub body_bytes: usize,
}

impl RequestPlan {
    /// Creates the plan of the caller with the number `worker`, which is added to the load's seed.
    #[must_use]
    pub fn new(options: &LoadOptions, worker: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(options.seed.wrapping_add(worker)),
            options: options.clone(),
        }
    }

    /// Generates the next request.
    pub fn next_request(&mut self) -> PlannedRequest {
        let hot = self.random.random_bool(self.options.hot_share);
        let keys = if hot {
            HOT_KEYS.min(self.options.keys)
        } else {
            self.options.keys
        };
        let key = self.random.random_range(0..keys.max(1));
        let claim = self.random.random_bool(self.options.claim_share);
        PlannedRequest {
            method: if claim { "POST" } else { "GET" },
            key: format!("key-{key}"),
            id: Uuid::now_v7().to_string(),
            body_bytes: if claim { self.options.body_bytes } else { 0 },
        }
    }
}
