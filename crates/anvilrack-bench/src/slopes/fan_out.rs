//! Bytes that one change of a cell or of the configuration sends to each router.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvilrack_core::{ConfigDocument, ConfigRecord, RecordDelta};
use anvilrack_wire::{PeerReply, TableUpdate, encode};

use crate::sample_cell::{moved_record, sample_member, sample_record, sample_rules};
use crate::{MeasuredSlope, SlopePoint};

/// Numbers of members of a cell.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Numbers of shards that move in one change.
const MOVED_SHARDS: [u32; 5] = [1, 16, 48, 112, 288];

/// Services of a configuration, one for each cell.
const CONFIG_SERVICES: u32 = 50;

/// Numbers of pinned keys; the configuration assigns each of them to a router by name.
const PINNED_KEYS: [u32; 4] = [0, 100, 500, 1_100];

/// Measures the bytes of a full record by members of the cell, of a delta by moved shards, and of a
/// configuration by pinned keys.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let (mut full, mut stored) = (Vec::new(), Vec::new());
    for members in MEMBERS {
        let update = TableUpdate {
            cells: vec![Arc::new(sample_record("bookings", members))],
            ..TableUpdate::default()
        };
        full.push(update_point(members, update)?);
        stored.push(SlopePoint {
            x: f64::from(members),
            y: serde_json::to_vec(&sample_record("bookings", members))?.len() as f64,
        });
    }
    let record = sample_record("bookings", 400);
    let mut delta = Vec::new();
    for moved in MOVED_SHARDS {
        let record_delta = RecordDelta::new(&record, &moved_record(&record, moved));
        let update = TableUpdate {
            deltas: vec![Arc::new(record_delta)],
            ..TableUpdate::default()
        };
        delta.push(update_point(moved, update)?);
    }
    let mut pins = Vec::new();
    for count in PINNED_KEYS {
        let update = TableUpdate {
            config: Some(Arc::new(pinned_config(count))),
            ..TableUpdate::default()
        };
        pins.push(update_point(count, update)?);
    }
    Ok(vec![
        MeasuredSlope::new(
            "fan-out.full",
            "members of the cell",
            "bytes of a record",
            full,
        ),
        MeasuredSlope::new(
            "fan-out.stored",
            "members of the cell",
            "bytes in the store",
            stored,
        ),
        MeasuredSlope::new(
            "fan-out.config",
            "pinned keys",
            "bytes of a configuration",
            pins,
        ),
        MeasuredSlope::new(
            "fan-out.delta",
            "shards that moved",
            "bytes of a delta",
            delta,
        ),
    ])
}

/// Returns a configuration of 50 services, the first of which has `pins` pinned keys.
fn pinned_config(pins: u32) -> ConfigRecord {
    let names = (0..CONFIG_SERVICES).map(|number| format!("service-{number:02}").into());
    let mut services: BTreeMap<_, _> = names.map(|name| (name, sample_rules(400))).collect();
    if let Some(mut first) = services.first_entry() {
        let pinned = (0..pins).map(|pin| {
            let key = format!("trip-{:012}", u64::from(pin) * 7_919);
            (key.into(), sample_member(pin).node)
        });
        first.get_mut().pinned_keys = pinned.collect();
    }
    ConfigRecord {
        revision: 40_000,
        apply_id: "0197a2f4-7c1b-7000-8000-000000000000".into(),
        document: ConfigDocument {
            services,
            ..ConfigDocument::default()
        },
    }
}

fn update_point(size: u32, update: TableUpdate) -> eyre::Result<SlopePoint> {
    let bytes = encode(&PeerReply::Update(update))?.len();
    Ok(SlopePoint {
        x: f64::from(size),
        y: bytes as f64,
    })
}
