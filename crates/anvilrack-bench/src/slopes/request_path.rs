//! What a router adds to a request, by the size of its body.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan};
use anvilrack_load::{LoadOptions, run_load};
use serde_json::json;

use crate::cpu_clock::cpu_of;
use crate::slope_fit::median;
use crate::{MeasuredSlope, SlopePoint};

/// Sizes of a body, in bytes.
const BODIES: [u32; 5] = [0, 4_096, 16_384, 65_536, 131_072];

/// Rounds over all sizes and ways.
const ROUNDS: usize = 3;

/// Length of one load.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// How long the routers' processor time is counted before the loads.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// Callers side by side.
const CALLERS: usize = 4;

/// Deployment of two cells: requests for the first that go to the second's router take a hop.
struct PathBench {
    deployment: Deployment,
    /// Share of a core that both routers use without a request.
    idle_share: f64,
}

/// The way of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RequestWay {
    Direct,
    Here,
    Hop,
}

const WAYS: [(RequestWay, &str); 3] = [
    (RequestWay::Direct, "direct"),
    (RequestWay::Here, "here"),
    (RequestWay::Hop, "hop"),
];

/// What one load showed.
struct PathSample {
    cpu_us: f64,
    p50_us: f64,
}

impl PathBench {
    fn new() -> eyre::Result<Self> {
        let mut plan = DeploymentPlan::new("bookings", 2);
        plan.services = vec!["bookings".to_owned(), "viewer".to_owned()];
        plan.service_time = Duration::ZERO;
        plan.checks_fence = false;
        let rules = plan.config["services"]["bookings"].clone();
        plan.config["services"] = json!({ "bookings": rules, "viewer": rules });
        let mut deployment = Deployment::with_plan(plan)?;
        deployment.await_ready()?;
        let mut bench = Self {
            deployment,
            idle_share: 0.0,
        };
        let before = bench.router_cpu()?;
        thread::sleep(IDLE_TIME);
        let used = bench.router_cpu()?.saturating_sub(before);
        bench.idle_share = used.as_secs_f64() / IDLE_TIME.as_secs_f64();
        Ok(bench)
    }

    fn entry(&self, way: RequestWay) -> SocketAddr {
        match way {
            RequestWay::Direct => self.deployment.target_addresses[0],
            RequestWay::Here => self.deployment.callers[0],
            RequestWay::Hop => self.deployment.callers[1],
        }
    }

    /// Processor time of both routers.
    fn router_cpu(&self) -> eyre::Result<Duration> {
        let used = self.deployment.routers.iter();
        used.map(|router| cpu_of(router.id())).sum()
    }

    fn run(&self, way: RequestWay, body: u32) -> eyre::Result<PathSample> {
        let options = LoadOptions {
            routers: vec![self.entry(way)],
            claim_share: 1.0,
            body_bytes: body as usize,
            workers: CALLERS,
            duration: LOAD_TIME,
            rate: None,
            ..self.deployment.load()
        };
        let before = self.router_cpu()?;
        let history = run_load(&options);
        let used = self.router_cpu()?.saturating_sub(before);
        let idle = history.elapsed.as_secs_f64() * self.idle_share;
        let report = anvilrack_load::judge(&history, &[]);
        let answered = report.ran.max(1) as f64;
        Ok(PathSample {
            cpu_us: (used.as_secs_f64() - idle) * 1e6 / answered,
            p50_us: report.p50_us as f64,
        })
    }
}

/// Processor time of the routers and the median latency, for each way.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let bench = PathBench::new()?;
    let mut samples: BTreeMap<(RequestWay, u32), Vec<PathSample>> = BTreeMap::new();
    for _ in 0..ROUNDS {
        for body in BODIES {
            for (way, _) in WAYS {
                let sample = bench.run(way, body)?;
                samples.entry((way, body)).or_default().push(sample);
            }
        }
    }
    let points = |way, value: fn(&PathSample) -> f64| -> Vec<SlopePoint> {
        let bodies = BODIES.iter();
        bodies
            .map(|body| SlopePoint {
                x: f64::from(*body),
                y: median(samples[&(way, *body)].iter().map(value).collect()),
            })
            .collect()
    };
    let mut slopes = Vec::new();
    for (way, name) in WAYS {
        let label = "median latency with 4 callers, us";
        let name = format!("request-path.latency-{name}");
        let latency = points(way, |sample| sample.p50_us);
        slopes.push(MeasuredSlope::new(
            &name,
            "bytes of the body",
            label,
            latency,
        ));
    }
    for (way, name) in [WAYS[1], WAYS[2]] {
        let label = "processor time of the routers, us";
        let name = format!("request-path.cpu-{name}");
        let cpu = points(way, |sample| sample.cpu_us);
        slopes.push(MeasuredSlope::new(&name, "bytes of the body", label, cpu));
    }
    Ok(slopes)
}
