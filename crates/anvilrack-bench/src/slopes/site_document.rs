//! Costs of a site document by its number of routes: bytes sent to a router, and processor time.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Duration;

use anvilrack_core::{RegionRule, RouteRules, SiteRoutes};
use anvilrack_wire::{pack_document, unpack_document};

use super::ROUNDS;
use crate::cpu_clock::thread_cpu_time;
use crate::slope_fit::median_points;
use crate::{MeasuredSlope, SlopePoint};

/// Numbers of routes in a document.
const ROUTES: [u32; 5] = [100, 1_400, 5_000, 10_000, 50_000];

/// Routes that one change adds to a document.
const ADDED_ROUTES: u32 = 5;

/// Lookups in one measurement.
const LOOKUPS: u32 = 20_000;

/// Measures the bytes of a document and of its packets, the processor time of packing and unpacking, and
/// that of a lookup, by routes.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let (mut raw, mut whole, mut delta) = (Vec::new(), Vec::new(), Vec::new());
    for routes in ROUTES {
        let document = sample_document(routes);
        let changed = sample_document(routes + ADDED_ROUTES);
        raw.push(point(routes, document.len()));
        whole.push(point(routes, pack_document(&document, None)?.1.len()));
        let packet = pack_document(&changed, Some(&document))?;
        delta.push(point(routes, packet.1.len()));
    }
    let by_routes = |name: &str, y_label: &str, work: fn(u32) -> f64| {
        let points = median_points(&ROUTES, ROUNDS, work);
        MeasuredSlope::new(name, "routes", y_label, points)
    };
    Ok(vec![
        MeasuredSlope::new("site-document.raw", "routes", "bytes in the store", raw),
        MeasuredSlope::new("site-document.whole", "routes", "bytes, packed", whole),
        MeasuredSlope::new(
            "site-document.delta",
            "routes",
            "bytes, 5 routes added",
            delta,
        ),
        by_routes("site-document.pack", "pack, us", pack_us),
        by_routes(
            "site-document.pack-delta",
            "pack a delta, us",
            pack_delta_us,
        ),
        by_routes("site-document.unpack", "unpack, us", unpack_us),
        by_routes("site-document.look-up", "one look-up, ns", lookup_ns),
    ])
}

/// Returns a document with as many routes, with as many fields as those of the users' platform.
fn sample_document(routes: u32) -> Vec<u8> {
    let mut document = String::from(r#"{"version":7,"hosts":[{"name":"a.example","routes":["#);
    for route in 0..routes {
        // Writing to a `String` cannot fail.
        let _ = write!(
            document,
            r#"{{"name":"r-{}","prefix":"/{}/","kind":"idempotent","timeout":"2000ms","target-latency":"600ms","priority":2,"service":"catalogo","max-attempts":2}},"#,
            sample_name(route),
            sample_name(route + 1_000_000)
        );
    }
    document.push_str("]}]}");
    document.into_bytes()
}

/// Returns a name that compresses as badly as a random one.
fn sample_name(number: u32) -> String {
    let mixed = u64::from(number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    format!("{:08x}", (mixed ^ (mixed >> 29)) >> 32)
}

fn point(routes: u32, bytes: usize) -> SlopePoint {
    SlopePoint {
        x: f64::from(routes),
        y: bytes as f64,
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn pack_us(routes: u32) -> f64 {
    let document = sample_document(routes);
    let before = thread_cpu_time();
    black_box(pack_document(&document, None).ok());
    micros(thread_cpu_time().saturating_sub(before))
}

fn pack_delta_us(routes: u32) -> f64 {
    let document = sample_document(routes);
    let changed = sample_document(routes + ADDED_ROUTES);
    let before = thread_cpu_time();
    black_box(pack_document(&changed, Some(&document)).ok());
    micros(thread_cpu_time().saturating_sub(before))
}

fn unpack_us(routes: u32) -> f64 {
    let document = sample_document(routes);
    let Ok((header, data)) = pack_document(&document, None) else {
        return f64::NAN;
    };
    let before = thread_cpu_time();
    black_box(unpack_document(&header, &data, None).ok());
    micros(thread_cpu_time().saturating_sub(before))
}

fn lookup_ns(routes: u32) -> f64 {
    let rules = |route: u32| RouteRules {
        name: sample_name(route).into(),
        prefix: format!("/{}/", sample_name(route)).into(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        latency_objective: Duration::from_millis(600),
        priority: 2,
        max_attempts: 2,
        splits: vec![("catalogo".into(), 1)],
        allowed_regions: RegionRule::default(),
    };
    let site = (0..routes).fold(SiteRoutes::new(1), |site, route| {
        site.with_route("a.example", rules(route))
    });
    let paths: Vec<String> = (0..LOOKUPS)
        .map(|lookup| format!("/{}/item", sample_name(lookup % routes)))
        .collect();
    let before = thread_cpu_time();
    for path in &paths {
        black_box(site.find("a.example", path));
    }
    let used = thread_cpu_time().saturating_sub(before);
    used.as_secs_f64() * 1e9 / f64::from(LOOKUPS)
}
