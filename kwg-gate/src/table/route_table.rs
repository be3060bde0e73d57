use std::collections::{BTreeSet, HashMap};

use crate::{
    AccountLabel, AccountRule, CallerLimits, ColdRule, RegionBound, RequestDetails, RouteRule,
    ServiceName, ServiceRule, StreamPromise,
};

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    /// Routes by host, those with the longest prefix first.
    hosts: HashMap<String, Vec<RouteRule>>,
    services: HashMap<ServiceName, ServiceRule>,
    accounts: Vec<AccountRule>,
    /// Index into `accounts` by key.
    keys: HashMap<String, usize>,
    limits: CallerLimits,
    /// Whether a route or an account is bound to regions.
    has_regions: bool,
}

/// Result of looking up a request's host, path and key.
#[derive(Debug, Clone, Copy)]
pub enum RouteMatch<'a> {
    /// A route serves the request.
    Served {
        /// The route.
        route: &'a RouteRule,
        /// The account that holds the key, if there is one.
        account: Option<&'a AccountRule>,
    },
    /// No route matches the request.
    NoRoute,
    /// The route requires an account, and the request has no key or an unknown one.
    UnknownKey,
}

impl RouteTable {
    /// Whether there is a route of this name.
    #[must_use]
    pub fn has_route(&self, name: &str) -> bool {
        self.hosts.values().flatten().any(|route| route.name == name)
    }

    /// Builds a table. Of several routes with the same host and prefix, the first one is used.
    #[must_use]
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = RouteRule>,
        services: impl IntoIterator<Item = ServiceRule>,
        accounts: impl IntoIterator<Item = (AccountRule, Vec<String>)>,
        limits: CallerLimits,
    ) -> Self {
        let mut table = Self { version, limits, ..Self::default() };
        for route in routes {
            table.hosts.entry(route.host.clone()).or_default().push(route);
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        table.services = services.into_iter().map(|rule| (rule.name.clone(), rule)).collect();
        for (index, (account, keys)) in accounts.into_iter().enumerate() {
            table.accounts.push(account);
            table.keys.extend(keys.into_iter().map(|key| (key, index)));
        }
        let routes = table.hosts.values().flatten().map(|route| &route.regions);
        let mut bounds = routes.chain(table.accounts.iter().map(|account| &account.regions));
        table.has_regions = bounds.any(|bound| bound.names().is_some());
        table
    }

    /// Version of the table; later versions are higher.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits for callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The rule of a service, if it is known.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// What the streams of each service with engines promise.
    pub fn stream_promises(&self) -> impl Iterator<Item = (ServiceName, StreamPromise)> {
        let engines = self.services.values().filter_map(|rule| Some((&rule.name, rule.engine?)));
        engines.map(|(name, engine)| {
            let serves = |route: &&RouteRule| route.pools.iter().any(|pool| pool.service == *name);
            let routes = self.hosts.values().flatten().filter(serves);
            let gap = routes.filter_map(|route| route.gap_target).min();
            (name.clone(), StreamPromise { event_tokens: engine.tokens_per_event, gap })
        })
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountRule> {
        self.accounts.iter()
    }

    /// The account that holds a key.
    #[must_use]
    pub fn account_of(&self, key: &str) -> Option<&AccountRule> {
        self.keys.get(key).map(|index| &self.accounts[*index])
    }

    /// The route with the longest matching prefix. `host` may end in a port; `path` has no query.
    #[must_use]
    pub fn route_of(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(&name).map_or(&[][..], Vec::as_slice);
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the route with the longest matching prefix and the account of the key. `host` may end
    /// in a port; `path` has no query. A route that requires an account serves every request if the
    /// table has no accounts.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch<'_> {
        let Some(route) = self.route_of(host, path) else { return RouteMatch::NoRoute };
        let account = key.and_then(|key| self.account_of(key));
        if account.is_none() && !route.allows_anonymous && !self.accounts.is_empty() {
            return RouteMatch::UnknownKey;
        }
        RouteMatch::Served { route, account }
    }

    /// The services whose cold targets are limited, with their rules.
    pub(crate) fn cold_rules(&self) -> HashMap<ServiceName, ColdRule> {
        let rules = self.services.values();
        rules.filter_map(|rule| Some((rule.name.clone(), rule.cold?))).collect()
    }

    /// Regions of the lists that are not among some known ones, each once.
    #[must_use]
    pub fn unknown_regions(&self, is_known: impl Fn(&str) -> bool) -> BTreeSet<&str> {
        let routes = self.hosts.values().flatten().map(|route| &route.regions);
        let bounds = routes.chain(self.accounts.iter().map(|account| &account.regions));
        let names = bounds.flat_map(|bound| bound.names().unwrap_or_default());
        names.map(String::as_str).filter(|name| !is_known(name)).collect()
    }

    /// Whether a route or an account is bound to regions.
    #[must_use]
    pub fn has_regions(&self) -> bool {
        self.has_regions
    }

    /// The regions that this table allows a request which an earlier one has admitted, for an account. A route or an
    /// account that is gone sets no bound.
    pub(crate) fn regions_of(
        &self,
        details: &RequestDetails,
        account: Option<&AccountLabel>,
    ) -> RegionBound {
        let route = self.route_of(&details.host, &details.path);
        let held = details.key.as_deref().and_then(|key| self.account_of(key));
        let labelled = || self.accounts.iter().find(|known| Some(&known.label) == account);
        let of_account = held.or_else(labelled).map(|account| &account.regions);
        let none = RegionBound::default();
        route.map_or(&none, |route| &route.regions).and(of_account.unwrap_or(&none))
    }
}
