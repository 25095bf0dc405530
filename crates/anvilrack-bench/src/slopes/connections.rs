//! Memory of a router by open links and by callers' idle connections.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use anvilrack_harness::Deployment;
use anvilrack_peer::{LinkClass, PeerLinks};
use anvilrack_wire::{PeerRequest, TableDigest};
use eyre::ensure;

use crate::cpu_clock::memory_of;
use crate::{MeasuredSlope, SlopePoint};

/// Open links or connections.
const COUNTS: [usize; 5] = [0, 50, 100, 200, 400];

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for the router to come to rest.
const REST: Duration = Duration::from_millis(300);

/// A router that stands alone, with its target.
fn lone_router() -> eyre::Result<Deployment> {
    let mut deployment = Deployment::new("bookings", 1)?;
    deployment.await_ready()?;
    Ok(deployment)
}

/// Memory by links of other routers, and by connections of callers.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let label = "resident memory of a router, bytes";
    Ok(vec![
        MeasuredSlope::new("connections.links", "open links", label, links()?),
        MeasuredSlope::new("connections.callers", "idle connections", label, callers()?),
    ])
}

fn links() -> eyre::Result<Vec<SlopePoint>> {
    let deployment = lone_router()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let peer = deployment.peer_address(0);
    let request = PeerRequest::Pull(TableDigest::default());
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in COUNTS {
        while open.len() < count {
            let links = PeerLinks::new(runtime.handle().clone());
            links.call(peer, LinkClass::Control, &request, CALL_TIMEOUT)?;
            open.push(links);
        }
        points.push(memory_point(&deployment, count)?);
    }
    drop(open);
    runtime.shutdown_background();
    Ok(points)
}

fn callers() -> eyre::Result<Vec<SlopePoint>> {
    let deployment = lone_router()?;
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in COUNTS {
        while open.len() < count {
            open.push(idle_connection(deployment.callers[0])?);
        }
        points.push(memory_point(&deployment, count)?);
    }
    Ok(points)
}

/// A connection that has had one answer and stays open.
fn idle_connection(router: SocketAddr) -> eyre::Result<TcpStream> {
    use std::io::{Read, Write};
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(b"GET /bookings/key-1 HTTP/1.1\r\nHost: router\r\n\r\n")?;
    let mut start = [0; 64];
    let length = stream.read(&mut start)?;
    ensure!(start[..length].starts_with(b"HTTP/1.1 "), "no HTTP answer");
    Ok(stream)
}

fn memory_point(deployment: &Deployment, count: usize) -> eyre::Result<SlopePoint> {
    thread::sleep(REST);
    let memory = memory_of(deployment.routers[0].id())?;
    Ok(SlopePoint {
        x: count as f64,
        y: memory as f64,
    })
}
