/// One core's share of limits that all cores divide among themselves.
///
/// Each core computes its share from the number of cores and its own index, without coordination.
/// The shares of all cores add up to the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitShare {
    /// Number of cores that share the limits.
    pub cores: u64,
    /// This core's index among them, starting at zero.
    pub index: u64,
}

impl LimitShare {
    /// Returns this core's share of a limit.
    ///
    /// The remainder of the division goes to different cores for each `salt`, so that no core
    /// is favoured at every target.
    ///
    /// ```
    /// use kwg_decide::LimitShare;
    ///
    /// let share = |index| LimitShare { cores: 9, index }.share_of(17, 5);
    /// assert_eq!((0..9).map(share).sum::<u64>(), 17);
    /// assert!((0..9).all(|index| (1..=2).contains(&share(index))));
    /// ```
    #[must_use]
    pub fn share_of(&self, limit: u64, salt: u64) -> u64 {
        let cores = self.cores.max(1);
        let position = (self.index + salt) % cores;
        limit / cores + u64::from(position < limit % cores)
    }
}
