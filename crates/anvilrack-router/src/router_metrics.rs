//! Metrics for the operators' monitoring: OpenTelemetry instruments, exported to Prometheus.

use std::time::Duration;

use anvilrack_core::{MetricInfo, RequestVerdict, metrics};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bounds of the latency histogram, in seconds; 13 ms is the objective for the 99th percentile.
const LATENCY_BOUNDS: [f64; 10] = [0.0005, 0.001, 0.002, 0.005, 0.013, 0.03, 0.1, 0.3, 1.0, 3.0];

/// The metric instruments of one router, and the registry that exports them.
///
/// See also `docs/METRICS.md`, which lists them.
#[derive(Debug)]
pub struct RouterMetrics {
    registry: Registry,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    held_shards: Gauge<u64>,
    lease_left: Gauge<f64>,
    in_flight: Gauge<u64>,
    config_revision: Gauge<u64>,
    coordinates: Gauge<u64>,
    _provider: Option<SdkMeterProvider>,
}

/// Gauge values sampled from the router's state when the metrics are exported.
#[derive(Clone, Copy, Debug, Default)]
pub struct StateSample {
    /// Shards granted to this router.
    pub held_shards: u64,
    /// Remaining time of its lease; zero once it has expired.
    pub lease_left: Duration,
    /// Requests in flight at its target.
    pub in_flight: u64,
    /// Revision of the configuration that this router uses.
    pub config_revision: u64,
    /// Whether this router coordinates its cell.
    pub coordinates: bool,
}

impl RouterMetrics {
    /// Creates the instruments; the router's name `node` identifies it in the exported metrics.
    #[must_use]
    pub fn new(node: &str) -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let resource = Resource::builder_empty()
            .with_attribute(KeyValue::new("service.instance.id", node.to_owned()))
            .build();
        let builder = SdkMeterProvider::builder().with_resource(resource);
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(error) => {
                log::error!("cannot export metrics: {error}");
                builder.build()
            }
        };
        let meter = provider.meter("anvilrack");
        let gauge = |info: MetricInfo| {
            meter
                .u64_gauge(info.name)
                .with_unit(info.unit)
                .with_description(info.meaning)
                .build()
        };
        let request_duration = metrics::REQUEST_DURATION;
        let lease = metrics::LEASE_LEFT;
        let requests = metrics::REQUESTS;
        Self {
            requests: meter
                .u64_counter(requests.name)
                .with_unit(requests.unit)
                .with_description(requests.meaning)
                .build(),
            duration: meter
                .f64_histogram(request_duration.name)
                .with_unit(request_duration.unit)
                .with_description(request_duration.meaning)
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            lease_left: meter
                .f64_gauge(lease.name)
                .with_unit(lease.unit)
                .with_description(lease.meaning)
                .build(),
            held_shards: gauge(metrics::HELD_SHARDS),
            in_flight: gauge(metrics::IN_FLIGHT),
            config_revision: gauge(metrics::CONFIG_REVISION),
            coordinates: gauge(metrics::COORDINATES),
            registry,
            _provider: Some(provider),
        }
    }

    /// Counts a caller's request by service, verdict and reason, and records its duration.
    pub fn on_request(&self, service: &str, verdict: &RequestVerdict, took: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let outcome = KeyValue::new("verdict", verdict.as_str());
        let reason = KeyValue::new("reason", reason_code(verdict));
        self.requests
            .add(1, &[service.clone(), outcome.clone(), reason]);
        self.duration
            .record(took.as_secs_f64(), &[service, outcome]);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self, sample: StateSample) -> String {
        self.held_shards.record(sample.held_shards, &[]);
        self.lease_left.record(sample.lease_left.as_secs_f64(), &[]);
        self.in_flight.record(sample.in_flight, &[]);
        self.config_revision.record(sample.config_revision, &[]);
        self.coordinates.record(u64::from(sample.coordinates), &[]);
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

fn reason_code(verdict: &RequestVerdict) -> &'static str {
    match verdict {
        RequestVerdict::Ran(_) => "-",
        RequestVerdict::NotRun(reason, _) => reason.as_str(),
        RequestVerdict::MayHaveRun(reason) => reason.as_str(),
    }
}
