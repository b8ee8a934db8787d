//! Regions, and the restriction of requests to some of them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Name of a region, which contains one or more failure domains.
pub type Region = String;

/// Region of each failure domain.
pub type RegionMap = BTreeMap<String, Region>;

/// The regions that requests may be sent to.
///
/// ```
/// use std::rc::Rc;
/// use dispatch::AllowedRegions;
///
/// let route = Rc::new(AllowedRegions::new(["levis".into(), "beauce".into()]));
/// let tenant = Rc::new(AllowedRegions::new(["beauce".into()]));
/// let both = AllowedRegions::intersect(Some(&route), Some(&tenant)).unwrap();
/// assert!(both.contains("beauce"));
/// assert!(!both.contains("levis"));
/// assert_eq!(AllowedRegions::intersect(None, None), None);
/// ```
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AllowedRegions(BTreeSet<Region>);

impl AllowedRegions {
    /// Returns a restriction to `regions`.
    pub fn new(regions: impl IntoIterator<Item = Region>) -> Self {
        Self(regions.into_iter().collect())
    }

    /// Returns whether requests may be sent to `region`.
    pub fn contains(&self, region: &str) -> bool {
        self.0.contains(region)
    }

    /// Returns the restriction of a request to which both `route` and `tenant` apply, or `None` if neither restricts
    /// it.
    pub fn intersect(route: Option<&Rc<Self>>, tenant: Option<&Rc<Self>>) -> Option<Rc<Self>> {
        match (route, tenant) {
            (Some(route), Some(tenant)) => {
                let both = route.0.intersection(&tenant.0).cloned();
                Some(Rc::new(Self(both.collect())))
            }
            (allowed_regions, None) | (None, allowed_regions) => allowed_regions.cloned(),
        }
    }
}
