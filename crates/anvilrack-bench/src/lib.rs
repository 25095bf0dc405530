//! Measures how the cost of each part of anvilrack grows with its size, and how its policies
//! perform under load.
//!
//! [`measure_slopes`] varies one size at a time, takes the median of several rounds and fits a
//! straight line. [`capacity_page`] derives from those lines what each role costs at the size that
//! the project is designed for. [`run_shape`] puts a whole deployment under load.

mod byte_relay;
mod capacity_page;
mod capacity_roles;
mod cpu_clock;
mod design_size;
mod sample_cell;
mod shape_run;
mod shape_table;
mod slope_fit;
mod slopes;
mod svg_plot;

pub use capacity_page::capacity_page;
pub use shape_run::{ShapeFault, ShapePlan, ShapeRow, run_shape};
pub use shape_table::{goodput_plot, shape_table};
pub use slope_fit::{MeasuredSlope, SlopeFit, SlopePoint, median};
pub use slopes::measure_slopes;
pub use svg_plot::{PlotSeries, series_plot, short_number, slope_plot};
