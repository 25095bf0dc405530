//! The tables of the capacity page, worked out from measured slopes.

use std::fmt::Write;

use crate::{MeasuredSlope, short_number};

/// Prints the table of the slopes.
///
/// # Errors
///
/// Where a slope that the page needs is missing.
pub fn capacity_page(slopes: &[MeasuredSlope]) -> eyre::Result<String> {
    let mut page = String::from("| slope | points | line | r2 |\n|---|---|---|---|\n");
    for slope in slopes {
        let points = slope.points.iter();
        let points: Vec<_> = points
            .map(|point| format!("{}: {}", short_number(point.x), short_number(point.y)))
            .collect();
        writeln!(
            page,
            "| `{}`, {} by {} | {} | {} + {:.3e} x | {:.3} |",
            slope.name,
            slope.y_label,
            slope.x_label,
            points.join(", "),
            short_number(slope.fit.intercept),
            slope.fit.slope,
            slope.fit.r_squared
        )?;
    }
    Ok(page)
}
