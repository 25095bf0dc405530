//! A plot of one slope, or of a few lines, as SVG.

use std::fmt::Write;

use crate::{MeasuredSlope, SlopePoint};

/// Width of the picture, in pixels.
const WIDTH: f64 = 640.0;
/// Height of the picture, in pixels.
const HEIGHT: f64 = 400.0;
/// Room for the labels on the left and below, in pixels.
const MARGIN: f64 = 70.0;
/// Room for the title, in pixels.
const TITLE_ROOM: f64 = 40.0;
/// Marks on each axis.
const TICKS: u32 = 5;

/// Draws the points and the line of a slope.
#[must_use]
pub fn slope_plot(slope: &MeasuredSlope) -> String {
    let max_x = axis_end(slope.points.iter().map(|point| point.x));
    let line_end = slope.at(max_x);
    let max_y = axis_end(slope.points.iter().map(|point| point.y).chain([line_end]));
    let mut canvas = PlotCanvas::new(max_x, max_y);
    canvas.title(&slope.name);
    canvas.axes(&slope.x_label, &slope.y_label);
    let start_x = slope.zero_crossing().clamp(0.0, max_x);
    canvas.line(
        (start_x, slope.at(start_x).max(0.0)),
        (max_x, line_end.max(0.0)),
    );
    for point in &slope.points {
        canvas.dot(point.x, point.y);
    }
    canvas.finish()
}

/// A named line through points.
#[derive(Clone, Debug)]
pub struct PlotSeries {
    name: String,
    points: Vec<SlopePoint>,
}

impl PlotSeries {
    /// You give a name and the points from left to right.
    #[must_use]
    pub fn new(name: &str, points: Vec<SlopePoint>) -> Self {
        let name = name.to_owned();
        Self { name, points }
    }
}

/// Colours of series, one after another.
const COLOURS: [&str; 6] = ["#236", "#c33", "#283", "#a60", "#727", "#077"];

/// Draws some series with their names beside them; the labels are those of the axes.
#[must_use]
pub fn series_plot(title: &str, labels: (&str, &str), series: &[PlotSeries]) -> String {
    let points = || series.iter().flat_map(|series| &series.points);
    let max_x = axis_end(points().map(|point| point.x));
    let max_y = axis_end(points().map(|point| point.y));
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

/// The least round number that no value exceeds.
fn axis_end(values: impl Iterator<Item = f64>) -> f64 {
    let greatest = values.fold(0.0, f64::max);
    if greatest <= 0.0 {
        return 1.0;
    }
    let power = 10_f64.powf(greatest.log10().floor());
    let steps = [1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0];
    let fitting = steps.iter().find(|step| **step * power >= greatest);
    fitting.unwrap_or(&10.0) * power
}

/// An SVG picture that grows.
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

    fn place(&self, x: f64, y: f64) -> (f64, f64) {
        let across = (WIDTH - 1.5 * MARGIN) * x / self.max_x;
        let up = (HEIGHT - MARGIN - TITLE_ROOM) * y / self.max_y;
        (MARGIN + across, HEIGHT - MARGIN - up)
    }

    fn push(&mut self, element: std::fmt::Arguments<'_>) {
        // Writing into a string cannot fail.
        let _ = writeln!(self.svg, "{element}");
    }

    fn title(&mut self, text: &str) {
        self.push(format_args!(
            "<text x=\"{:.0}\" y=\"24\" font-size=\"16\" text-anchor=\"middle\">{text}</text>",
            WIDTH / 2.0
        ));
    }

    fn axes(&mut self, x_label: &str, y_label: &str) {
        let (left, bottom) = self.place(0.0, 0.0);
        let (right, top) = self.place(self.max_x, self.max_y);
        self.push(format_args!(
            "<path d=\"M{left:.1} {top:.1}V{bottom:.1}H{right:.1}\" fill=\"none\" stroke=\"black\"/>"
        ));
        for tick in 0..=TICKS {
            let share = f64::from(tick) / f64::from(TICKS);
            self.tick(share);
        }
        let middle = f64::midpoint(top, bottom);
        self.push(format_args!(
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{x_label}</text>",
            f64::midpoint(left, right),
            bottom + 42.0
        ));
        self.push(format_args!(
            "<text x=\"16\" y=\"{middle:.1}\" text-anchor=\"middle\" \
             transform=\"rotate(-90 16 {middle:.1})\">{y_label}</text>"
        ));
    }

    fn tick(&mut self, share: f64) {
        let (x, bottom) = self.place(self.max_x * share, 0.0);
        let (left, y) = self.place(0.0, self.max_y * share);
        let (right, _) = self.place(self.max_x, 0.0);
        self.push(format_args!(
            "<path d=\"M{left:.1} {y:.1}H{right:.1}\" stroke=\"#ddd\"/>"
        ));
        self.push(format_args!(
            "<text x=\"{x:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{}</text>",
            bottom + 20.0,
            short_number(self.max_x * share)
        ));
        self.push(format_args!(
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{}</text>",
            left - 6.0,
            y + 4.0,
            short_number(self.max_y * share)
        ));
    }

    fn line(&mut self, from: (f64, f64), to: (f64, f64)) {
        let colour = self.colour;
        let (x1, y1) = self.place(from.0, from.1);
        let (x2, y2) = self.place(to.0, to.1);
        self.push(format_args!(
            "<path d=\"M{x1:.1} {y1:.1}L{x2:.1} {y2:.1}\" stroke=\"{colour}\" stroke-width=\"1.5\"/>"
        ));
    }

    fn dot(&mut self, x: f64, y: f64) {
        let colour = self.colour;
        let (x, y) = self.place(x, y);
        self.push(format_args!(
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"{colour}\"/>"
        ));
    }

    fn legend(&mut self, number: usize, name: &str) {
        let colour = self.colour;
        let y = TITLE_ROOM + 14.0 + number as f64 * 16.0;
        self.push(format_args!(
            "<text x=\"{:.1}\" y=\"{y:.1}\" fill=\"{colour}\">{name}</text>",
            MARGIN + 12.0
        ));
    }

    fn finish(mut self) -> String {
        self.svg.push_str("</svg>\n");
        self.svg
    }
}

/// A number in at most four digits, with a letter for thousands and millions.
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
