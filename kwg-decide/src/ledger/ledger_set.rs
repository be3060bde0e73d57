use std::collections::{BTreeMap, BTreeSet};

use kwg_model::{
    AccountName, ClaimId, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport, MonoTime,
    RevokeVerdict, TicketKey,
};

use super::{HandedOver, Inherited, LedgerOptions, MintError, Serving, TicketLedger};

/// The ledgers kept by one traffic core: its own and those it inherited from other cores.
///
/// ```
/// use kwg_decide::{LedgerOptions, LedgerRoute, LedgerSet};
/// use kwg_model::{HomeAddress, InstanceName, MonoTime};
///
/// let address = |name: &str| HomeAddress {
///     instance: InstanceName::new(name).expect("valid"),
///     incarnation: 1,
///     shard: 0,
/// };
/// let mut old = LedgerSet::new(address("r1"), LedgerOptions::default());
/// let mut heir = LedgerSet::new(address("r2"), LedgerOptions::default());
/// for export in old.hand_over(MonoTime::ZERO, &address("r2")) {
///     assert!(heir.inherit(MonoTime::ZERO, export.clone()));
///     assert!(!heir.inherit(MonoTime::ZERO, export), "a ledger is inherited only once");
/// }
/// assert_eq!(heir.route(&address("r1"), None, false), LedgerRoute::Here);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LedgerSet {
    address: HomeAddress,
    options: LedgerOptions,
    own: OwnLedger,
    inherited: BTreeMap<HomeAddress, TicketLedger<Inherited>>,
    /// Every home inherited so far. A duplicate message must not restore a ledger that has been
    /// handed on or dropped since.
    ever_inherited: BTreeSet<HomeAddress>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum OwnLedger {
    Serving(TicketLedger<Serving>),
    HandedOver(TicketLedger<HandedOver>),
}

/// Where the tickets of a home are decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerRoute {
    /// In this core.
    Here,
    /// At this other core, as far as is known.
    At(HomeAddress),
    /// Nowhere: a later run of the home's instance exists.
    Ended,
}

impl LedgerSet {
    /// Creates the ledgers of a core that has just started: an empty one of its own.
    #[must_use]
    pub fn new(address: HomeAddress, options: LedgerOptions) -> Self {
        let own = OwnLedger::Serving(TicketLedger::open(address.clone(), options));
        Self { address, options, own, inherited: BTreeMap::new(), ever_inherited: BTreeSet::new() }
    }

    /// Returns where tickets of `home` are decided.
    ///
    /// `successor` is the core known to have taken over that ledger; `is_replaced` is true if a
    /// later run of the home's instance exists.
    #[must_use]
    pub fn route(
        &self,
        home: &HomeAddress,
        successor: Option<&HomeAddress>,
        is_replaced: bool,
    ) -> LedgerRoute {
        if *home == self.address {
            return match &self.own {
                OwnLedger::Serving(_) => LedgerRoute::Here,
                OwnLedger::HandedOver(ledger) => LedgerRoute::At(ledger.successor().clone()),
            };
        }
        if self.inherited.contains_key(home) {
            return LedgerRoute::Here;
        }
        match successor {
            Some(successor) => LedgerRoute::At(successor.clone()),
            None if is_replaced => LedgerRoute::Ended,
            None => LedgerRoute::At(home.clone()),
        }
    }

    /// Mints tickets from this core's own ledger; `None` once that ledger is handed over.
    ///
    /// # Errors
    /// [`MintError`] if the ledger or the client account would exceed its limit.
    pub fn mint(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        count: usize,
    ) -> Option<Result<Vec<DispatchTicket>, MintError>> {
        match &mut self.own {
            OwnLedger::Serving(ledger) => Some(ledger.mint(now, account, count)),
            OwnLedger::HandedOver(_) => None,
        }
    }

