//! Latency and processor time that routers add to a request, by the size of its body.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anvilrack_harness::{Deployment, DeploymentPlan};
use anvilrack_load::{LoadOptions, run_load};
use serde_json::json;

use crate::cpu_clock::cpu_time_of;
use crate::slope_fit::median;
use crate::{MeasuredSlope, SlopePoint};

/// Sizes of a request body, in bytes.
const BODY_SIZES: [u32; 5] = [0, 4_096, 16_384, 65_536, 131_072];

/// Rounds over all sizes and paths.
const ROUNDS: usize = 3;

/// Duration of one load.
const LOAD_TIME: Duration = Duration::from_secs(1);

/// How long the routers' processor time without requests is measured before the loads.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// Number of concurrent callers.
const CALLERS: usize = 4;

/// A deployment of two cells with one router each: requests for the first cell take a hop when they
/// are sent to the second cell's router.
struct PathBench {
    deployment: Deployment,
    /// Fraction of a core that both routers together use without requests.
    idle_cpu_share: f64,
}

/// The path of a request to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RequestPath {
    /// Sent to the target without a router.
    Direct,
    /// Sent to the router next to the target.
    Local,
    /// Sent to the other router, which forwards it to the router next to the target.
    Hop,
}

const PATHS: [(RequestPath, &str); 3] = [
    (RequestPath::Direct, "direct"),
    (RequestPath::Local, "here"),
    (RequestPath::Hop, "hop"),
];

/// The results of one load: processor time of the routers per request, and median latency.
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
            idle_cpu_share: 0.0,
        };
        let before = bench.router_cpu_time()?;
        thread::sleep(IDLE_TIME);
        let used = bench.router_cpu_time()?.saturating_sub(before);
        bench.idle_cpu_share = used.as_secs_f64() / IDLE_TIME.as_secs_f64();
        Ok(bench)
    }

    fn entry_address(&self, path: RequestPath) -> SocketAddr {
        match path {
            RequestPath::Direct => self.deployment.target_addresses[0],
            RequestPath::Local => self.deployment.caller_addresses[0],
            RequestPath::Hop => self.deployment.caller_addresses[1],
        }
    }

    /// Returns the processor time that both routers have used.
    fn router_cpu_time(&self) -> eyre::Result<Duration> {
        let used = self.deployment.routers.iter();
        used.map(|router| cpu_time_of(router.id())).sum()
    }

    fn run(&self, path: RequestPath, body: u32) -> eyre::Result<PathSample> {
        let options = LoadOptions {
            routers: vec![self.entry_address(path)],
            claim_share: 1.0,
            body_bytes: body as usize,
            workers: CALLERS,
            duration: LOAD_TIME,
            rate: None,
            ..self.deployment.load()
        };
        let before = self.router_cpu_time()?;
        let history = run_load(&options);
        let used = self.router_cpu_time()?.saturating_sub(before);
        let idle = history.elapsed.as_secs_f64() * self.idle_cpu_share;
        let report = anvilrack_load::check_history(&history, &[]);
        let ran = report.ran.max(1) as f64;
        Ok(PathSample {
            cpu_us: (used.as_secs_f64() - idle) * 1e6 / ran,
            p50_us: report.p50_us as f64,
        })
    }
}

/// Measures the median latency of each path, and the routers' processor time of each path through a
/// router.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let bench = PathBench::new()?;
    let mut samples: BTreeMap<(RequestPath, u32), Vec<PathSample>> = BTreeMap::new();
    for _ in 0..ROUNDS {
        for body in BODY_SIZES {
            for (path, _) in PATHS {
                let sample = bench.run(path, body)?;
                samples.entry((path, body)).or_default().push(sample);
            }
        }
    }
    let points = |path, value: fn(&PathSample) -> f64| -> Vec<SlopePoint> {
        let bodies = BODY_SIZES.iter();
        bodies
            .map(|body| SlopePoint {
                x: f64::from(*body),
                y: median(samples[&(path, *body)].iter().map(value).collect()),
            })
            .collect()
    };
    let mut slopes = Vec::new();
    for (path, name) in PATHS {
        let label = "median latency with 4 callers, us";
        let name = format!("request-path.latency-{name}");
        let latency = points(path, |sample| sample.p50_us);
        slopes.push(MeasuredSlope::new(
            &name,
            "bytes of the body",
            label,
            latency,
        ));
    }
    for (path, name) in [PATHS[1], PATHS[2]] {
        let label = "processor time of the routers, us";
        let name = format!("request-path.cpu-{name}");
        let cpu = points(path, |sample| sample.cpu_us);
        slopes.push(MeasuredSlope::new(&name, "bytes of the body", label, cpu));
    }
    Ok(slopes)
}
