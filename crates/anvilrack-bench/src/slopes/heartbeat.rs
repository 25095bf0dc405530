//! What heartbeats cost, on the wire and in processor time.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anvilrack_core::{CoordinatorState, CrashReport};
use anvilrack_harness::free_port;
use anvilrack_peer::{LinkClass, PeerLinks, PeerServer, PeerService, ReplySender};
use anvilrack_wire::{HeartbeatReply, HeartbeatRequest, PeerReply, PeerRequest, TableDigest};
use eyre::ensure;
use tokio::runtime::Runtime;

use super::ROUNDS;
use crate::byte_relay::ByteRelay;
use crate::cpu_clock::process_cpu;
use crate::sample_cell::{SAMPLE_NOW, sample_coordinator, sample_report};
use crate::slope_fit::median_points;
use crate::{MeasuredSlope, SlopePoint};

/// Heartbeats in one measurement.
const BEATS: u32 = 2_000;

/// Heartbeats over the counting relay.
const COUNTED_BEATS: u32 = 50;

/// Time for one heartbeat.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sizes of a cell.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Numbers of cells that a router knows.
const CELLS: [u32; 5] = [1, 10, 20, 35, 50];

/// How a member tells which versions it has.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DigestForm {
    /// Each cell by name.
    Full,
    /// Its own cell by name, and all by a hash.
    Short,
}

/// Answers heartbeats as a coordinator does.
struct BeatHandler {
    state: Mutex<CoordinatorState>,
}

impl PeerService for BeatHandler {
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

/// A coordinator and the links to it, in one process.
struct BeatBench {
    runtime: Runtime,
    links: PeerLinks,
    coordinator: SocketAddr,
}

impl BeatBench {
    fn new(members: u32) -> eyre::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let coordinator = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let handler = BeatHandler {
            state: Mutex::new(sample_coordinator(members)),
        };
        PeerServer::start(runtime.handle(), coordinator, Arc::new(handler))?;
        Ok(Self {
            links: PeerLinks::new(runtime.handle().clone()),
            runtime,
            coordinator,
        })
    }

    fn beat(&self, address: SocketAddr, cells: u32, form: DigestForm) -> eyre::Result<()> {
        let request = beat_request(cells, form);
        let answer = self
            .links
            .call(address, LinkClass::Control, &request, CALL_TIMEOUT)?;
        ensure!(matches!(answer, PeerReply::Heartbeat(_)), "no heartbeat");
        Ok(())
    }

    fn close(self) {
        self.runtime.shutdown_background();
    }
}

fn beat_request(cells: u32, form: DigestForm) -> PeerRequest {
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

/// Processor time by members of the cell, and bytes by cells that the member knows.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let mut failure = None;
    let cpu = median_points(&MEMBERS, ROUNDS, |members| {
        cpu_of_beat(members).unwrap_or_else(|error| {
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

fn cpu_of_beat(members: u32) -> eyre::Result<f64> {
    let bench = BeatBench::new(members)?;
    bench.beat(bench.coordinator, 1, DigestForm::Short)?;
    let before = process_cpu();
    for _ in 0..BEATS {
        bench.beat(bench.coordinator, 1, DigestForm::Short)?;
    }
    let used = process_cpu().saturating_sub(before);
    bench.close();
    Ok(used.as_secs_f64() * 1e6 / f64::from(BEATS))
}

fn bytes_by_cells(form: DigestForm) -> eyre::Result<Vec<SlopePoint>> {
    let bench = BeatBench::new(50)?;
    let relay = ByteRelay::new(bench.coordinator)?;
    let mut points = Vec::new();
    for cells in CELLS {
        // The first call opens the link.
        bench.beat(relay.address(), cells, form)?;
        let before = relay.bytes();
        for _ in 0..COUNTED_BEATS {
            bench.beat(relay.address(), cells, form)?;
        }
        let bytes = (relay.bytes() - before) as f64;
        points.push(SlopePoint {
            x: f64::from(cells),
            y: bytes / f64::from(COUNTED_BEATS),
        });
    }
    bench.close();
    Ok(points)
}
