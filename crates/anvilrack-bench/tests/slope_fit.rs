//! Lines through points, numbers for people, and the plot.

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
    points_on_a_line_fit_it: [(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)] => 2.0, 3.0, 1.0;
    a_constant_is_flat: [(1.0, 5.0), (2.0, 5.0)] => 0.0, 5.0, 1.0;
    one_size_alone_is_flat: [(4.0, 5.0), (4.0, 7.0)] => 0.0, 6.0, 0.0;
    no_points_give_nothing: [] => 0.0, 0.0, 0.0;
    points_off_the_line_explain_less: [(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)]
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
    zero_has_no_digits_after_the_point: 0.0 => "0";
    a_small_number_keeps_two_digits: 1.234 => "1.23";
    a_tiny_number_keeps_four_digits: 0.01234 => "0.0123";
    thousands_get_a_letter: 320_000.0 => "320k";
    millions_get_a_letter: 1_500_000.0 => "1.50M";
    thousands_of_millions_get_a_letter: 19e9 => "19.0G";
}

#[test]
fn the_median_is_the_middle_one() {
    assert!((median(vec![9.0, 1.0, 2.0]) - 2.0).abs() < 1e-9);
}

#[test]
fn a_plot_shows_points_line_and_labels() {
    let points = points_of(&[(0.0, 10.0), (50.0, 30.0), (100.0, 50.0)]);
    let slope = MeasuredSlope::new("sample.cost", "members", "time, us", points);
    insta::assert_snapshot!(slope_plot(&slope));
}

macro_rules! growth_cases {
    ($($name:ident: $points:expr => $power:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let slope = MeasuredSlope::new("sample", "x", "y", points_of(&$points));
                assert!((slope.growth() - $power).abs() < 1e-9, "{}", slope.growth());
            }
        )*
    };
}

growth_cases! {
    a_cost_by_the_size_grows_with_power_one: [(1.0, 3.0), (2.0, 6.0), (4.0, 12.0)] => 1.0;
    a_cost_by_the_square_grows_with_power_two: [(1.0, 3.0), (2.0, 12.0), (4.0, 48.0)] => 2.0;
    a_constant_cost_does_not_grow: [(1.0, 3.0), (2.0, 3.0)] => 0.0;
    a_size_of_zero_is_left_out: [(0.0, 1.0), (1.0, 3.0), (2.0, 6.0)] => 1.0;
}

#[test]
fn a_page_whose_slopes_are_missing_is_refused() {
    assert!(anvilrack_bench::capacity_page(&[]).is_err());
}
