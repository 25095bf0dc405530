//! A probe that checks whether every key is served.

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_load::LoadOptions;

/// Timeout of a read at the HTTP client; the request itself allows the router 1.5 s.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the keys of a load, one after another.
#[derive(Clone, Debug)]
pub struct KeyProbe {
    service: String,
    keys: u32,
}

impl KeyProbe {
    /// Creates a probe for the keys of a load.
    #[must_use]
    pub fn new(options: &LoadOptions) -> Self {
        Self {
            service: options.service.clone(),
            keys: options.keys,
        }
    }

    /// Reads each key once, through the routers in turn, and returns the keys that were not served.
    #[must_use]
    pub fn unserved(&self, callers: &[SocketAddr]) -> Vec<String> {
        let keys = (0..self.keys).map(|key| format!("key-{key}"));
        keys.zip(callers.iter().cycle())
            .filter(|(key, caller)| !self.is_served(**caller, key))
            .map(|(key, caller)| format!("{key} through {caller}"))
            .collect()
    }

    /// Reads a key through one router and returns whether the request ran.
    #[must_use]
    pub fn is_served(&self, caller: SocketAddr, key: &str) -> bool {
        let url = format!("http://{caller}/{}/{key}", self.service);
        let response = attohttpc::get(url)
            .timeout(READ_TIMEOUT)
            .header("Anvilrack-Timeout-Ms", "1500")
            .send();
        response.is_ok_and(|response| {
            let verdict = response.headers().get("Anvilrack-Verdict");
            verdict.is_some_and(|verdict| verdict == "ran")
        })
    }
}
