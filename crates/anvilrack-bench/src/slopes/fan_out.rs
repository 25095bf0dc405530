//! Bytes that one change sends to each router.

use std::sync::Arc;

use anvilrack_core::RecordDelta;
use anvilrack_wire::{PeerReply, TableUpdate, encode};

use crate::sample_cell::{moved_record, sample_record};
use crate::{MeasuredSlope, SlopePoint};

/// Sizes of a cell.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Shards that move at once.
const MOVED: [u32; 5] = [1, 16, 48, 112, 288];

/// A full record by members of the cell, and a delta by shards that moved.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let mut full = Vec::new();
    for members in MEMBERS {
        let update = TableUpdate {
            cells: vec![Arc::new(sample_record("bookings", members))],
            ..TableUpdate::default()
        };
        full.push(point(members, update)?);
    }
    let record = sample_record("bookings", 400);
    let mut delta = Vec::new();
    for moved in MOVED {
        let step = RecordDelta::new(&record, &moved_record(&record, moved));
        let update = TableUpdate {
            deltas: vec![Arc::new(step)],
            ..TableUpdate::default()
        };
        delta.push(point(moved, update)?);
    }
    Ok(vec![
        MeasuredSlope::new(
            "fan-out.full",
            "members of the cell",
            "bytes of a record",
            full,
        ),
        MeasuredSlope::new(
            "fan-out.delta",
            "shards that moved",
            "bytes of a delta",
            delta,
        ),
    ])
}

fn point(size: u32, update: TableUpdate) -> eyre::Result<SlopePoint> {
    let bytes = encode(&PeerReply::Update(update))?.len();
    Ok(SlopePoint {
        x: f64::from(size),
        y: bytes as f64,
    })
}
