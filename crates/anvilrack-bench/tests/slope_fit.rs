//! Tests fitted lines, short numbers, medians, the slope plot and the capacity page.

use anvilrack_bench::{MeasuredSlope, SlopeFit, SlopePoint, median, short_number, slope_plot};

fn points_of(values: &[(f64, f64)]) -> Vec<SlopePoint> {
    let pairs = values.iter();
    pairs.map(|(x, y)| SlopePoint { x: *x, y: *y }).collect()
}

macro_rules! fit_cases {
    ($($name:ident: $points:expr => $slope:literal, $intercept:literal, $r_squared:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let fit = SlopeFit::new(&points_of(&$points));
                let expected: [f64; 3] = [$slope, $intercept, $r_squared];
                let found = [fit.slope, fit.intercept, fit.r_squared];
                for (found, expected) in found.iter().zip(expected) {
                    assert!((found - expected).abs() < 1e-9, "{fit:?}");
                }
            }
        )*
    };
}

fit_cases! {
    points_on_a_line_fit_exactly: [(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)] => 2.0, 3.0, 1.0;
    constant_values_give_a_flat_line: [(1.0, 5.0), (2.0, 5.0)] => 0.0, 5.0, 1.0;
    a_single_size_gives_a_flat_line: [(4.0, 5.0), (4.0, 7.0)] => 0.0, 6.0, 0.0;
    no_points_give_zeros: [] => 0.0, 0.0, 0.0;
    scattered_points_lower_r_squared: [(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]
        => 0.8, 0.3, 0.64;
}

macro_rules! number_cases {
    ($($name:ident: $value:literal => $text:literal;)*) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(short_number($value), $text);
            }
        )*
    };
}

number_cases! {
    zero_has_no_decimals: 0.0 => "0";
    a_small_number_has_two_decimals: 1.234 => "1.23";
    a_tiny_number_has_four_decimals: 0.01234 => "0.0123";
    thousands_get_the_suffix_k: 320_000.0 => "320k";
    millions_get_the_suffix_m: 1_500_000.0 => "1.50M";
    billions_get_the_suffix_g: 19e9 => "19.0G";
}

#[test]
fn median_is_the_middle_value() {
    assert!((median(vec![9.0, 1.0, 2.0]) - 2.0).abs() < 1e-9);
}

#[test]
fn a_plot_shows_points_line_and_labels() {
    let points = points_of(&[(0.0, 10.0), (50.0, 30.0), (100.0, 50.0)]);
    let slope = MeasuredSlope::new("sample.cost", "members", "time, us", points);
    insta::assert_snapshot!(slope_plot(&slope));
}

macro_rules! growth_cases {
    ($($name:ident: $points:expr => $exponent:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let slope = MeasuredSlope::new("sample", "x", "y", points_of(&$points));
                assert!(
                    (slope.growth_exponent() - $exponent).abs() < 1e-9,
                    "{}",
                    slope.growth_exponent()
                );
            }
        )*
    };
}

growth_cases! {
    a_proportional_cost_has_exponent_one: [(1.0, 3.0), (2.0, 6.0), (4.0, 12.0)] => 1.0;
    a_quadratic_cost_has_exponent_two: [(1.0, 3.0), (2.0, 12.0), (4.0, 48.0)] => 2.0;
    a_constant_cost_has_exponent_zero: [(1.0, 3.0), (2.0, 3.0)] => 0.0;
    size_zero_is_left_out: [(0.0, 1.0), (1.0, 3.0), (2.0, 6.0)] => 1.0;
}

#[test]
fn capacity_page_fails_if_slopes_are_missing() {
    assert!(anvilrack_bench::capacity_page(&[]).is_err());
}
