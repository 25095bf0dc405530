//! The commands `shapes` and `pair`.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use anvilrack_bench::{
    ShapeFault, ShapePlan, ShapeRow, goodput_plot, median, run_shape, shape_table,
};
use anvilrack_load::{LOAD_SHAPES, LoadShape};
use eyre::{WrapErr, ensure, eyre};
use serde_json::Value;

use crate::bench_flags::{Pair, Shapes};

/// Default request rates, as multiples of the targets' capacity.
const DEFAULT_FACTORS: &str = "0.5,1,2,4";

/// Default duration of a load, in milliseconds.
const DEFAULT_DURATION_MS: u64 = 3_000;

/// Default number of rounds of a comparison.
const DEFAULT_ROUNDS: usize = 3;

/// Runs the load shapes, prints the table of results and writes the files that the flags ask for.
pub(crate) fn run_shapes(flags: &Shapes) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for plan in shape_plans(flags)? {
        rows.extend(run_shape(&plan)?);
    }
    print!("{}", shape_table(&rows));
    if let Some(file) = &flags.json {
        fs::write(file, serde_json::to_string_pretty(&rows)?)?;
    }
    if let Some(dir) = &flags.svg {
        fs::create_dir_all(dir)?;
        for shape in LOAD_SHAPES {
            let file = dir.join(format!("goodput-{}.svg", shape.name));
            fs::write(file, goodput_plot(shape.name, &rows))?;
        }
    }
    Ok(())
}

fn shape_plans(flags: &Shapes) -> eyre::Result<Vec<ShapePlan>> {
    let shapes = match &flags.shape {
        Some(name) => vec![LoadShape::by_name(name).ok_or_else(|| eyre!("no shape `{name}`"))?],
        None => LOAD_SHAPES.to_vec(),
    };
    let settings: Value = serde_json::from_str(flags.settings.as_deref().unwrap_or("{}"))
        .wrap_err("--settings is not valid JSON")?;
    let duration = Duration::from_millis(flags.duration_ms.unwrap_or(DEFAULT_DURATION_MS));
    let fault = if flags.router_lost {
        ShapeFault::RouterLost
    } else {
        ShapeFault::None
    };
    let mut plans = Vec::new();
    for shape in shapes {
        for factor in flags
            .factors
            .as_deref()
            .unwrap_or(DEFAULT_FACTORS)
            .split(',')
        {
            let factor = factor
                .trim()
                .parse()
                .wrap_err_with(|| format!("`{factor}` is not a number"))?;
            plans.push(ShapePlan {
                shape,
                factor,
                duration,
                fault,
                keys: flags.keys,
                settings: settings.clone(),
            });
        }
    }
    Ok(plans)
}

// --- pair ---------------------------------------------------------------------------------------

/// Runs both sides in rounds, alternating which goes first, and prints their median results.
pub(crate) fn run_pair(flags: &Pair) -> eyre::Result<()> {
    let sides = [
        (&flags.before, &flags.before_settings),
        (&flags.after, &flags.after_settings),
    ];
    let mut rows = [Vec::new(), Vec::new()];
    for round in 0..flags.rounds.unwrap_or(DEFAULT_ROUNDS) {
        for offset in 0..sides.len() {
            let side = (round + offset) % sides.len();
            let (dir, settings) = sides[side];
            rows[side].extend(run_side(flags, dir, settings.as_deref())?);
        }
    }
    for (name, rows) in ["before", "after"].iter().zip(&rows) {
        println!("\n{name}: medians of the rounds\n");
        print!("{}", shape_table(&median_rows(rows)));
    }
    Ok(())
}

/// Runs `anvilrack-bench shapes` from a folder of binaries and returns its rows.
fn run_side(flags: &Pair, dir: &Path, settings: Option<&str>) -> eyre::Result<Vec<ShapeRow>> {
    let name = format!("anvilrack-pair-{}.json", std::process::id());
    let file = std::env::temp_dir().join(name);
    let mut command = Command::new(dir.join("anvilrack-bench"));
    command.arg("shapes").arg("--json").arg(&file);
    let options = [
        ("--shape", flags.shape.clone()),
        ("--factors", flags.factors.clone()),
        ("--duration-ms", flags.duration_ms.map(|ms| ms.to_string())),
        ("--settings", settings.map(str::to_owned)),
    ];
    for (option, value) in options {
        if let Some(value) = value {
            command.arg(option).arg(value);
        }
    }
    if flags.router_lost {
        command.arg("--router-lost");
    }
    let exit_status = command
        .status()
        .wrap_err_with(|| format!("cannot start anvilrack-bench in {}", dir.display()))?;
    ensure!(
        exit_status.success(),
        "anvilrack-bench in {} failed",
        dir.display()
    );
    let rows = serde_json::from_str(&fs::read_to_string(&file)?)?;
    fs::remove_file(&file)?;
    Ok(rows)
}

/// Returns one row for each service and rate: the medians of measured values, and the sums of
/// verdicts and violations.
fn median_rows(rows: &[ShapeRow]) -> Vec<ShapeRow> {
    let mut groups: BTreeMap<(String, String, u64), Vec<&ShapeRow>> = BTreeMap::new();
    for row in rows {
        let group = (row.shape.clone(), row.service.clone(), row.factor.to_bits());
        groups.entry(group).or_default().push(row);
    }
    groups.into_values().map(|rows| median_row(&rows)).collect()
}

fn median_row(rows: &[&ShapeRow]) -> ShapeRow {
    let median_of =
        |value: fn(&ShapeRow) -> f64| median(rows.iter().map(|row| value(row)).collect());
    let sum = |value: fn(&ShapeRow) -> u64| rows.iter().map(|row| value(row)).sum();
    let median_latency = |value: fn(&ShapeRow) -> u64| {
        let mut values: Vec<u64> = rows.iter().map(|row| value(row)).collect();
        values.sort_unstable();
        values[values.len() / 2]
    };
    let mut row = rows[0].clone();
    row.imbalance_max = median_of(|row| row.imbalance_max);
    row.imbalance_p99 = median_of(|row| row.imbalance_p99);
    row.gap_median_ms = median_of(|row| row.gap_median_ms);
    row.gap_max_ms = median_of(|row| row.gap_max_ms);
    row.goodput = median_of(|row| row.goodput);
    row.report.p50_us = median_latency(|row| row.report.p50_us);
    row.report.p99_us = median_latency(|row| row.report.p99_us);
    row.report.not_run = sum(|row| row.report.not_run);
    row.report.may_have_run = sum(|row| row.report.may_have_run);
    row.report.run_twice = sum(|row| row.report.run_twice);
    row.report.wrong_answer = sum(|row| row.report.wrong_answer);
    row.report.not_run_but_ran = sum(|row| row.report.not_run_but_ran);
    row.report.two_owners = sum(|row| row.report.two_owners);
    row
}
