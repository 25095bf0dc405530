//! Is every key served?

use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_load::LoadOptions;

/// Time for one read.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads keys, one after another.
#[derive(Clone, Debug)]
pub struct KeyProbe {
    service: String,
    keys: u32,
}

impl KeyProbe {
    /// Reads the keys of that load.
    #[must_use]
    pub fn new(options: &LoadOptions) -> Self {
        Self {
            service: options.service.clone(),
            keys: options.keys,
        }
    }

    /// The keys that were not served just now; each is asked of one router, in turn.
    #[must_use]
    pub fn unserved(&self, callers: &[SocketAddr]) -> Vec<String> {
        let keys = (0..self.keys).map(|key| format!("key-{key}"));
        keys.zip(callers.iter().cycle())
            .filter(|(key, caller)| !self.is_served(**caller, key))
            .map(|(key, caller)| format!("{key} through {caller}"))
            .collect()
    }

    /// True where the key was read through that router.
    #[must_use]
    pub fn is_served(&self, caller: SocketAddr, key: &str) -> bool {
        let url = format!("http://{caller}/{}/{key}", self.service);
        let answer = attohttpc::get(url)
            .timeout(READ_TIMEOUT)
            .header("Anvilrack-Timeout-Ms", "1500")
            .send();
        answer.is_ok_and(|answer| {
            let verdict = answer.headers().get("Anvilrack-Verdict");
            verdict.is_some_and(|verdict| verdict == "ran")
        })
    }
}
