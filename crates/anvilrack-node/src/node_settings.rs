//! Settings of the router process, read from a JSON file with comments.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anvilrack_core::{DomainName, NodeId, RegionName, ServiceName};
use anvilrack_settings::{FieldError, SettingsError, read_checked};
use serde::{Deserialize, Deserializer};

/// Memory of a VM whose settings name none, in megabytes.
const DEFAULT_MEMORY_MB: u32 = 256;

/// Minimum memory and number of descriptors: what the process itself needs, and some room for requests.
const MIN_MEMORY_MB: u32 = 64;
const MIN_DESCRIPTORS: u32 = 128;

/// Bytes in a megabyte of the settings.
const MEGABYTE: usize = 1_000_000;

/// Settings of one router process, read at startup.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Unique name of the router.
    pub node: NodeId,
    /// Failure domain of the router's VM.
    pub failure_domain: DomainName,
    /// Region of the router's VM.
    pub region: RegionName,
    /// Service that the local target runs.
    pub service: ServiceName,
    /// Address of the local target.
    pub target: SocketAddr,
    /// Addresses on which the router listens.
    pub listen: ListenAddresses,
    /// Address at which other routers reach this one, if it differs from `listen.peers`, as behind a
    /// relay.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Bandwidth of the VM's network link, in megabits per second.
    #[serde(default = "default_link_mbps", deserialize_with = "rounded_mbps")]
    pub link_mbps: u32,
    /// Memory of the VM that the router may use, in megabytes; `None` for 256.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Maximum number of descriptors that the router may have open; `None` for the limit of the kernel.
    #[serde(default)]
    pub max_descriptors: Option<u32>,
    /// Limits of the deployment.
    #[serde(default)]
    pub terms: DeploymentLimits,
}

/// The addresses on which a router listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// For callers on the same VM.
    pub callers: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For notifications from the local target.
    pub control: SocketAddr,
    /// For scraping metrics.
    pub metrics: SocketAddr,
}

/// Limits that apply to the whole deployment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DeploymentLimits {
    /// Time after which a target that is stopping gets no new requests.
    #[serde(deserialize_with = "deserialize_duration")]
    pub drain: Duration,
    /// Time between SIGTERM and the end of the process.
    #[serde(deserialize_with = "deserialize_duration")]
    pub stop_grace: Duration,
    /// Maximum time for which a target holds keys without a renewal.
    #[serde(deserialize_with = "deserialize_duration")]
    pub longest_hold: Duration,
    /// Minimum time to live of a lease in the store.
    #[serde(deserialize_with = "deserialize_duration")]
    pub shortest_lease: Duration,
    /// Time after which the targets of an evacuated failure domain get no new requests; `None` if the
    /// deployment does not evacuate domains.
    #[serde(deserialize_with = "deserialize_optional_duration")]
    pub evacuate_within: Option<Duration>,
    /// Limit on repeated requests; `None` if the deployment sets none.
    pub retries: Option<RetryLimits>,
}

/// Limit on the repeated requests that all routers send to a service in any period of `window`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryLimits {
    /// Repeated requests for each request that callers sent.
    pub ratio: f64,
    /// Repeated requests that are allowed in addition, whatever the load.
    pub slack: u32,
    /// Length of the period.
    #[serde(deserialize_with = "deserialize_duration")]
    pub window: Duration,
}

/// The default bandwidth of a VM's link, in megabits per second.
fn default_link_mbps() -> u32 {
    1_000
}

/// Reads a bandwidth that may have a fraction, as the platform writes it, and rounds it.
fn rounded_mbps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let mbps = f64::deserialize(deserializer)?;
    let rounded = format!("{mbps:.0}").parse();
    let positive = rounded.ok().filter(|mbps| *mbps > 0);
    positive.ok_or_else(|| serde::de::Error::custom("must be at least 1 megabit per second"))
}

impl Default for DeploymentLimits {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            stop_grace: Duration::from_secs(6),
            longest_hold: Duration::from_secs(10),
            shortest_lease: Duration::from_secs(1),
            evacuate_within: None,
            retries: None,
        }
    }
}

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] with the file, the line, the field and the allowed values if the
    /// file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_checked(path, Self::check)
    }

    /// Returns the memory that the router may use, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize * MEGABYTE
    }

    /// Returns the address at which other routers reach this one.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.listen.peers)
    }

    fn check(&self) -> Result<(), FieldError> {
        let required_names = [
            ("node", &self.node),
            ("failure_domain", &self.failure_domain),
            ("region", &self.region),
            ("service", &self.service),
        ];
        if let Some((field, _)) = required_names.iter().find(|(_, value)| value.is_empty()) {
            return Err(FieldError::new(*field, "must not be empty"));
        }
        if self.terms.stop_grace < Duration::from_secs(1) {
            return Err(FieldError::new("terms.stop_grace", "must be at least 1s"));
        }
        if self.memory_mb.is_some_and(|memory| memory < MIN_MEMORY_MB) {
            let allowed = format!("must be at least {MIN_MEMORY_MB}");
            return Err(FieldError::new("memory_mb", allowed));
        }
        if self
            .max_descriptors
            .is_some_and(|count| count < MIN_DESCRIPTORS)
        {
            let allowed = format!("must be at least {MIN_DESCRIPTORS}");
            return Err(FieldError::new("max_descriptors", allowed));
        }
        if let Some(retries) = self.terms.retries {
            if !(retries.ratio.is_finite() && retries.ratio >= 0.0) {
                return Err(FieldError::new(
                    "terms.retries.ratio",
                    "must be zero or more",
                ));
            }
            if retries.window.is_zero() {
                return Err(FieldError::new(
                    "terms.retries.window",
                    "must be more than 0s",
                ));
            }
        }
        Ok(())
    }
}

/// Parses a duration such as `1500ms` or `2.5s`; returns `None` if it is invalid.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * unit).ok()
}

fn deserialize_duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_duration(&text)
        .ok_or_else(|| serde::de::Error::custom("must be a duration such as `1500ms` or `2.5s`"))
}

fn deserialize_optional_duration<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<Duration>, D::Error> {
    deserialize_duration(deserializer).map(Some)
}
