/// Whose work a report of a version move covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportSource<'a> {
    /// Name of the peer, or the peer name of a domain's sum.
    pub peer: &'a str,
    /// Number that identifies the peer's run; 0 in a sum.
    pub run: u64,
    /// The failure domain, if it is known.
    pub domain: Option<&'a str>,
    /// Whether it is the sum of that domain.
    pub is_sum: bool,
}

impl<'a> ReportSource<'a> {
    /// A peer without its run and its failure domain.
    #[must_use]
    pub fn of_peer(peer: &'a str) -> Self {
        Self { peer, run: 0, domain: None, is_sum: false }
    }
}
