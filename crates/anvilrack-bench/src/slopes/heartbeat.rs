//! Costs of heartbeats: bytes on the wire and processor time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvilrack_core::{CoordinatorState, CrashReport};
use anvilrack_harness::free_port;
use anvilrack_peer::{LinkClass, PeerLimits, PeerLinks, PeerServer, PeerService, ReplySender};
use anvilrack_wire::{HeartbeatReply, HeartbeatRequest, PeerReply, PeerRequest, TableDigest};
use eyre::ensure;
use tokio::runtime::Runtime;

use super::ROUNDS;
use crate::byte_relay::ByteRelay;
use crate::cpu_clock::process_cpu_time;
use crate::sample_cell::{SAMPLE_NOW, sample_coordinator, sample_report};
use crate::slope_fit::median_points;
use crate::{MeasuredSlope, SlopePoint};

/// Heartbeats in one measurement of processor time.
const HEARTBEATS: u32 = 2_000;

/// Heartbeats in one measurement of bytes, sent over the counting relay.
const COUNTED_HEARTBEATS: u32 = 50;

/// Timeout of one heartbeat.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Numbers of members of a cell.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Numbers of cells that a router knows.
const CELLS: [u32; 5] = [1, 10, 20, 35, 50];

/// How a member reports the versions of the cell records it has.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DigestForm {
    /// The version of each cell, by name.
    Full,
    /// The version of its own cell, and a hash over the versions of all cells.
    Short,
}

/// Responds to heartbeats as a coordinator does, without updates.
struct HeartbeatHandler {
    state: Mutex<CoordinatorState>,
}

impl PeerService for HeartbeatHandler {
    fn serve(&self, request: PeerRequest, reply: ReplySender) {
        let PeerRequest::Heartbeat(request) = request else {
            return;
        };
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let answer = state.on_heartbeat(&request.report, SAMPLE_NOW);
        reply.send(PeerReply::Heartbeat(Box::new(HeartbeatReply {
            answer,
            update: anvilrack_wire::TableUpdate::default(),
            crashes: CrashReport::default(),
        })));
    }
}

/// A coordinator and a member's links to it, in one process.
struct HeartbeatBench {
    runtime: Runtime,
    links: PeerLinks,
    coordinator: SocketAddr,
}

impl HeartbeatBench {
    fn new(members: u32) -> eyre::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let coordinator = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let handler = HeartbeatHandler {
            state: Mutex::new(sample_coordinator(members)),
        };
        let limits = PeerLimits::default();
        PeerServer::start(runtime.handle(), coordinator, Arc::new(handler), limits)?;
        Ok(Self {
            links: PeerLinks::new(runtime.handle().clone()),
            runtime,
            coordinator,
        })
    }

    fn send_heartbeat(
        &self,
        address: SocketAddr,
        cells: u32,
        form: DigestForm,
    ) -> eyre::Result<()> {
        let request = heartbeat_request(cells, form);
        let reply = self
            .links
            .call(address, LinkClass::Control, &request, CALL_TIMEOUT)?;
        ensure!(
            matches!(reply, PeerReply::Heartbeat(_)),
            "the coordinator did not respond with a heartbeat reply"
        );
        Ok(())
    }

    fn close(self) {
        self.runtime.shutdown_background();
    }
}

fn heartbeat_request(cells: u32, form: DigestForm) -> PeerRequest {
    let names = (0..cells).map(|cell| (format!("service-{cell:02}").into(), 1_000_000));
    let mut digest = TableDigest {
        cells: names.collect(),
        revision: 40_000,
        summary: None,
    };
    if form == DigestForm::Short {
        digest = digest.shortened("service-00");
    }
    PeerRequest::Heartbeat(HeartbeatRequest {
        service: "bookings".into(),
        report: sample_report(5),
        digest,
        crashes: CrashReport::default(),
    })
}

/// Measures processor time by members of the cell, and bytes by cells that the member knows.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let mut failure = None;
    let cpu = median_points(&MEMBERS, ROUNDS, |members| {
        cpu_us_per_heartbeat(members).unwrap_or_else(|error| {
            failure = Some(error);
            f64::NAN
        })
    });
    if let Some(error) = failure {
        return Err(error);
    }
    let cpu = MeasuredSlope::new(
        "heartbeat.cpu",
        "members of the cell",
        "processor time of both ends, us",
        cpu,
    );
    let bytes = |name, form| {
        let cells = "cells that the member knows";
        let points = bytes_by_cells(form)?;
        Ok(MeasuredSlope::new(name, cells, "bytes both ways", points))
    };
    let full = bytes("heartbeat.bytes-full", DigestForm::Full);
    let short = bytes("heartbeat.bytes", DigestForm::Short);
    [Ok(cpu), full, short].into_iter().collect()
}

fn cpu_us_per_heartbeat(members: u32) -> eyre::Result<f64> {
    let bench = HeartbeatBench::new(members)?;
    bench.send_heartbeat(bench.coordinator, 1, DigestForm::Short)?;
    let before = process_cpu_time();
    for _ in 0..HEARTBEATS {
        bench.send_heartbeat(bench.coordinator, 1, DigestForm::Short)?;
    }
    let used = process_cpu_time().saturating_sub(before);
    bench.close();
    Ok(used.as_secs_f64() * 1e6 / f64::from(HEARTBEATS))
}

fn bytes_by_cells(form: DigestForm) -> eyre::Result<Vec<SlopePoint>> {
    let bench = HeartbeatBench::new(50)?;
    let relay = ByteRelay::new(bench.coordinator)?;
    let mut points = Vec::new();
    for cells in CELLS {
        // The first call opens the link and is not counted.
        bench.send_heartbeat(relay.address(), cells, form)?;
        let before = relay.bytes();
        for _ in 0..COUNTED_HEARTBEATS {
            bench.send_heartbeat(relay.address(), cells, form)?;
        }
        let bytes = (relay.bytes() - before) as f64;
        points.push(SlopePoint {
            x: f64::from(cells),
            y: bytes / f64::from(COUNTED_HEARTBEATS),
        });
    }
    bench.close();
    Ok(points)
}
