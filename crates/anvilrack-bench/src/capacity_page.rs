//! The tables of the capacity page, derived from measured slopes.

use std::fmt::Write;

use eyre::eyre;

use crate::capacity_roles::{bad_day_lines, role_lines};
use crate::{MeasuredSlope, short_number};

/// One line of a table on the page.
pub(crate) struct CapacityLine {
    /// The role or bad day that the cost belongs to.
    pub role: &'static str,
    /// Name of the cost.
    pub cost: &'static str,
    /// The cost at the design size, with its calculation.
    pub value: String,
    /// The code or mechanism that causes or limits the cost.
    pub mechanism: &'static str,
    /// Whether the cost stays within its limit.
    pub verdict: CapacityVerdict,
}

/// Whether a cost stays within its limit at the design size.
#[derive(Clone, Copy)]
pub(crate) enum CapacityVerdict {
    /// The cost is within its limit.
    Holds,
    /// The cost exceeds its limit, or the design has no mechanism for it yet.
    NotYet,
    /// The cost has not been measured.
    NotMeasured,
    /// The cost was measured, but no limit is defined for it.
    NoBound,
}

impl CapacityVerdict {
    /// Compares a value with its limit.
    pub(crate) fn within(value: f64, limit: f64) -> Self {
        if value <= limit {
            Self::Holds
        } else {
            Self::NotYet
        }
    }

    fn label(self) -> &'static str {
        match self {
            Self::Holds => "holds",
            Self::NotYet => "**does not hold yet**",
            Self::NotMeasured => "not measured",
            Self::NoBound => "no bound given",
        }
    }
}

/// The measured slopes, with lookup by name.
pub(crate) struct SlopeSet<'a>(&'a [MeasuredSlope]);

impl SlopeSet<'_> {
    /// Returns the slope with this name, or an error if it is missing.
    pub(crate) fn named(&self, name: &str) -> eyre::Result<&MeasuredSlope> {
        let found = self.0.iter().find(|slope| slope.name == name);
        found.ok_or_else(|| eyre!("the file has no slope `{name}`"))
    }

    /// Returns the value of a slope's fitted line at a size.
    pub(crate) fn value_at(&self, name: &str, size: f64) -> eyre::Result<f64> {
        Ok(self.named(name)?.value_at(size))
    }

    /// Returns the value that a slope measured at its largest size.
    pub(crate) fn value_at_largest_size(&self, name: &str) -> eyre::Result<f64> {
        Ok(self.named(name)?.value_at_largest_size())
    }
}

/// Returns the tables of the capacity page in Markdown.
///
/// # Errors
///
/// When a slope that the page needs is missing.
pub fn capacity_page(slopes: &[MeasuredSlope]) -> eyre::Result<String> {
    let set = SlopeSet(slopes);
    let mut page = String::new();
    writeln!(page, "## By role\n")?;
    push_lines(&mut page, &role_lines(&set)?)?;
    writeln!(page, "\n## Bad days\n")?;
    push_lines(&mut page, &bad_day_lines(&set)?)?;
    writeln!(page, "\n## Slopes\n")?;
    push_slopes(&mut page, slopes)?;
    Ok(page)
}

fn push_lines(page: &mut String, lines: &[CapacityLine]) -> eyre::Result<()> {
    writeln!(page, "| role | cost | at the size | carried by | |")?;
    writeln!(page, "|---|---|---|---|---|")?;
    for line in lines {
        writeln!(
            page,
            "| {} | {} | {} | {} | {} |",
            line.role,
            line.cost,
            line.value,
            line.mechanism,
            line.verdict.label()
        )?;
    }
    Ok(())
}

fn push_slopes(page: &mut String, slopes: &[MeasuredSlope]) -> eyre::Result<()> {
    writeln!(page, "| slope | points | line | r2 | power |")?;
    writeln!(page, "|---|---|---|---|---|")?;
    for slope in slopes {
        let points = slope.points.iter();
        let points: Vec<_> = points
            .map(|point| format!("{}: {}", short_number(point.x), short_number(point.y)))
            .collect();
        writeln!(
            page,
            "| `{}`, {} by {} | {} | {} + {:.3e} x | {:.2} | {:.2} |",
            slope.name,
            slope.y_label,
            slope.x_label,
            points.join(", "),
            short_number(slope.fit.intercept),
            slope.fit.slope,
            slope.fit.r_squared,
            slope.growth_exponent()
        )?;
    }
    Ok(())
}
