//! Settings file of `anvilrack-router`.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;

use anvilrack_core::{DomainName, NodeId, RegionName};
use serde::Deserialize;

use crate::{FieldError, LoadPolicies, SettingsError, read_checked};

/// Contents of a router's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of this router, unique in the deployment.
    pub node: NodeId,
    /// IP address of this machine, under which other machines reach the router.
    pub address: IpAddr,
    /// Port that accepts requests from callers.
    pub caller_port: u16,
    /// Port that accepts requests from other routers.
    pub peer_port: u16,
    /// Port that other routers connect to, if it differs from `peer_port`, for example behind a
    /// proxy.
    #[serde(default)]
    pub announced_peer_port: Option<u16>,
    /// Port for operators and for this router's own target.
    pub control_port: u16,
    /// Region of this machine.
    pub region: RegionName,
    /// Failure domain of this machine.
    pub failure_domain: DomainName,
    /// Address of the platform's store, as `ip:port`.
    pub store: SocketAddr,
    /// Limits on the router's workers, memory and timeouts.
    #[serde(default)]
    pub limits: RouterLimits,
    /// Policies for admission, target selection and placement, including baselines for comparisons.
    #[serde(default)]
    pub policies: LoadPolicies,
}

/// Limits on a router's workers, memory and timeouts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouterLimits {
    /// Maximum number of callers' requests handled at once.
    pub caller_workers: usize,
    /// Maximum number of requests that wait for the target or run at it.
    pub guard_workers: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Memory of the VM that the router may use, in megabytes.
    pub memory_mb: usize,
    /// Maximum number of descriptors that the router may have open; `None` for the limit of the kernel.
    pub max_descriptors: Option<u32>,
    /// Timeout of a request whose caller does not set one, in milliseconds.
    pub default_timeout_ms: u64,
    /// Maximum time that a graceful stop waits for requests in flight, in milliseconds.
    pub stop_ms: u64,
    /// Maximum number of entries in the at-most-once record.
    pub record_entries: usize,
    /// Maximum size of the at-most-once record, in bytes.
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
            memory_mb: 256,
            max_descriptors: None,
            default_timeout_ms: 2_000,
            stop_ms: 15_000,
            record_entries: 262_144,
            record_bytes: 128 * 1024 * 1024,
            record_keep_ms: 300_000,
        }
    }
}

impl RouterSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] when the file cannot be read or is invalid. For an invalid field
    /// it names the file, the line, the field and the allowed values.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_checked(path, Self::check)
    }

    /// Returns the address on which this router listens for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.caller_port)
    }

    /// Returns the address that other routers connect to.
    #[must_use]
    pub fn advertised_peer_address(&self) -> SocketAddr {
        let port = self.announced_peer_port.unwrap_or(self.peer_port);
        SocketAddr::new(self.address, port)
    }

    /// Returns the address on which this router listens for other routers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }

    /// Returns the address on which this router listens for operators and its target.
    #[must_use]
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.control_port)
    }

    fn check(&self) -> Result<(), FieldError> {
        check_name("node", &self.node)?;
        check_name("region", &self.region)?;
        check_name("failure_domain", &self.failure_domain)?;
        if self.address.is_unspecified() {
            return Err(FieldError::new(
                "address",
                "must be the machine's own IP address",
            ));
        }
        if self.announced_peer_port == Some(0) {
            return Err(FieldError::new(
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
                return Err(FieldError::new(*field, "must be from 1 to 65535"));
            }
            if ports[..index].iter().any(|(_, other)| other == port) {
                return Err(FieldError::new(*field, "must differ from the other ports"));
            }
        }
        self.limits.check()
    }
}

impl RouterLimits {
    fn check(&self) -> Result<(), FieldError> {
        let counts = [
            ("limits.caller_workers", self.caller_workers, 1, 4_096),
            ("limits.guard_workers", self.guard_workers, 1, 4_096),
            ("limits.body_bytes", self.body_bytes, 1, 16 * 1024 * 1024),
            ("limits.memory_mb", self.memory_mb, 64, 1024 * 1024),
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
        if self
            .max_descriptors
            .is_some_and(|count| count < MIN_DESCRIPTORS)
        {
            let allowed = format!("must be at least {MIN_DESCRIPTORS}");
            return Err(FieldError::new("limits.max_descriptors", allowed));
        }
        for (field, value, min, max) in counts {
            if !(min..=max).contains(&value) {
                return Err(FieldError::new(
                    field,
                    format!("must be from {min} to {max}"),
                ));
            }
        }
        let needed = PROCESS_BYTES + self.record_bytes + BODIES_IN_MEMORY * self.body_bytes;
        let needed_mb = needed.div_ceil(MEGABYTE);
        if self.memory_mb < needed_mb {
            let allowed = format!(
                "must be at least {needed_mb} for a record of `record_bytes` and a body of `body_bytes`"
            );
            return Err(FieldError::new("limits.memory_mb", allowed));
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
        for (field, value, min, max) in times {
            if !(min..=max).contains(&value) {
                return Err(FieldError::new(
                    field,
                    format!("must be from {min} to {max} ms"),
                ));
            }
        }
        Ok(())
    }
}

/// Minimum number of descriptors: what the process itself needs, and some for callers.
const MIN_DESCRIPTORS: u32 = 128;

/// Bytes in a megabyte of the settings.
const MEGABYTE: usize = 1_000_000;

/// Memory for the process itself, in bytes.
const PROCESS_BYTES: usize = 64 * MEGABYTE;

/// Number of bodies of the maximum size that must fit beside the record: two copies of one, and what small ones use.
const BODIES_IN_MEMORY: usize = 3;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Checks that a name is not empty, not too long, and has only letters, digits, `-`, `_` and `.`.
pub(crate) fn check_name(field: &str, name: &Arc<str>) -> Result<(), FieldError> {
    let allowed = |c: char| c.is_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        let message = format!("must be 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`");
        return Err(FieldError::new(field, message));
    }
    Ok(())
}
