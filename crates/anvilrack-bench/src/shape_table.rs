//! What loads showed, as a table and as a plot.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::svg_plot::{PlotSeries, series_plot};
use crate::{ShapeRow, SlopePoint, median};

const HEAD: &str = "\
| load | times capacity | goodput of offered, a second | p50, p99 ms | not run | may have run \
| max, p99 over mean | gap median, max ms | faults |
|---|---|---|---|---|---|---|---|---|
";

/// A table in Markdown; one row for each service and rate.
#[must_use]
pub fn shape_table(rows: &[ShapeRow]) -> String {
    let mut table = String::from(HEAD);
    for row in rows {
        let report = &row.report;
        let faults =
            report.run_twice + report.wrong_answer + report.not_run_but_ran + report.two_owners;
        // Writing into a string cannot fail.
        let _ = writeln!(
            table,
            "| {}/{} | {} | {:.0} of {:.0} | {:.0}, {:.0} | {} | {} | {:.2}, {:.2} \
             | {:.0}, {:.0} | {} |",
            row.shape,
            row.service,
            row.factor,
            row.goodput,
            row.offered,
            report.p50_us as f64 / 1e3,
            report.p99_us as f64 / 1e3,
            report.not_run,
            report.may_have_run,
            row.imbalance_max,
            row.imbalance_p99,
            row.gap_median_ms,
            row.gap_max_ms,
            faults,
        );
    }
    table
}

/// A plot of goodput by rate, one line for each service.
#[must_use]
pub fn goodput_plot(shape: &str, rows: &[ShapeRow]) -> String {
    let mut lines: BTreeMap<&str, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.shape == shape) {
        let line = lines.entry(&row.service).or_default();
        let values = line.entry(row.factor.to_bits()).or_default();
        values.push(row.goodput);
    }
    let series: Vec<PlotSeries> = lines
        .into_iter()
        .map(|(service, line)| {
            let points = line.into_iter().map(|(factor, values)| SlopePoint {
                x: f64::from_bits(factor),
                y: median(values),
            });
            PlotSeries::new(service, points.collect())
        })
        .collect();
    let labels = ("rate over capacity", "answers a second");
    series_plot(&format!("Goodput, {shape}"), labels, &series)
}
