//! The metrics that a router exports.

/// Name, unit and description of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name, as recommended by the OpenTelemetry conventions.
    pub name: &'static str,
    /// Unit, as a UCUM code.
    pub unit: &'static str,
    /// Description for `docs/METRICS.md`.
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

        /// All metrics, in the order of `docs/METRICS.md`.
        pub const METRIC_CATALOGUE: &[MetricInfo] = &[$(metrics::$constant),*];
    };
}

catalogue! {
    REQUESTS = "anvilrack.requests", "{request}", "Requests from callers, by service, verdict and reason.";
    REQUEST_DURATION = "anvilrack.request.duration", "s", "Time from reading a request to its verdict, by service and verdict.";
    HELD_SHARDS = "anvilrack.shards.held", "{shard}", "Shards that this router holds a grant for.";
    LEASE_LEFT = "anvilrack.lease.left", "s", "Remaining time of this router's lease; zero after it has ended.";
    IN_FLIGHT = "anvilrack.requests.in_flight", "{request}", "Requests in progress at this router's target.";
    CONFIG_REVISION = "anvilrack.config.revision", "{revision}", "Revision of the configuration that this router uses.";
    COORDINATES = "anvilrack.cell.coordinates", "{cell}", "1 if this router coordinates its cell, else 0.";
}
