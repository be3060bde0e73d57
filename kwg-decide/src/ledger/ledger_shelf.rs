use std::collections::{BTreeMap, BTreeSet};

use kwg_model::{
    AccountName, BurnVerdict, ClaimStub, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport,
    MonoTime, TicketKey,
};

use super::{HandedOver, Inherited, LedgerOptions, MintError, Serving, TicketLedger};

/// The ledgers of one core: its own, and those that it inherited.
///
/// ```
/// use kwg_decide::{LedgerOptions, LedgerRoute, LedgerShelf};
/// use kwg_model::{HomeAddress, InstanceName, MonoTime};
///
/// let address = |name: &str| HomeAddress {
///     instance: InstanceName::new(name).expect("valid"),
///     incarnation: 1,
///     shard: 0,
/// };
/// let mut old = LedgerShelf::new(address("r1"), LedgerOptions::default());
/// let mut heir = LedgerShelf::new(address("r2"), LedgerOptions::default());
/// for export in old.hand_over(MonoTime::ZERO, &address("r2")) {
///     assert!(heir.inherit(MonoTime::ZERO, export.clone()));
///     assert!(!heir.inherit(MonoTime::ZERO, export), "a ledger is taken over once");
/// }
/// assert_eq!(heir.route(&address("r1"), None, false), LedgerRoute::Here);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LedgerShelf {
    address: HomeAddress,
    options: LedgerOptions,
    own: LedgerSlot,
    inherited: BTreeMap<HomeAddress, TicketLedger<Inherited>>,
    /// Every home ever inherited: a message that comes twice must not bring back a ledger that
    /// has moved on or been dropped.
    seen: BTreeSet<HomeAddress>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum LedgerSlot {
    Serving(TicketLedger<Serving>),
    HandedOver(TicketLedger<HandedOver>),
}

/// Where the ledger of a home is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerRoute {
    /// In this core.
    Here,
    /// At this core, as far as is known.
    At(HomeAddress),
    /// Nowhere: another run of the instance has been heard from.
    Gone,
}

impl LedgerShelf {
    /// The shelf of a core that has just started.
    #[must_use]
    pub fn new(address: HomeAddress, options: LedgerOptions) -> Self {
        let own = LedgerSlot::Serving(TicketLedger::open(address.clone(), options));
        Self { address, options, own, inherited: BTreeMap::new(), seen: BTreeSet::new() }
    }

    /// Where to ask about tickets of `home`.
    ///
    /// `successor` is the core that is known to have taken that ledger over, and `is_replaced`
    /// says that another run of the home's instance has been heard from.
    #[must_use]
    pub fn route(
        &self,
        home: &HomeAddress,
        successor: Option<&HomeAddress>,
        is_replaced: bool,
    ) -> LedgerRoute {
        if *home == self.address {
            return match &self.own {
                LedgerSlot::Serving(_) => LedgerRoute::Here,
                LedgerSlot::HandedOver(ledger) => LedgerRoute::At(ledger.successor().clone()),
            };
        }
        if self.inherited.contains_key(home) {
            return LedgerRoute::Here;
        }
        match successor {
            Some(successor) => LedgerRoute::At(successor.clone()),
            None if is_replaced => LedgerRoute::Gone,
            None => LedgerRoute::At(home.clone()),
        }
    }

    /// Mints tickets; `None` once the ledger is handed over.
    ///
    /// # Errors
    /// [`MintError`] if the ledger or the account would hold too many.
    pub fn mint(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        count: usize,
    ) -> Option<Result<Vec<DispatchTicket>, MintError>> {
        match &mut self.own {
            LedgerSlot::Serving(ledger) => Some(ledger.mint(now, account, count)),
            LedgerSlot::HandedOver(_) => None,
        }
    }

