//! Load shapes of two known deployments: their services and the requests that each service
//! receives.

use std::net::SocketAddr;
use std::time::Duration;

use crate::LoadOptions;

/// Timeout of each request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of callers of a service; each is a thread, and a shared machine has few to spare.
const MAX_CALLERS: f64 = 150.0;

/// Keys of each service; few, so that each is requested often enough to show when it has no owner.
const KEYS: u32 = 60;

/// Services of one deployment and the requests that they receive.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Name of the shape on the command line.
    pub name: &'static str,
    /// Number of requests that a target runs at once.
    pub slots: u32,
    /// Services of the deployment.
    pub services: [ServiceShape; 4],
}

/// Requests that one service receives.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Name of the service.
    pub service: &'static str,
    /// Share of claims (POST), from 0 to 1.
    pub claim_share: f64,
    /// Share of requests that go to the ten hottest keys, from 0 to 1.
    pub hot_share: f64,
    /// Bytes in the body of a claim.
    pub body_bytes: usize,
}

const fn reads(service: &'static str, hot_share: f64) -> ServiceShape {
    ServiceShape {
        service,
        claim_share: 0.0,
        hot_share,
        body_bytes: 0,
    }
}

const fn claims(service: &'static str, body_bytes: usize) -> ServiceShape {
    ServiceShape {
        service,
        claim_share: 1.0,
        hot_share: 0.0,
        body_bytes,
    }
}

/// Roteiro Comum: many reads of the current day's routes, bookings, scanned tickets and an archive.
pub const ROTEIRO_COMUM: LoadShape = LoadShape {
    name: "roteiro-comum",
    slots: 12,
    services: [
        reads("viewer", 0.5),
        claims("bookings", 200),
        claims("documents", 40_000),
        reads("archive", 0.0),
    ],
};

/// Leñaverde: stock and prices with hot keys in a cold snap, orders, delivery sheets and invoices.
pub const LENAVERDE: LoadShape = LoadShape {
    name: "lenaverde",
    slots: 9,
    services: [
        reads("catalogo", 0.7),
        claims("pedidos", 400),
        claims("remitos", 20_000),
        reads("archivo", 0.0),
    ],
};

/// All load shapes.
pub const LOAD_SHAPES: [LoadShape; 2] = [ROTEIRO_COMUM, LENAVERDE];

impl LoadShape {
    /// Returns the shape with the given name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        LOAD_SHAPES.into_iter().find(|shape| shape.name == name)
    }

    /// Creates one open-loop load for each service, each with `rate` requests per second.
    #[must_use]
    pub fn loads(&self, routers: &[SocketAddr], rate: f64, duration: Duration) -> Vec<LoadOptions> {
        let services = self.services.iter().zip(1..);
        let loads = services.map(|(service, seed)| LoadOptions {
            routers: routers.to_vec(),
            service: service.service.to_owned(),
            keys: KEYS,
            claim_share: service.claim_share,
            hot_share: service.hot_share,
            body_bytes: service.body_bytes,
            workers: callers_for(rate),
            duration,
            rate: Some(rate),
            timeout: CALLER_TIMEOUT,
            seed,
        });
        loads.collect()
    }
}

/// Returns the number of callers needed for one to be free whenever a request is due, even if all
/// requests time out, but at most `MAX_CALLERS`.
///
/// With fewer callers than needed, a request waits for its caller, and its latency counts from when
/// it was due.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to a small positive number"
)]
fn callers_for(rate: f64) -> usize {
    let callers = (rate * CALLER_TIMEOUT.as_secs_f64()).ceil();
    callers.clamp(1.0, MAX_CALLERS) as usize
}
