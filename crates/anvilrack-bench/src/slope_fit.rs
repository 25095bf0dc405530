//! Measured points and the straight line through them.

use serde::{Deserialize, Serialize};

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlopePoint {
    /// The size that was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// A straight line by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopeFit {
    /// What one unit of `x` adds.
    pub slope: f64,
    /// The value at `x` zero.
    pub intercept: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

/// A cost by size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeasuredSlope {
    /// Short name in lower case.
    pub name: String,
    /// What was varied.
    pub x_label: String,
    /// What was measured, with its unit.
    pub y_label: String,
    /// The command that measures this slope alone.
    pub command: String,
    /// Medians over the rounds.
    pub points: Vec<SlopePoint>,
    /// The line through the points.
    pub fit: SlopeFit,
}

impl MeasuredSlope {
    /// You give the names and the points; the line follows from them.
    #[must_use]
    pub fn new(name: &str, x_label: &str, y_label: &str, points: Vec<SlopePoint>) -> Self {
        let group = name.split('.').next().unwrap_or(name);
        Self {
            name: name.to_owned(),
            x_label: x_label.to_owned(),
            y_label: y_label.to_owned(),
            command: format!("anvilrack-bench slopes --only {group}"),
            fit: SlopeFit::new(&points),
            points,
        }
    }

    /// The value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.fit.intercept + self.fit.slope * x
    }

    /// Where the line cuts the axis; zero where it is flat.
    #[must_use]
    pub fn zero_crossing(&self) -> f64 {
        if self.fit.slope == 0.0 {
            return 0.0;
        }
        -self.fit.intercept / self.fit.slope
    }

    /// What was measured at the greatest size.
    #[must_use]
    pub fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.y)
    }

    /// The power of the size that the cost grows with: 1 for a straight line through zero.
    #[must_use]
    pub fn growth(&self) -> f64 {
        let positive = |point: &&SlopePoint| point.x > 0.0 && point.y > 0.0;
        let points = self.points.iter().filter(positive);
        let logs: Vec<SlopePoint> = points
            .map(|point| SlopePoint {
                x: point.x.ln(),
                y: point.y.ln(),
            })
            .collect();
        SlopeFit::new(&logs).slope
    }
}

impl SlopeFit {
    /// Fits a line; with fewer than two different sizes it is flat.
    #[must_use]
    pub fn new(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread = |at: &dyn Fn(&SlopePoint) -> f64| points.iter().map(at).sum::<f64>();
        let square_x = spread(&|point| (point.x - mean_x).powi(2));
        let square_y = spread(&|point| (point.y - mean_y).powi(2));
        let product = spread(&|point| (point.x - mean_x) * (point.y - mean_y));
        if square_x == 0.0 {
            return Self {
                intercept: mean_y,
                ..Self::default()
            };
        }
        let slope = product / square_x;
        let r_squared = if square_y == 0.0 {
            1.0
        } else {
            product.powi(2) / (square_x * square_y)
        };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared,
        }
    }
}

/// The middle of some values; zero where there are none.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Measures every size once in each round, and takes the median of each size.
///
/// Rounds that alternate between the sizes spread a disturbance over all of them.
pub fn median_points(
    sizes: &[u32],
    rounds: usize,
    mut measure: impl FnMut(u32) -> f64,
) -> Vec<SlopePoint> {
    let mut values = vec![Vec::new(); sizes.len()];
    for _ in 0..rounds {
        for (size, values) in sizes.iter().zip(&mut values) {
            values.push(measure(*size));
        }
    }
    let pairs = sizes.iter().zip(values);
    pairs
        .map(|(size, values)| SlopePoint {
            x: f64::from(*size),
            y: median(values),
        })
        .collect()
}
