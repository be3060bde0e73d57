/// One core's part of limits that many cores share.
///
/// Nothing is exchanged for it: every core knows how many there are and its own place among
/// them, so the parts add up to the whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitShare {
    /// How many cores share the limits.
    pub cores: u64,
    /// This core's place among them, from zero.
    pub place: u64,
}

impl LimitShare {
    /// This core's part of a limit. What does not divide goes to other cores for each `salt`,
    /// so that nobody is favoured at every target.
    ///
    /// ```
    /// use kwg_decide::LimitShare;
    ///
    /// let part = |place| LimitShare { cores: 9, place }.of(17, 5);
    /// assert_eq!((0..9).map(part).sum::<u64>(), 17);
    /// assert!((0..9).all(|place| (1..=2).contains(&part(place))));
    /// ```
    #[must_use]
    pub fn of(&self, limit: u64, salt: u64) -> u64 {
        let cores = self.cores.max(1);
        let turn = (self.place + salt) % cores;
        limit / cores + u64::from(turn < limit % cores)
    }
}
