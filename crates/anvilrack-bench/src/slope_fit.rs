//! Measured points and the straight line through them.

use serde::{Deserialize, Serialize};

/// One measurement: a size and the cost at that size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlopePoint {
    /// The size, in the unit of the slope's `x_label`.
    pub x: f64,
    /// The measured value, in the unit of the slope's `y_label`.
    pub y: f64,
}

/// A straight line fitted by least squares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopeFit {
    /// Increase of the value for each unit of `x`.
    pub slope: f64,
    /// The value at `x` = 0.
    pub intercept: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r_squared: f64,
}

/// A measured cost as a function of size, with the line fitted to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeasuredSlope {
    /// Group and name in lower case, separated by a dot, such as `table.memory`.
    pub name: String,
    /// The size that was varied.
    pub x_label: String,
    /// The value that was measured, with its unit.
    pub y_label: String,
    /// The command that measures this slope's group again.
    pub command: String,
    /// One point for each size; a repeated measurement gives its median.
    pub points: Vec<SlopePoint>,
    /// The line fitted to the points.
    pub fit: SlopeFit,
}

impl MeasuredSlope {
    /// Creates a slope from its points and fits the line to them.
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

    /// Returns the value of the fitted line at `x`.
    #[must_use]
    pub fn value_at(&self, x: f64) -> f64 {
        self.fit.intercept + self.fit.slope * x
    }

    /// Returns the `x` at which the line crosses zero, or 0 if the line is flat.
    #[must_use]
    pub fn zero_crossing(&self) -> f64 {
        if self.fit.slope == 0.0 {
            return 0.0;
        }
        -self.fit.intercept / self.fit.slope
    }

    /// Returns the value measured at the largest size, or 0 without points.
    #[must_use]
    pub fn value_at_largest_size(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.y)
    }

    /// Returns the exponent of the power law fitted to the points: 1 if the cost is proportional to
    /// the size, 2 if it grows with the square.
    ///
    /// Points at which the size or the cost is not positive are left out.
    #[must_use]
    pub fn growth_exponent(&self) -> f64 {
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
    /// Fits a line to the points; with fewer than two different sizes the line is flat.
    #[must_use]
    pub fn new(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let sum_of = |term: &dyn Fn(&SlopePoint) -> f64| points.iter().map(term).sum::<f64>();
        let squares_x = sum_of(&|point| (point.x - mean_x).powi(2));
        let squares_y = sum_of(&|point| (point.y - mean_y).powi(2));
        let products = sum_of(&|point| (point.x - mean_x) * (point.y - mean_y));
        if squares_x == 0.0 {
            return Self {
                intercept: mean_y,
                ..Self::default()
            };
        }
        let slope = products / squares_x;
        let r_squared = if squares_y == 0.0 {
            1.0
        } else {
            products.powi(2) / (squares_x * squares_y)
        };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared,
        }
    }
}

/// Returns the median, or 0 without values; an even count gives the upper of the two middle values.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Measures every size once in each round, and returns the median of each size.
///
/// Measuring all sizes in each round spreads a temporary disturbance of the machine over all
/// of them.
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
