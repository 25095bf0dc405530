//! The tables of the capacity page, worked out from measured slopes.

use std::fmt::Write;

use eyre::eyre;

use crate::capacity_roles::{bad_day_lines, role_lines};
use crate::{MeasuredSlope, short_number};

/// One line of the page.
pub(crate) struct CapacityLine {
    /// Whose cost it is.
    pub role: &'static str,
    /// Which cost.
    pub what: &'static str,
    /// What it comes to, with how it was worked out.
    pub value: String,
    /// What carries it.
    pub carried_by: &'static str,
    /// Whether it holds.
    pub verdict: CapacityVerdict,
}

/// Whether a bound is kept at the size we design for.
#[derive(Clone, Copy)]
pub(crate) enum CapacityVerdict {
    /// It is.
    Holds,
    /// It is not, as things stand.
    NotYet,
    /// No run has shown it.
    NotMeasured,
    /// Measured, but nobody has said how much it may be.
    NoBound,
}

impl CapacityVerdict {
    /// Compares a value with its bound.
    pub(crate) fn within(value: f64, bound: f64) -> Self {
        if value <= bound {
            Self::Holds
        } else {
            Self::NotYet
        }
    }

    fn words(self) -> &'static str {
        match self {
            Self::Holds => "holds",
            Self::NotYet => "**does not hold yet**",
            Self::NotMeasured => "not measured",
            Self::NoBound => "no bound given",
        }
    }
}

/// Measured slopes by name.
pub(crate) struct SlopeSet<'a>(&'a [MeasuredSlope]);

impl SlopeSet<'_> {
    /// The slope of that name.
    pub(crate) fn named(&self, name: &str) -> eyre::Result<&MeasuredSlope> {
        let found = self.0.iter().find(|slope| slope.name == name);
        found.ok_or_else(|| eyre!("the file has no slope `{name}`"))
    }

    /// The value of a slope's line at a size.
    pub(crate) fn at(&self, name: &str, size: f64) -> eyre::Result<f64> {
        Ok(self.named(name)?.at(size))
    }

    /// What a slope showed at its greatest size.
    pub(crate) fn last(&self, name: &str) -> eyre::Result<f64> {
        Ok(self.named(name)?.last())
    }
}

/// Prints the tables of the page.
///
/// # Errors
///
/// Where a slope that the page needs is missing.
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
            line.what,
            line.value,
            line.carried_by,
            line.verdict.words()
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
            slope.growth()
        )?;
    }
    Ok(())
}
