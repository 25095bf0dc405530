//! Costs of the assignment table: memory, changes and lookups.

use std::hint::black_box;
use std::sync::Arc;

use anvilrack_core::{RecordDelta, RouteTable};

use super::ROUNDS;
use crate::cpu_clock::{resident_memory_of, thread_cpu_time};
use crate::sample_cell::{SHARDS_PER_MEMBER, moved_record, sample_table};
use crate::slope_fit::median_points;
use crate::{MeasuredSlope, SlopePoint};

/// Members of one cell.
const CELL_MEMBERS: u32 = 400;

/// Numbers of cells in a table; 50 cells hold the 320,000 entries of the design size.
const CELLS: [u32; 5] = [10, 20, 30, 40, 50];

/// Members of each cell for the lookup measurement.
const MEMBERS: [u32; 5] = [50, 100, 200, 300, 400];

/// Lookups in one measurement.
const LOOKUPS: u32 = 20_000;

/// Changes in one measurement.
const CHANGES: u32 = 20;

/// Shards that one change moves: all shards of one member.
const MOVED_SHARDS: u32 = SHARDS_PER_MEMBER;

/// Measures the memory of a table, and the processor time of applying a full record, of applying a
/// delta, and of a lookup.
pub(super) fn measure() -> eyre::Result<Vec<MeasuredSlope>> {
    let entries = "entries of the table";
    let by_cells = |work: fn(u32) -> f64| {
        let mut points = median_points(&CELLS, ROUNDS, work);
        for point in &mut points {
            point.x *= f64::from(CELL_MEMBERS * SHARDS_PER_MEMBER);
        }
        points
    };
    let lookup = median_points(&MEMBERS, ROUNDS, lookup_ns);
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
            lookup,
        ),
    ])
}

/// Measures the resident memory of tables.
///
/// No table is dropped before the end: a new table would reuse the freed memory and seem too small.
fn memory() -> eyre::Result<Vec<SlopePoint>> {
    let own_pid = std::process::id();
    let mut tables = Vec::new();
    let mut points = Vec::new();
    for cells in CELLS {
        let before = resident_memory_of(own_pid)?;
        tables.push(sample_table(cells, CELL_MEMBERS));
        points.push(SlopePoint {
            x: f64::from(cells * CELL_MEMBERS * SHARDS_PER_MEMBER),
            y: resident_memory_of(own_pid)?.saturating_sub(before) as f64,
        });
    }
    black_box(tables);
    Ok(points)
}

/// Applies a change as the router does to its [`RouteTable`]: to a copy that then replaces the old
/// table.
fn apply_change(table: &mut Arc<RouteTable>, change: impl FnOnce(&mut RouteTable)) {
    let mut next = RouteTable::clone(table);
    change(&mut next);
    *table = Arc::new(next);
}

fn full_us(cells: u32) -> f64 {
    let mut table = Arc::new(sample_table(cells, CELL_MEMBERS));
    let mut used = 0.0;
    for _ in 0..CHANGES {
        let Some(current) = table.cell("service-03").cloned() else {
            return f64::NAN;
        };
        let next = Arc::new(moved_record(&current, MOVED_SHARDS));
        let before = thread_cpu_time();
        apply_change(&mut table, |table| {
            black_box(table.accept_cell(next));
        });
        used += thread_cpu_time().saturating_sub(before).as_secs_f64();
    }
    used * 1e6 / f64::from(CHANGES)
}

fn delta_us(cells: u32) -> f64 {
    let mut table = Arc::new(sample_table(cells, CELL_MEMBERS));
    let mut used = 0.0;
    for _ in 0..CHANGES {
        let Some(current) = table.cell("service-03").cloned() else {
            return f64::NAN;
        };
        let next = moved_record(&current, MOVED_SHARDS);
        let deltas = [Arc::new(RecordDelta::new(&current, &next))];
        let before = thread_cpu_time();
        apply_change(&mut table, |table| {
            for record in table.records_from_deltas(&deltas) {
                black_box(table.accept_cell(record));
            }
        });
        used += thread_cpu_time().saturating_sub(before).as_secs_f64();
    }
    used * 1e6 / f64::from(CHANGES)
}

fn lookup_ns(members: u32) -> f64 {
    let table = sample_table(2, members);
    let keys: Vec<String> = (0..LOOKUPS).map(|key| format!("trip-{key}")).collect();
    let before = thread_cpu_time();
    for key in &keys {
        let _ = black_box(table.resolve("service-01", key));
    }
    let used = thread_cpu_time().saturating_sub(before);
    used.as_secs_f64() * 1e9 / f64::from(LOOKUPS)
}
