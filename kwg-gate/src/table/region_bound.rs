use std::sync::Arc;

/// The regions in which requests may run: those that are named, or all of them without a bound.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegionBound(Option<Arc<[String]>>);

impl RegionBound {
    /// The bound of a list of regions; an empty list is no bound.
    ///
    /// ```
    /// use kwg_gate::RegionBound;
    ///
    /// let bound = RegionBound::of(["west".to_owned()]);
    /// assert_eq!(bound.names(), Some(&["west".to_owned()][..]));
    /// assert_eq!(RegionBound::of([]).names(), None);
    /// ```
    #[must_use]
    pub fn of(names: impl IntoIterator<Item = String>) -> Self {
        let names: Arc<[String]> = names.into_iter().collect();
        Self(Some(names).filter(|names| !names.is_empty()))
    }

    /// The regions of this and another bound. Two bounds without a common region leave none, which is not the same
    /// as no bound.
    ///
    /// ```
    /// use kwg_gate::RegionBound;
    ///
    /// let [east, west] = ["east", "west"].map(|name| RegionBound::of([name.to_owned()]));
    /// assert_eq!(east.and(&west).names(), Some(&[][..]));
    /// assert_eq!(east.and(&RegionBound::default()), east);
    /// ```
    #[must_use]
    pub fn and(&self, other: &Self) -> Self {
        match (self.names(), other.names()) {
            (_, None) => self.clone(),
            (None, _) => other.clone(),
            (Some(names), Some(others)) => {
                Self(Some(names.iter().filter(|name| others.contains(name)).cloned().collect()))
            }
        }
    }

    /// The regions that are allowed; none without a bound.
    #[must_use]
    pub fn names(&self) -> Option<&[String]> {
        self.0.as_deref()
    }
}
