//! Settings of `anvilrack-router`.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use anvilrack_core::{DomainName, NodeId, RegionName};
use serde::Deserialize;

use crate::{FieldFault, LoadPolicies, SettingsError, read_checked};

/// Everything a router learns from its settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of this router, unique in the deployment.
    pub node: NodeId,
    /// Its own IP address.
    pub address: IpAddr,
    /// Port for callers.
    pub caller_port: u16,
    /// Port for other routers.
    pub peer_port: u16,
    /// Port under which other routers reach it, where something stands in between.
    #[serde(default)]
    pub announced_peer_port: Option<u16>,
    /// Port for operators and for the target beside it.
    pub control_port: u16,
    /// Region of this machine.
    pub region: RegionName,
    /// Failure domain of this machine.
    pub failure_domain: DomainName,
    /// The platform's store, as `ip:port`.
    pub store: SocketAddr,
    /// Bounds on what the router holds.
    #[serde(default)]
    pub limits: RouterLimits,
    /// Which rules for load are in use; the plain ones are there to compare with.
    #[serde(default)]
    pub policies: LoadPolicies,
}

/// Bounds on what a router holds at once.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLimits {
    /// Requests of callers worked on side by side.
    pub caller_workers: usize,
    /// Requests that wait for, or run at, the target.
    pub guard_workers: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a request whose caller names none, in milliseconds.
    pub default_timeout_ms: u64,
    /// Longest time that a graceful stop waits for requests in flight, in milliseconds.
    pub stop_ms: u64,
    /// Entries of the at-most-once record.
    pub record_entries: usize,
    /// Bytes of the at-most-once record.
    pub record_bytes: usize,
    /// How long the at-most-once record keeps an outcome, in milliseconds.
    pub record_keep_ms: u64,
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            caller_workers: 128,
            guard_workers: 64,
            body_bytes: 4 * 1024 * 1024,
            default_timeout_ms: 2_000,
            stop_ms: 15_000,
            record_entries: 262_144,
            record_bytes: 128 * 1024 * 1024,
            record_keep_ms: 300_000,
        }
    }
}

impl RouterSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the file, the line, the field and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_checked(path, Self::check)
    }

    /// Where callers reach this router.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.caller_port)
    }

    /// Where other routers reach this router.
    #[must_use]
    pub fn announced_address(&self) -> SocketAddr {
        let port = self.announced_peer_port.unwrap_or(self.peer_port);
        SocketAddr::new(self.address, port)
    }

    /// Where this router listens for other routers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }

    /// Where operators and the target reach this router.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.control_port)
    }

    fn check(&self) -> Result<(), FieldFault> {
        name_fault("node", &self.node)?;
        name_fault("region", &self.region)?;
        name_fault("failure_domain", &self.failure_domain)?;
        if self.address.is_unspecified() {
            return Err(FieldFault::new(
                "address",
                "must be the machine's own IP address",
            ));
        }
        if self.announced_peer_port == Some(0) {
            return Err(FieldFault::new(
                "announced_peer_port",
                "must be from 1 to 65535",
            ));
        }
        let ports = [
            ("caller_port", self.caller_port),
            ("peer_port", self.peer_port),
            ("control_port", self.control_port),
        ];
        for (index, (field, port)) in ports.iter().enumerate() {
            if *port == 0 {
                return Err(FieldFault::new(*field, "must be from 1 to 65535"));
            }
            if ports[..index].iter().any(|(_, other)| other == port) {
                return Err(FieldFault::new(*field, "must differ from the other ports"));
            }
        }
        self.limits.check()
    }
}

impl RouterLimits {
    fn check(&self) -> Result<(), FieldFault> {
        let counts = [
            ("limits.caller_workers", self.caller_workers, 1, 4_096),
            ("limits.guard_workers", self.guard_workers, 1, 4_096),
            ("limits.body_bytes", self.body_bytes, 1, 16 * 1024 * 1024),
            (
                "limits.record_entries",
                self.record_entries,
                1,
                16 * 1024 * 1024,
            ),
            (
                "limits.record_bytes",
                self.record_bytes,
                1024 * 1024,
                4 * 1024 * 1024 * 1024,
            ),
        ];
        for (field, value, low, high) in counts {
            if !(low..=high).contains(&value) {
                return Err(FieldFault::new(
                    field,
                    format!("must be from {low} to {high}"),
                ));
            }
        }
        let times = [
            (
                "limits.default_timeout_ms",
                self.default_timeout_ms,
                1,
                600_000,
            ),
            ("limits.stop_ms", self.stop_ms, 0, 600_000),
            (
                "limits.record_keep_ms",
                self.record_keep_ms,
                1_000,
                86_400_000,
            ),
        ];
        for (field, value, low, high) in times {
            if !(low..=high).contains(&value) {
                return Err(FieldFault::new(
                    field,
                    format!("must be from {low} to {high} ms"),
                ));
            }
        }
        Ok(())
    }
}

/// Longest name, in bytes.
const NAME_LIMIT: usize = 63;

/// Checks a name: letters, digits, `-`, `_` and `.`, at most 63 of them.
pub(crate) fn name_fault(field: &str, name: &Arc<str>) -> Result<(), FieldFault> {
    let allowed = |c: char| c.is_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > NAME_LIMIT || !name.chars().all(allowed) {
        let fault = format!("must be 1 to {NAME_LIMIT} letters, digits, `-`, `_` or `.`");
        return Err(FieldFault::new(field, fault));
    }
    Ok(())
}
