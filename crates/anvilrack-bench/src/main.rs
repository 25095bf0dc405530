//! `anvilrack-bench`: measures slopes, prints the capacity page and runs load experiments.

use std::fs;
use std::path::Path;

use anvilrack_bench::{MeasuredSlope, capacity_page, measure_slopes, short_number, slope_plot};
use eyre::WrapErr;

mod bench_flags;
mod shape_commands;

use bench_flags as flags;

fn main() -> eyre::Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match flags::AnvilrackBench::from_env_or_exit().subcommand {
        flags::AnvilrackBenchCmd::Slopes(flags) => run_slopes(&flags),
        flags::AnvilrackBenchCmd::Shapes(flags) => shape_commands::run_shapes(&flags),
        flags::AnvilrackBenchCmd::Pair(flags) => shape_commands::run_pair(&flags),
        flags::AnvilrackBenchCmd::Capacity(flags) => print_capacity(&flags),
    }
}

fn run_slopes(flags: &flags::Slopes) -> eyre::Result<()> {
    let slopes = measure_slopes(flags.only.as_deref())?;
    for slope in &slopes {
        print_slope(slope);
    }
    if let Some(file) = &flags.json {
        write_slopes(file, &slopes, flags.only.is_some())?;
    }
    if let Some(dir) = &flags.svg {
        fs::create_dir_all(dir)?;
        for slope in &slopes {
            fs::write(dir.join(format!("{}.svg", slope.name)), slope_plot(slope))?;
        }
    }
    Ok(())
}

/// Writes slopes to a file, sorted by name.
///
/// With `merge`, slopes that the file already holds under other names are kept.
fn write_slopes(file: &Path, slopes: &[MeasuredSlope], merge: bool) -> eyre::Result<()> {
    let mut merged = if merge && file.exists() {
        read_slopes(file)?
    } else {
        Vec::new()
    };
    merged.retain(|old| slopes.iter().all(|slope| slope.name != old.name));
    merged.extend(slopes.iter().cloned());
    merged.sort_by(|left, right| left.name.cmp(&right.name));
    fs::write(file, serde_json::to_string_pretty(&merged)?)
        .wrap_err_with(|| format!("cannot write {}", file.display()))
}

fn read_slopes(file: &Path) -> eyre::Result<Vec<MeasuredSlope>> {
    let text =
        fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    Ok(serde_json::from_str(&text)?)
}

fn print_slope(slope: &MeasuredSlope) {
    println!("{}: {} by {}", slope.name, slope.y_label, slope.x_label);
    for point in &slope.points {
        println!(
            "  {:>10} {:>12}",
            short_number(point.x),
            short_number(point.y)
        );
    }
    let fit = slope.fit;
    println!(
        "  line: {} + {:.4} x, r2 {:.3}",
        short_number(fit.intercept),
        fit.slope,
        fit.r_squared
    );
}

fn print_capacity(flags: &flags::Capacity) -> eyre::Result<()> {
    print!("{}", capacity_page(&read_slopes(&flags.json)?)?);
    Ok(())
}
