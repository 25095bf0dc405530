//! SVG plots of a measured slope or of several data series.

use std::fmt::Write;

use crate::{MeasuredSlope, SlopePoint};

/// Width of the image, in pixels.
const WIDTH: f64 = 640.0;
/// Height of the image, in pixels.
const HEIGHT: f64 = 400.0;
/// Space for the axis labels on the left and at the bottom, in pixels.
const MARGIN: f64 = 70.0;
/// Space for the title at the top, in pixels.
const TITLE_HEIGHT: f64 = 40.0;
/// Intervals between the tick marks on each axis.
const TICKS: u32 = 5;

/// Returns an SVG plot of a slope's points and fitted line.
#[must_use]
pub fn slope_plot(slope: &MeasuredSlope) -> String {
    let max_x = axis_max(slope.points.iter().map(|point| point.x));
    let end_y = slope.value_at(max_x);
    let max_y = axis_max(slope.points.iter().map(|point| point.y).chain([end_y]));
    let mut canvas = PlotCanvas::new(max_x, max_y);
    canvas.title(&slope.name);
    canvas.axes(&slope.x_label, &slope.y_label);
    let start_x = slope.zero_crossing().clamp(0.0, max_x);
    canvas.line(
        (start_x, slope.value_at(start_x).max(0.0)),
        (max_x, end_y.max(0.0)),
    );
    for point in &slope.points {
        canvas.dot(point.x, point.y);
    }
    canvas.finish()
}

/// A data series of a plot: its name and its points.
#[derive(Clone, Debug)]
pub struct PlotSeries {
    name: String,
    points: Vec<SlopePoint>,
}

impl PlotSeries {
    /// Creates a series; the points must be sorted by `x`.
    #[must_use]
    pub fn new(name: &str, points: Vec<SlopePoint>) -> Self {
        let name = name.to_owned();
        Self { name, points }
    }
}

/// Colours of the series in a plot, assigned in order and repeated after the last.
const COLOURS: [&str; 6] = ["#236", "#c33", "#283", "#a60", "#727", "#077"];

/// Returns an SVG plot of several series with a legend; `labels` are those of the x and y axes.
#[must_use]
pub fn series_plot(title: &str, labels: (&str, &str), series: &[PlotSeries]) -> String {
    let points = || series.iter().flat_map(|series| &series.points);
    let max_x = axis_max(points().map(|point| point.x));
    let max_y = axis_max(points().map(|point| point.y));
    let mut canvas = PlotCanvas::new(max_x, max_y);
    canvas.title(title);
    canvas.axes(labels.0, labels.1);
    for (number, (series, colour)) in series.iter().zip(COLOURS.iter().cycle()).enumerate() {
        canvas.colour = colour;
        for pair in series.points.windows(2) {
            canvas.line((pair[0].x, pair[0].y), (pair[1].x, pair[1].y));
        }
        for point in &series.points {
            canvas.dot(point.x, point.y);
        }
        canvas.legend(number, &series.name);
    }
    canvas.finish()
}

/// Returns the smallest round number that no value exceeds, or 1 if no value is positive.
fn axis_max(values: impl Iterator<Item = f64>) -> f64 {
    let largest = values.fold(0.0, f64::max);
    if largest <= 0.0 {
        return 1.0;
    }
    let power = 10_f64.powf(largest.log10().floor());
    let steps = [1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0];
    let factor = steps.iter().find(|step| **step * power >= largest);
    factor.unwrap_or(&10.0) * power
}

/// An SVG document under construction, with axes that start at zero.
struct PlotCanvas {
    svg: String,
    max_x: f64,
    max_y: f64,
    colour: &'static str,
}