    /// Decides an attempt to claim a ticket of any ledger kept here.
    pub fn claim(
        &mut self,
        now: MonoTime,
        ticket: &DispatchTicket,
        stub: &ClaimStub,
    ) -> ClaimVerdict {
        if let Some(ledger) = self.inherited.get_mut(&ticket.key.home) {
            return ledger.claim(now, ticket, stub);
        }
        match &mut self.own {
            LedgerSlot::Serving(ledger) => ledger.claim(now, ticket, stub),
            LedgerSlot::HandedOver(ledger) if *ledger.home() == ticket.key.home => {
                ClaimVerdict::Moved(ledger.successor().clone())
            }
            LedgerSlot::HandedOver(_) => ClaimVerdict::HomeGone,
        }
    }

    /// Decides an attempt to burn a ticket of any ledger kept here.
    pub fn burn(
        &mut self,
        now: MonoTime,
        ticket: &DispatchTicket,
        stub: &ClaimStub,
    ) -> BurnVerdict {
        if let Some(ledger) = self.inherited.get_mut(&ticket.key.home) {
            return ledger.burn(now, ticket, stub);
        }
        match &mut self.own {
            LedgerSlot::Serving(ledger) => ledger.burn(now, ticket, stub),
            LedgerSlot::HandedOver(ledger) if *ledger.home() == ticket.key.home => {
                BurnVerdict::Moved(ledger.successor().clone())
            }
            LedgerSlot::HandedOver(_) => BurnVerdict::HomeGone,
        }
    }

    /// The core that holds a ticket of a ledger kept here.
    #[must_use]
    pub fn holder(&self, key: &TicketKey) -> Option<&HomeAddress> {
        match (&self.own, self.inherited.get(&key.home)) {
            (_, Some(ledger)) => ledger.holder(key),
            (LedgerSlot::Serving(ledger), None) => ledger.holder(key),
            (LedgerSlot::HandedOver(_), None) => None,
        }
    }

    /// Takes a ledger over; `false` if it came before or this core has given its own away.
    pub fn inherit(&mut self, now: MonoTime, export: LedgerExport) -> bool {
        let home = export.home.clone();
        let serving = matches!(self.own, LedgerSlot::Serving(_));
        if !serving || !self.seen.insert(home.clone()) {
            return false;
        }
        let ledger = TicketLedger::inherit(now, export, self.options);
        self.inherited.insert(home, ledger);
        true
    }

    /// Whether the ledger of `home` is kept here as inherited.
    #[must_use]
    pub fn has_inherited(&self, home: &HomeAddress) -> bool {
        self.inherited.contains_key(home)
    }

    /// Gives every ledger away to one successor.
    pub fn hand_over(&mut self, now: MonoTime, to: &HomeAddress) -> Vec<LedgerExport> {
        let mut exports = Vec::new();
        for (_, ledger) in std::mem::take(&mut self.inherited) {
            exports.push(ledger.hand_over(now, to.clone()).1);
        }
        let empty = TicketLedger::open(self.address.clone(), self.options);
        let own = std::mem::replace(&mut self.own, LedgerSlot::Serving(empty));
        self.own = match own {
            LedgerSlot::Serving(ledger) => {
                let (remains, export) = ledger.hand_over(now, to.clone());
                exports.push(export);
                LedgerSlot::HandedOver(remains)
            }
            handed_over @ LedgerSlot::HandedOver(_) => handed_over,
        };
        exports
    }

    /// Drops what is past retention.
    pub fn forget_old(&mut self, now: MonoTime) {
        if let LedgerSlot::Serving(ledger) = &mut self.own {
            ledger.forget_old(now);
        }
        self.inherited.values_mut().for_each(|ledger| ledger.forget_entries(now));
        self.inherited.retain(|_, ledger| !ledger.is_spent(now));
    }

    /// How many tickets are remembered as claimed or burned.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        let own = match &self.own {
            LedgerSlot::Serving(ledger) => ledger.entry_count(),
            LedgerSlot::HandedOver(ledger) => ledger.entry_count(),
        };
        own + self.inherited.values().map(TicketLedger::entry_count).sum::<usize>()
    }
}
