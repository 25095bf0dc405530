//! Counters for the operators' monitoring, by OpenTelemetry.

use std::time::Duration;

use anvilrack_core::{MetricInfo, RequestVerdict, metrics};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bounds of the latency histogram, in seconds; 13 ms is the promise for 99 in 100.
const LATENCY_BOUNDS: [f64; 10] = [0.0005, 0.001, 0.002, 0.005, 0.013, 0.03, 0.1, 0.3, 1.0, 3.0];

/// The instruments of one router, and the registry that they are read from.
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

/// What is read from the router's state when somebody asks.
#[derive(Clone, Copy, Debug, Default)]
pub struct StateSample {
    /// Shards granted to this router.
    pub held_shards: u64,
    /// Time left of its lease.
    pub lease_left: Duration,
    /// Requests at work at its target.
    pub in_flight: u64,
    /// Revision of the configuration in force here.
    pub config_revision: u64,
    /// True where this router coordinates its cell.
    pub coordinates: bool,
}

impl RouterMetrics {
    /// You give the router's name, which goes along with all of its figures.
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
                log::error!("metrics cannot be read: {error}");
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
        let seconds = metrics::REQUEST_DURATION;
        let lease = metrics::LEASE_LEFT;
        let requests = metrics::REQUESTS;
        Self {
            requests: meter
                .u64_counter(requests.name)
                .with_unit(requests.unit)
                .with_description(requests.meaning)
                .build(),
            duration: meter
                .f64_histogram(seconds.name)
                .with_unit(seconds.unit)
                .with_description(seconds.meaning)
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

    /// Counts one request of a caller.
    pub fn on_request(&self, service: &str, verdict: &RequestVerdict, took: Duration) {
        let service = KeyValue::new("service", service.to_owned());
        let word = KeyValue::new("verdict", verdict.word());
        let reason = KeyValue::new("reason", reason_word(verdict));
        self.requests
            .add(1, &[service.clone(), word.clone(), reason]);
        self.duration.record(took.as_secs_f64(), &[service, word]);
    }

    /// All figures in the text form that Prometheus reads.
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

fn reason_word(verdict: &RequestVerdict) -> &'static str {
    match verdict {
        RequestVerdict::Ran(_) => "-",
        RequestVerdict::NotRun(reason, _) => reason.word(),
        RequestVerdict::MayHaveRun(reason) => reason.word(),
    }
}
