//! The results of load runs as a Markdown table and as an SVG plot.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::svg_plot::{PlotSeries, series_plot};
use crate::{ShapeRow, SlopePoint, median};

const TABLE_HEADER: &str = "\
| load | times capacity | goodput of offered, a second | p50, p99 ms | not run | may have run \
| max, p99 over mean | gap median, max ms | faults |
|---|---|---|---|---|---|---|---|---|
";

/// Returns the rows as a Markdown table, one line for each service and rate.
#[must_use]
pub fn shape_table(rows: &[ShapeRow]) -> String {
    let mut table = String::from(TABLE_HEADER);
    for row in rows {
        let report = &row.report;
        let violations =
            report.run_twice + report.wrong_answer + report.not_run_but_ran + report.two_owners;
        // Writing to a `String` cannot fail.
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
            violations,
        );
    }
    table
}

/// Returns an SVG plot of goodput by request rate, with one line for each service of the shape.
///
/// Rows with the same service and rate give one point, their median.
#[must_use]
pub fn goodput_plot(shape: &str, rows: &[ShapeRow]) -> String {
    let mut goodputs_by_service: BTreeMap<&str, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.shape == shape) {
        let goodputs_by_factor = goodputs_by_service.entry(&row.service).or_default();
        let goodputs = goodputs_by_factor.entry(row.factor.to_bits()).or_default();
        goodputs.push(row.goodput);
    }
    let series: Vec<PlotSeries> = goodputs_by_service
        .into_iter()
        .map(|(service, goodputs_by_factor)| {
            let points = goodputs_by_factor
                .into_iter()
                .map(|(factor, goodputs)| SlopePoint {
                    x: f64::from_bits(factor),
                    y: median(goodputs),
                });
            PlotSeries::new(service, points.collect())
        })
        .collect();
    let labels = ("rate over capacity", "answers a second");
    series_plot(&format!("Goodput, {shape}"), labels, &series)
}
