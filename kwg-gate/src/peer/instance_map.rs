use std::collections::BTreeMap;

use crate::ReportSource;

/// The live instances, which share the targets, by failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct InstanceMap {
    /// Name of this instance.
    pub own: String,
    /// Sorted names of all instances by failure domain, this one included.
    pub domains: BTreeMap<String, Vec<String>>,
}

/// Prefix of the peer names under which the sums of whole failure domains are tracked.
const DOMAIN_PREFIX: &str = "domain/";

impl InstanceMap {
    /// The peer name under which the sum of a failure domain is tracked.
    #[must_use]
    pub fn domain_peer_name(domain: &str) -> String {
        format!("{DOMAIN_PREFIX}{domain}")
    }

    /// Whose work the reports of a peer cover.
    pub(crate) fn report_source<'a>(&'a self, peer: &'a str, run: u64) -> ReportSource<'a> {
        let summed = peer.strip_prefix(DOMAIN_PREFIX);
        let has_peer = |names: &[String]| names.iter().any(|name| name == peer);
        let listed = || self.domains.iter().find(|(_, names)| has_peer(names));
        let domain = summed.or_else(|| listed().map(|(domain, _)| domain.as_str()));
        ReportSource { peer, run, domain, is_sum: summed.is_some() }
    }

    /// Number of instances.
    #[must_use]
    pub fn size(&self) -> u32 {
        u32::try_from(self.domains.values().map(Vec::len).sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// The instances that own the slots of a target in `domain`: those of the same domain, else
    /// those of the same region, else all.
    pub(crate) fn owners(
        &self,
        domain: &str,
        same_region: impl Fn(&str, &str) -> bool,
    ) -> Vec<&str> {
        self.owners_of_least(1, domain, same_region)
    }

    /// The instances of the same domain if there are so many, else those of the same region if there are so many, else
    /// all.
    pub(crate) fn owners_of_least(
        &self,
        least: usize,
        domain: &str,
        same_region: impl Fn(&str, &str) -> bool,
    ) -> Vec<&str> {
        let names = |keep: &dyn Fn(&str) -> bool| -> Vec<&str> {
            let kept = self.domains.iter().filter(|(name, _)| keep(name));
            kept.flat_map(|(_, names)| names.iter().map(String::as_str)).collect()
        };
        let scopes: [&dyn Fn(&str) -> bool; 3] =
            [&|name| name == domain, &|name| same_region(name, domain), &|_| true];
        let mut lists = scopes.iter().map(|keep| names(keep));
        lists.find(|names| names.len() >= least).unwrap_or_else(|| names(&|_| true))
    }
}
