//! The metrics that a router offers.

/// One metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name, in the form that OpenTelemetry recommends.
    pub name: &'static str,
    /// Unit, in UCUM.
    pub unit: &'static str,
    /// What it tells, for `docs/METRICS.md`.
    pub meaning: &'static str,
}

macro_rules! catalogue {
    ($($constant:ident = $name:literal, $unit:literal, $meaning:literal;)*) => {
        /// One constant for each metric.
        pub mod metrics {
            use super::MetricInfo;
            $(
                #[doc = $meaning]
                pub const $constant: MetricInfo =
                    MetricInfo { name: $name, unit: $unit, meaning: $meaning };
            )*
        }

        /// All metrics.
        pub const METRIC_CATALOGUE: &[MetricInfo] = &[$(metrics::$constant),*];
    };
}

catalogue! {
    REQUESTS = "anvilrack.requests", "{request}", "Requests of callers, by service, verdict and reason.";
    REQUEST_DURATION = "anvilrack.request.duration", "s", "Time from reading a request to its verdict, by service and verdict.";
    HELD_SHARDS = "anvilrack.shards.held", "{shard}", "Shards granted to this router.";
    LEASE_LEFT = "anvilrack.lease.left", "s", "Time left of this router's lease; zero where it has lapsed.";
    IN_FLIGHT = "anvilrack.requests.in_flight", "{request}", "Requests at work at the target beside this router.";
    CONFIG_REVISION = "anvilrack.config.revision", "{revision}", "Revision of the configuration in force on this router.";
    COORDINATES = "anvilrack.cell.coordinates", "{cell}", "One where this router coordinates its cell, else zero.";
}
