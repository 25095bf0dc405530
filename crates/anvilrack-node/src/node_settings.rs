//! Settings of the process, as JSON with comments.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anvilrack_core::{DomainName, NodeId, RegionName, ServiceName};
use anvilrack_settings::{FieldFault, SettingsError, read_checked};
use serde::{Deserialize, Deserializer};

/// What one router process is told at its start.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the router.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// The service of the target beside it.
    pub service: ServiceName,
    /// Address of the target beside it.
    pub target: SocketAddr,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// Where other routers reach it, if that is not the address for peers, as behind a relay.
    #[serde(default)]
    pub advertised_peers: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Speed of the VM's link, in megabits a second.
    #[serde(default = "usual_link_mbps", deserialize_with = "whole_mbps")]
    pub link_mbps: u32,
    /// Limits of the deployment.
    #[serde(default)]
    pub terms: DeploymentTerms,
}

/// Where a router listens.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// For callers on its own VM.
    pub callers: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
    /// For the question whether it is ready.
    pub ready: SocketAddr,
    /// For the target beside it.
    pub control: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// Limits that hold for the whole deployment.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DeploymentTerms {
    /// A leaving target gets no new request after this time.
    #[serde(deserialize_with = "duration_text")]
    pub drain: Duration,
    /// Time between the signal to stop and the end of the process.
    #[serde(deserialize_with = "duration_text")]
    pub stop_grace: Duration,
    /// Longest time for which a target holds keys without a renewal.
    #[serde(deserialize_with = "duration_text")]
    pub longest_hold: Duration,
    /// Shortest time to live of a lease in the store.
    #[serde(deserialize_with = "duration_text")]
    pub shortest_lease: Duration,
}

/// The link of a VM whose settings name none.
fn usual_link_mbps() -> u32 {
    1_000
}

/// The platform writes the speed with a fraction.
fn whole_mbps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let mbps = f64::deserialize(deserializer)?;
    let whole = format!("{mbps:.0}").parse();
    let usable = whole.ok().filter(|mbps| *mbps > 0);
    usable.ok_or_else(|| serde::de::Error::custom("a link has at least one megabit a second"))
}

impl Default for DeploymentTerms {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            stop_grace: Duration::from_secs(6),
            longest_hold: Duration::from_secs(10),
            shortest_lease: Duration::from_secs(1),
        }
    }
}

impl NodeSettings {
    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the file, the line, the field and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_checked(path, Self::check)
    }

    /// Where other routers reach this one.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.advertised_peers.unwrap_or(self.listen.peers)
    }

    fn check(&self) -> Result<(), FieldFault> {
        let empty = [
            ("node", &self.node),
            ("failure_domain", &self.failure_domain),
            ("region", &self.region),
            ("service", &self.service),
        ];
        if let Some((field, _)) = empty.iter().find(|(_, value)| value.is_empty()) {
            return Err(FieldFault::new(*field, "a name is needed"));
        }
        if self.terms.stop_grace < Duration::from_secs(1) {
            return Err(FieldFault::new("terms.stop_grace", "one second or more"));
        }
        Ok(())
    }
}

/// Reads a time such as `1500ms` or `2.5s`.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * unit).ok()
}

fn duration_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_duration(&text)
        .ok_or_else(|| serde::de::Error::custom("a time such as `1500ms` or `2.5s` is needed"))
}