impl PlotCanvas {
    fn new(max_x: f64, max_y: f64) -> Self {
        let svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
             font-family=\"sans-serif\" font-size=\"12\">\n\
             <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n"
        );
        Self {
            svg,
            max_x,
            max_y,
            colour: COLOURS[0],
        }
    }

    fn to_pixels(&self, x: f64, y: f64) -> (f64, f64) {
        let x_offset = (WIDTH - 1.5 * MARGIN) * x / self.max_x;
        let y_offset = (HEIGHT - MARGIN - TITLE_HEIGHT) * y / self.max_y;
        (MARGIN + x_offset, HEIGHT - MARGIN - y_offset)
    }

    fn push_element(&mut self, element: std::fmt::Arguments<'_>) {
        // Writing to a `String` cannot fail.
        let _ = writeln!(self.svg, "{element}");
    }

    fn title(&mut self, text: &str) {
        self.push_element(format_args!(
            "<text x=\"{:.0}\" y=\"24\" font-size=\"16\" text-anchor=\"middle\">{text}</text>",
            WIDTH / 2.0
        ));
    }

    fn axes(&mut self, x_label: &str, y_label: &str) {
        let (left, bottom) = self.to_pixels(0.0, 0.0);
        let (right, top) = self.to_pixels(self.max_x, self.max_y);
        self.push_element(format_args!(
            "<path d=\"M{left:.1} {top:.1}V{bottom:.1}H{right:.1}\" fill=\"none\" stroke=\"black\"/>"
        ));
        for tick in 0..=TICKS {
            let fraction = f64::from(tick) / f64::from(TICKS);
            self.tick(fraction);
        }
        let middle = f64::midpoint(top, bottom);
        self.push_element(format_args!(
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{x_label}</text>",
            f64::midpoint(left, right),
            bottom + 42.0
        ));
        self.push_element(format_args!(
            "<text x=\"16\" y=\"{middle:.1}\" text-anchor=\"middle\" \
             transform=\"rotate(-90 16 {middle:.1})\">{y_label}</text>"
        ));
    }

    fn tick(&mut self, fraction: f64) {
        let (x, bottom) = self.to_pixels(self.max_x * fraction, 0.0);
        let (left, y) = self.to_pixels(0.0, self.max_y * fraction);
        let (right, _) = self.to_pixels(self.max_x, 0.0);
        self.push_element(format_args!(
            "<path d=\"M{left:.1} {y:.1}H{right:.1}\" stroke=\"#ddd\"/>"
        ));
        self.push_element(format_args!(
            "<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>",
            bottom + 20.0,
            short_number(self.max_x * fraction)
        ));
        self.push_element(format_args!(
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
            left - 6.0,
            y + 4.0,
            short_number(self.max_y * fraction)
        ));
    }

    fn line(&mut self, from: (f64, f64), to: (f64, f64)) {
        let colour = self.colour;
        let (x1, y1) = self.to_pixels(from.0, from.1);
        let (x2, y2) = self.to_pixels(to.0, to.1);
        self.push_element(format_args!(
            "<path d=\"M{x1:.1} {y1:.1}L{x2:.1} {y2:.1}\" stroke=\"{colour}\" stroke-width=\"1.5\"/>"
        ));
    }

    fn dot(&mut self, x: f64, y: f64) {
        let colour = self.colour;
        let (x, y) = self.to_pixels(x, y);
        self.push_element(format_args!(
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"{colour}\"/>"
        ));
    }

    fn legend(&mut self, number: usize, name: &str) {
        let colour = self.colour;
        let y = TITLE_HEIGHT + 14.0 + number as f64 * 16.0;
        self.push_element(format_args!(
            "<text x=\"{:.1}\" y=\"{y:.1}\" fill=\"{colour}\">{name}</text>",
            MARGIN + 12.0
        ));
    }

    fn finish(mut self) -> String {
        self.svg.push_str("</svg>\n");
        self.svg
    }
}

/// Formats a number with at most four significant digits, and with the suffix `k`, `M` or `G` from
/// 10,000, 10⁶ and 10⁹ on.
#[must_use]
pub fn short_number(value: f64) -> String {
    let (value, unit) = match value.abs() {
        size if size >= 1e9 => (value / 1e9, "G"),
        size if size >= 1e6 => (value / 1e6, "M"),
        size if size >= 1e4 => (value / 1e3, "k"),
        _ => (value, ""),
    };
    let digits = match value.abs() {
        size if size >= 100.0 || size == 0.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 0.1 => 2,
        _ => 4,
    };
    format!("{value:.digits$}{unit}")
}
