//! The regions in which a request may be served.

use crate::RegionName;

/// Restricts requests to the targets of some regions.
///
/// ```
/// use anvilrack_core::RegionRule;
///
/// let rule = RegionRule::default().with_regions(["north".into(), "south".into()]);
/// assert!(rule.allows("north"));
/// assert!(!rule.allows("east"));
/// // Without a restriction, all regions are allowed.
/// assert!(RegionRule::default().allows("east"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionRule {
    /// The allowed regions; `None` allows all.
    regions: Option<Vec<RegionName>>,
}

impl RegionRule {
    /// Also restricts requests to these regions: a region is allowed if each restriction allows it.
    #[must_use]
    pub fn with_regions(mut self, regions: impl IntoIterator<Item = RegionName>) -> Self {
        let allowed = regions.into_iter().filter(|region| self.allows(region));
        self.regions = Some(allowed.collect());
        self
    }

    /// Returns whether targets in a region may run the requests.
    #[must_use]
    pub fn allows(&self, region: &str) -> bool {
        let mut regions = self.regions.iter().flatten();
        self.allows_all() || regions.any(|allowed| **allowed == *region)
    }

    /// Returns whether there is no restriction.
    #[must_use]
    pub fn allows_all(&self) -> bool {
        self.regions.is_none()
    }

    /// Returns the allowed regions; `None` if there is no restriction.
    #[must_use]
    pub fn regions(&self) -> Option<&[RegionName]> {
        self.regions.as_deref()
    }
}
