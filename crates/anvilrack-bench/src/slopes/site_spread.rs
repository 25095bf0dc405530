//! Simulates how a site document spreads in one failure domain, with the decisions of the core.
//!
//! All routers have links of 10 Mbit/s and a tenth of a core, the smallest VMs of the users' platform. The
//! reader has the document at time zero. Requests of callers are not simulated.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use anvilrack_core::{BootTime, SiteProgress, SiteSource, UploadPacer};

use crate::{MeasuredSlope, SlopePoint};

/// Numbers of routers of a failure domain; 870 is that of the design size.
const ROUTERS: [usize; 5] = [10, 35, 100, 300, 870];

/// Bandwidth of each link.
const LINK_MBPS: u32 = 10;

/// Time of a call without its data.
const ROUND_TRIP: Duration = Duration::from_millis(2);

/// Packed size of a change to 1,400 routes, in bytes, and time to apply it on a tenth of a core.
const CHANGE: (usize, Duration) = (17_400, Duration::from_millis(60));

/// The same for a document of the maximum size of 1 MB, some 6,000 routes.
const LARGEST_CHANGE: (usize, Duration) = (70_000, Duration::from_millis(260));

/// Maximum pause after a reply that a link is occupied, as in the router.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(150);

/// The version that spreads.
const VERSION: u64 = 2;

/// Simulates the spread by routers of the failure domain.
pub(super) fn measure() -> Vec<MeasuredSlope> {
    let by_routers = |name, y_label, value: fn(usize) -> f64| {
        let point = |routers: &usize| SlopePoint {
            x: *routers as f64,
            y: value(*routers),
        };
        let points = ROUTERS.iter().map(point).collect();
        MeasuredSlope::new(name, "routers of the failure domain", y_label, points)
    };
    vec![
        by_routers("site-spread.time", "all have 1,400 routes more, ms", |n| {
            spread(n, CHANGE).all_have_it.as_secs_f64() * 1e3
        }),
        by_routers("site-spread.largest", "all have 6,000 routes, ms", |n| {
            spread(n, LARGEST_CHANGE).all_have_it.as_secs_f64() * 1e3
        }),
        by_routers("site-spread.reader", "bytes sent by the reader", |n| {
            spread(n, CHANGE).reader_bytes as f64
        }),
    ]
}

/// Outcome of a simulated spread.
struct SpreadResult {
    all_have_it: BootTime,
    reader_bytes: usize,
}

struct SimulatedRouter {
    progress: SiteProgress,
    pacer: UploadPacer,
    has_document: bool,
    /// When the link will have sent all data.
    upload_free_at: BootTime,
    sent_bytes: usize,
    receivers: Vec<usize>,
}

/// Something that happens at a router; ordered by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SpreadEvent {
    Ask,
    Applied,
}

fn spread(count: usize, (bytes, apply_time): (usize, Duration)) -> SpreadResult {
    let mut draws = 0_u64;
    let mut draw = |below: usize| {
        draws = draws
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(draws >> 33).unwrap_or(0) % below.max(1)
    };
    let mut routers: Vec<_> = (0..count).map(|_| SimulatedRouter::new()).collect();
    let mut events = BinaryHeap::new();
    for (index, router) in routers.iter_mut().enumerate() {
        if index == 0 {
            router.progress.on_applied(VERSION, BootTime::ZERO);
            router.has_document = true;
        } else {
            router
                .progress
                .on_named(VERSION, Some(address(0)), BootTime::ZERO);
            events.push(Reverse((ROUND_TRIP, index, SpreadEvent::Ask)));
        }
    }
    let mut all_have_it = BootTime::ZERO;
    while let Some(Reverse((now, index, event))) = events.pop() {
        if event == SpreadEvent::Applied {
            routers[index].progress.on_applied(VERSION, now);
            routers[index].has_document = true;
            all_have_it = all_have_it.max(now);
            continue;
        }
        let Some(site_source) = routers[index].progress.next_source(now) else {
            continue;
        };
        let source = match site_source {
            SiteSource::Reader(_) => 0,
            // Other domains and the store are not simulated.
            _ => draw(count),
        };
        let mut arrival = routers[source].send(bytes, now);
        if let Err(Some(retry_after)) = arrival {
            let receiver = draw(routers[source].receivers.len());
            if let Some(receiver) = routers[source].receivers.get(receiver).copied() {
                arrival = routers[receiver].send(bytes, now + ROUND_TRIP);
                if arrival.is_ok() {
                    routers[receiver].receivers.push(index);
                }
            }
            if arrival.is_err() {
                let pause = retry_after.min(MAX_BUSY_PAUSE) + ROUND_TRIP * 2;
                events.push(Reverse((now + pause, index, SpreadEvent::Ask)));
                continue;
            }
        } else if arrival.is_ok() {
            routers[source].receivers.push(index);
        }
        if let Ok(at) = arrival {
            events.push(Reverse((at + apply_time, index, SpreadEvent::Applied)));
        } else {
            routers[index].progress.on_failure(site_source);
            let pause = routers[index].progress.retry_pause(now) + ROUND_TRIP;
            events.push(Reverse((now + pause, index, SpreadEvent::Ask)));
        }
    }
    SpreadResult {
        all_have_it,
        reader_bytes: routers[0].sent_bytes,
    }
}

impl SimulatedRouter {
    fn new() -> Self {
        Self {
            progress: SiteProgress::default(),
            pacer: UploadPacer::new(LINK_MBPS),
            has_document: false,
            upload_free_at: BootTime::ZERO,
            sent_bytes: 0,
            receivers: Vec::new(),
        }
    }

    /// Returns when the document arrives, or else the time after which to retry if the link is occupied.
    fn send(&mut self, bytes: usize, now: BootTime) -> Result<BootTime, Option<Duration>> {
        if !self.has_document {
            return Err(None);
        }
        self.pacer.admit(bytes, now).map_err(Some)?;
        let link_time = Duration::from_micros(bytes as u64 * 8 / u64::from(LINK_MBPS));
        self.upload_free_at = self.upload_free_at.max(now) + link_time;
        self.sent_bytes += bytes;
        Ok(self.upload_free_at + ROUND_TRIP)
    }
}

fn address(router: usize) -> SocketAddr {
    let port = u16::try_from(router + 1).unwrap_or(u16::MAX);
    ([127, 0, 0, 1], port).into()
}
