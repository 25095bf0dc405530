//! Tests the table and the plot of load results.

use anvilrack_bench::{ShapeRow, goodput_plot, shape_table};
use anvilrack_load::LoadReport;

fn row(service: &str, factor: f64, goodput: f64) -> ShapeRow {
    ShapeRow {
        shape: "sample".to_owned(),
        service: service.to_owned(),
        factor,
        offered: 300.0 * factor,
        goodput,
        imbalance_max: 1.25,
        imbalance_p99: 1.25,
        gap_median_ms: 40.0,
        gap_max_ms: 90.0,
        report: LoadReport {
            sent: 900,
            ran: 800,
            not_run: 99,
            may_have_run: 1,
            p50_us: 81_000,
            p99_us: 140_000,
            ..LoadReport::default()
        },
    }
}

fn rows() -> Vec<ShapeRow> {
    vec![
        row("viewer", 0.5, 150.0),
        row("viewer", 2.0, 290.0),
        row("bookings", 0.5, 149.0),
        row("bookings", 2.0, 280.0),
    ]
}

macro_rules! snapshot_cases {
    ($($name:ident: $text:expr;)*) => {
        $(
            #[test]
            fn $name() {
                insta::assert_snapshot!($text);
            }
        )*
    };
}

snapshot_cases! {
    a_table_has_a_row_for_each_service_and_rate: shape_table(&rows());
    a_plot_has_a_line_for_each_service: goodput_plot("sample", &rows());
}
