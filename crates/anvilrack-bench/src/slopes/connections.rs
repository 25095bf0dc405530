//! Memory of a router by the number of open links and of callers' idle connections.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use anvilrack_harness::Deployment;
use anvilrack_peer::{LinkClass, PeerLinks};
use anvilrack_wire::{PeerRequest, TableDigest};
use eyre::ensure;

use crate::cpu_clock::resident_memory_of;
use crate::{MeasuredSlope, SlopePoint};

/// Numbers of open links or connections.
const CONNECTION_COUNTS: [usize; 5] = [0, 50, 100, 200, 400];

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause before memory is read, for the router to finish its work on the connections.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Starts a deployment of one router and its target.
fn single_router() -> eyre::Result<Deployment> {
    let mut deployment = Deployment::new("bookings", 1)?;
    deployment.await_ready()?;
    Ok(deployment)
}

/// Measures memory by links of other routers, and by idle connections of callers.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let label = "resident memory of a router, bytes";
    Ok(vec![
        MeasuredSlope::new("connections.links", "open links", label, link_points()?),
        MeasuredSlope::new(
            "connections.callers",
            "idle connections",
            label,
            caller_points()?,
        ),
    ])
}

fn link_points() -> eyre::Result<Vec<SlopePoint>> {
    let deployment = single_router()?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let peer = deployment.peer_address(0);
    let request = PeerRequest::Pull(TableDigest::default());
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in CONNECTION_COUNTS {
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

fn caller_points() -> eyre::Result<Vec<SlopePoint>> {
    let deployment = single_router()?;
    let mut open = Vec::new();
    let mut points = Vec::new();
    for count in CONNECTION_COUNTS {
        while open.len() < count {
            open.push(idle_connection(deployment.caller_addresses[0])?);
        }
        points.push(memory_point(&deployment, count)?);
    }
    Ok(points)
}

/// Opens a connection, makes one request on it and leaves it open.
fn idle_connection(router: SocketAddr) -> eyre::Result<TcpStream> {
    use std::io::{Read, Write};
    let mut stream = TcpStream::connect(router)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(b"GET /bookings/key-1 HTTP/1.1\r\nHost: router\r\n\r\n")?;
    let mut response = [0; 64];
    let length = stream.read(&mut response)?;
    ensure!(
        response[..length].starts_with(b"HTTP/1.1 "),
        "the router did not send an HTTP response"
    );
    Ok(stream)
}

fn memory_point(deployment: &Deployment, count: usize) -> eyre::Result<SlopePoint> {
    thread::sleep(SETTLE_TIME);
    let memory = resident_memory_of(deployment.routers[0].id())?;
    Ok(SlopePoint {
        x: count as f64,
        y: memory as f64,
    })
}