    /// Decides an attempt to claim a ticket of a ledger kept here.
    pub fn claim(
        &mut self,
        now: MonoTime,
        ticket: &DispatchTicket,
        claim_id: &ClaimId,
    ) -> ClaimVerdict {
        if let Some(ledger) = self.inherited.get_mut(&ticket.key.home) {
            return ledger.claim(now, ticket, claim_id);
        }
        match &mut self.own {
            OwnLedger::Serving(ledger) => ledger.claim(now, ticket, claim_id),
            OwnLedger::HandedOver(ledger) if *ledger.home() == ticket.key.home => {
                ClaimVerdict::Moved(ledger.successor().clone())
            }
            OwnLedger::HandedOver(_) => ClaimVerdict::HomeEnded,
        }
    }

    /// Decides an attempt to revoke a ticket of a ledger kept here.
    pub fn revoke(
        &mut self,
        now: MonoTime,
        ticket: &DispatchTicket,
        claim_id: &ClaimId,
    ) -> RevokeVerdict {
        if let Some(ledger) = self.inherited.get_mut(&ticket.key.home) {
            return ledger.revoke(now, ticket, claim_id);
        }
        match &mut self.own {
            OwnLedger::Serving(ledger) => ledger.revoke(now, ticket, claim_id),
            OwnLedger::HandedOver(ledger) if *ledger.home() == ticket.key.home => {
                RevokeVerdict::Moved(ledger.successor().clone())
            }
            OwnLedger::HandedOver(_) => RevokeVerdict::HomeEnded,
        }
    }

    /// Returns the core that has claimed a ticket of a ledger kept here.
    #[must_use]
    pub fn holder(&self, key: &TicketKey) -> Option<&HomeAddress> {
        match (&self.own, self.inherited.get(&key.home)) {
            (_, Some(ledger)) => ledger.holder(key),
            (OwnLedger::Serving(ledger), None) => ledger.holder(key),
            (OwnLedger::HandedOver(_), None) => None,
        }
    }

    /// Takes over a ledger.
    ///
    /// Returns `false` if it was inherited before or this core has handed over its own ledger.
    pub fn inherit(&mut self, now: MonoTime, export: LedgerExport) -> bool {
        let home = export.home.clone();
        let serving = matches!(self.own, OwnLedger::Serving(_));
        if !serving || !self.ever_inherited.insert(home.clone()) {
            return false;
        }
        let ledger = TicketLedger::inherit(now, export, self.options);
        self.inherited.insert(home, ledger);
        true
    }

    /// Returns whether this core keeps the ledger of `home` as an inherited one.
    #[must_use]
    pub fn has_inherited(&self, home: &HomeAddress) -> bool {
        self.inherited.contains_key(home)
    }

    /// Hands over every ledger to one successor.
    pub fn hand_over(&mut self, now: MonoTime, to: &HomeAddress) -> Vec<LedgerExport> {
        let mut exports = Vec::new();
        for (_, ledger) in std::mem::take(&mut self.inherited) {
            exports.push(ledger.hand_over(now, to.clone()).1);
        }
        let empty = TicketLedger::open(self.address.clone(), self.options);
        let own = std::mem::replace(&mut self.own, OwnLedger::Serving(empty));
        self.own = match own {
            OwnLedger::Serving(ledger) => {
                let (handed_over, export) = ledger.hand_over(now, to.clone());
                exports.push(export);
                OwnLedger::HandedOver(handed_over)
            }
            handed_over @ OwnLedger::HandedOver(_) => handed_over,
        };
        exports
    }

    /// Drops entries and inherited ledgers that are past retention.
    pub fn evict_expired(&mut self, now: MonoTime) {
        if let OwnLedger::Serving(ledger) = &mut self.own {
            ledger.evict_expired(now);
        }
        self.inherited.values_mut().for_each(|ledger| ledger.evict_expired_entries(now));
        self.inherited.retain(|_, ledger| !ledger.is_past_retention(now));
    }

    /// Returns the number of tickets recorded as claimed or revoked.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        let own = match &self.own {
            OwnLedger::Serving(ledger) => ledger.entry_count(),
            OwnLedger::HandedOver(ledger) => ledger.entry_count(),
        };
        own + self.inherited.values().map(TicketLedger::entry_count).sum::<usize>()
    }
}
