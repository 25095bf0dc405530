//! The assignment table: memory, changes and look-ups.

use std::hint::black_box;
use std::sync::Arc;

use anvilrack_core::{RecordDelta, RouteTable};

use super::ROUNDS;
use crate::cpu_clock::{memory_of, thread_cpu};
use crate::sample_cell::{SHARDS_PER_MEMBER, moved_record, sample_table};
use crate::slope_fit::median_points;
use crate::{MeasuredSlope, SlopePoint};

/// Members of one cell.
const CELL_MEMBERS: u32 = 400;

/// Cells in a table; 50 make up the 320,000 entries that we design for.
const CELLS: [u32; 5] = [10, 20, 30, 40, 50];

/// Sizes of a cell for look-ups.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Look-ups in one measurement.
const LOOK_UPS: u32 = 20_000;

/// Changes in one measurement.
const CHANGES: u32 = 20;

/// Shards that one change moves: those of one member.
const MOVED: u32 = SHARDS_PER_MEMBER;

/// Memory, processor time of a change in full and by a delta, and time of a look-up.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let entries = "entries of the table";
    let by_cells = |work: fn(u32) -> f64| {
        let mut points = median_points(&CELLS, ROUNDS, work);
        for point in &mut points {
            point.x *= f64::from(CELL_MEMBERS * SHARDS_PER_MEMBER);
        }
        points
    };
    let look_up = median_points(&MEMBERS, ROUNDS, look_up_ns);
    Ok(vec![
        MeasuredSlope::new("table.memory", entries, "resident memory, bytes", memory()?),
        MeasuredSlope::new(
            "table.full",
            entries,
            "take one record in full, us",
            by_cells(full_us),
        ),
        MeasuredSlope::new(
            "table.delta",
            entries,
            "take one delta, us",
            by_cells(delta_us),
        ),
        MeasuredSlope::new(
            "table.look-up",
            "members of the cell",
            "one look-up, ns",
            look_up,
        ),
    ])
}

/// Tables of all sizes are kept side by side, so that freed memory is not counted twice.
fn memory() -> eyre::Result<Vec<SlopePoint>> {
    let own = std::process::id();
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for cells in CELLS {
        let before = memory_of(own)?;
        kept.push(sample_table(cells, CELL_MEMBERS));
        points.push(SlopePoint {
            x: f64::from(cells * CELL_MEMBERS * SHARDS_PER_MEMBER),
            y: memory_of(own)?.saturating_sub(before) as f64,
        });
    }
    black_box(kept);
    Ok(points)
}

/// Takes a change as [`RouteTable`]'s holder does: into a copy, which then replaces the old table.
fn take(table: &mut Arc<RouteTable>, change: impl FnOnce(&mut RouteTable)) {
    let mut next = RouteTable::clone(table);
    change(&mut next);
    *table = Arc::new(next);
}

fn full_us(cells: u32) -> f64 {
    let mut table = Arc::new(sample_table(cells, CELL_MEMBERS));
    let mut used = 0.0;
    for _ in 0..CHANGES {
        let Some(known) = table.cell("service-03").cloned() else {
            return f64::NAN;
        };
        let next = Arc::new(moved_record(&known, MOVED));
        let before = thread_cpu();
        take(&mut table, |table| {
            black_box(table.accept_cell(next));
        });
        used += thread_cpu().saturating_sub(before).as_secs_f64();
    }
    used * 1e6 / f64::from(CHANGES)
}

fn delta_us(cells: u32) -> f64 {
    let mut table = Arc::new(sample_table(cells, CELL_MEMBERS));
    let mut used = 0.0;
    for _ in 0..CHANGES {
        let Some(known) = table.cell("service-03").cloned() else {
            return f64::NAN;
        };
        let next = moved_record(&known, MOVED);
        let deltas = [Arc::new(RecordDelta::new(&known, &next))];
        let before = thread_cpu();
        take(&mut table, |table| {
            for record in table.records_after(&deltas) {
                black_box(table.accept_cell(record));
            }
        });
        used += thread_cpu().saturating_sub(before).as_secs_f64();
    }
    used * 1e6 / f64::from(CHANGES)
}

fn look_up_ns(members: u32) -> f64 {
    let table = sample_table(2, members);
    let keys: Vec<String> = (0..LOOK_UPS).map(|key| format!("trip-{key}")).collect();
    let before = thread_cpu();
    for key in &keys {
        let _ = black_box(table.resolve("service-01", key));
    }
    let used = thread_cpu().saturating_sub(before);
    used.as_secs_f64() * 1e9 / f64::from(LOOK_UPS)
}
