//! The loads of the two deployments we know, as shares of what their targets can do.

use std::net::SocketAddr;
use std::time::Duration;

use crate::LoadOptions;

/// Time that a caller allows each request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Most callers of a service: each is a thread, and a machine that others use has not many to spare.
const CALLER_LIMIT: f64 = 150.0;

/// Keys of each service: few, so that each is asked often enough to see when it has no owner.
const KEYS: u32 = 60;

/// One deployment's services and what is asked of them.
#[derive(Clone, Copy, Debug)]
pub struct LoadShape {
    /// Name for the command line.
    pub name: &'static str,
    /// Requests that a target runs side by side.
    pub slots: u32,
    /// The services.
    pub services: [ServiceShape; 4],
}

/// What is asked of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceShape {
    /// Its name.
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

/// Roteiro Comum: many reads of today's routes, claims, scanned tickets and an archive.
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

/// Both shapes.
pub const LOAD_SHAPES: [LoadShape; 2] = [ROTEIRO_COMUM, LENAVERDE];

impl LoadShape {
    /// The shape of that name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        LOAD_SHAPES.into_iter().find(|shape| shape.name == name)
    }

    /// One open load for each service, each with `rate` requests a second.
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

/// Enough callers that one is free for each request when it is due, also where all time out, up to
/// the limit. Above it a request waits for its caller, and its latency counts from when it was due.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a small positive number"
)]
fn callers_for(rate: f64) -> usize {
    let callers = (rate * CALLER_TIMEOUT.as_secs_f64()).ceil();
    callers.clamp(1.0, CALLER_LIMIT) as usize
}
