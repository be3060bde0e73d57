use std::collections::{BTreeMap, VecDeque};

use kwg_model::{
    AccountName, ClaimId, ClaimVerdict, DispatchTicket, HomeAddress, LedgerExport, MonoTime,
    RevokeVerdict, TicketKey, TicketState,
};
use snafu::{Snafu, ensure};

use super::LedgerOptions;

/// Records which tickets of one home are claimed or revoked.
///
/// A ticket without an entry is open until its lifetime ends, so minting needs only one record
/// per batch. The phase restricts the operations: a ledger mints only while [`Serving`] and
/// grants nothing once [`HandedOver`].
///
/// ```
/// use kwg_decide::{LedgerOptions, TicketLedger};
/// use kwg_model::*;
///
/// let home = HomeAddress { instance: InstanceName::new("r1")?, incarnation: 1, shard: 0 };
/// let mut ledger = TicketLedger::open(home.clone(), LedgerOptions::default());
/// let account = AccountName::new("bank")?;
/// let ticket = ledger.mint(MonoTime::ZERO, &account, 1).expect("below the limit").remove(0);
/// let first = ClaimId { claimer: home.clone(), attempt: 1 };
/// let second = ClaimId { claimer: home.clone(), attempt: 2 };
/// assert_eq!(ledger.claim(MonoTime::ZERO, &ticket, &first), ClaimVerdict::Granted);
/// assert_eq!(ledger.claim(MonoTime::ZERO, &ticket, &second), ClaimVerdict::HeldBy(home));
/// # Ok::<(), NameError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketLedger<P> {
    home: HomeAddress,
    options: LedgerOptions,
    next_sequence: u64,
    entries: BTreeMap<u64, (MonoTime, TicketState)>,
    phase: P,
}

/// The phase of a ledger kept by its home.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub struct Serving {
    batches: VecDeque<MintBatch>,
    account_totals: BTreeMap<AccountName, usize>,
    total: usize,
}

/// The phase of a ledger kept by a successor of its home.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Inherited {
    /// When the home exported the ledger, by the home's clock.
    exported_at: MonoTime,
    /// When the successor received the export, by the successor's clock.
    received_at: MonoTime,
}

/// The phase of a ledger that was handed over to a successor; it grants nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HandedOver {
    successor: HomeAddress,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct MintBatch {
    minted_at: MonoTime,
    account: AccountName,
    count: usize,
}

/// Error of minting tickets.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MintError {
    /// The ledger would exceed its limit; older tickets count until they are past retention.
    #[snafu(display("the ledger holds its most of {limit} tickets"))]
    LedgerFull {
        /// Maximum number of tickets of the ledger.
        limit: usize,
    },
    /// The client account would exceed its limit; older tickets count until they are past
    /// retention.
    #[snafu(display("the client account holds its most of {limit} tickets"))]
    AccountFull {
        /// Maximum number of tickets of one client account.
        limit: usize,
    },
}

mod sealed {
    pub trait Sealed {}
    impl Sealed for super::Serving {}
    impl Sealed for super::Inherited {}
}

/// A phase in which the ledger grants claims.
pub trait Granting: sealed::Sealed {
    /// Converts a reading of the clock of the core that keeps the ledger to the home's clock.
    fn home_time(&self, now: MonoTime) -> MonoTime;
}

impl Granting for Serving {
    fn home_time(&self, now: MonoTime) -> MonoTime {
        now
    }
}

impl Granting for Inherited {
    fn home_time(&self, now: MonoTime) -> MonoTime {
        self.exported_at + now.since(self.received_at)
    }
}

/// Age class of a ticket that has no entry.
enum TicketAge {
    Claimable,
    Expired,
    Forgotten,
}

impl<P> TicketLedger<P> {
    /// Returns the home that minted the tickets.
    #[must_use]
    pub fn home(&self) -> &HomeAddress {
        &self.home
    }

    /// Returns the number of recorded tickets, claimed or revoked.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }
}

impl TicketLedger<Serving> {
    /// Creates an empty ledger for a core that has just started.
    #[must_use]
    pub fn open(home: HomeAddress, options: LedgerOptions) -> Self {
        let entries = BTreeMap::new();
        Self { home, options, next_sequence: 0, entries, phase: Serving::default() }
    }

    /// Mints `count` tickets for a client account.
    ///
    /// # Errors
    /// [`MintError`] if the ledger or the client account would exceed its limit; no ticket is
    /// minted then.
    pub fn mint(
        &mut self,
        now: MonoTime,
        account: &AccountName,
        count: usize,
    ) -> Result<Vec<DispatchTicket>, MintError> {
        self.evict_expired(now);
        let LedgerOptions { max_tickets, max_account_tickets, .. } = self.options;
        let account_total = self.phase.account_totals.get(account).copied().unwrap_or(0);
        ensure!(self.phase.total + count <= max_tickets, LedgerFullSnafu { limit: max_tickets });
        ensure!(
            account_total + count <= max_account_tickets,
            AccountFullSnafu { limit: max_account_tickets }
        );
        self.phase.total += count;
        self.phase.account_totals.insert(account.clone(), account_total + count);
        let batch = MintBatch { minted_at: now, account: account.clone(), count };
        self.phase.batches.push_back(batch);
        let first = self.next_sequence;
        self.next_sequence += count as u64;
        let ticket = |sequence| DispatchTicket {
            key: TicketKey { home: self.home.clone(), sequence },
            account: account.clone(),
            minted_at: now,
        };
        Ok((first..self.next_sequence).map(ticket).collect())
    }

    /// Drops batches and entries that are past retention, to bound memory use.
    pub fn evict_expired(&mut self, now: MonoTime) {
        let retained_for = self.options.lifetime + self.options.retention;
        while let Some(batch) = self.phase.batches.front() {
            if batch.minted_at + retained_for >= now {
                break;
            }
            if let Some(account_total) = self.phase.account_totals.get_mut(&batch.account) {
                *account_total -= batch.count;
                if *account_total == 0 {
                    self.phase.account_totals.remove(&batch.account);
                }
            }
            self.phase.total -= batch.count;
            self.phase.batches.pop_front();
        }
        self.evict_expired_entries(now);
    }
}

impl TicketLedger<Inherited> {
    /// Takes over a ledger that its previous keeper handed over.
    #[must_use]
    pub fn inherit(now: MonoTime, export: LedgerExport, options: LedgerOptions) -> Self {
        let phase = Inherited { exported_at: export.exported_at, received_at: now };
        let LedgerExport { home, next_sequence, entries, .. } = export;
        Self { home, options, next_sequence, entries, phase }
    }

    /// Returns whether every ticket is past retention, so that the ledger can be dropped.
    #[must_use]
    pub fn is_past_retention(&self, now: MonoTime) -> bool {
        let retained_for = self.options.lifetime + self.options.retention;
        now.since(self.phase.received_at) > retained_for
    }
}

impl TicketLedger<HandedOver> {
    /// Returns the core that keeps the ledger now.
    #[must_use]
    pub fn successor(&self) -> &HomeAddress {
        &self.phase.successor
    }
}

impl<P: Granting> TicketLedger<P> {
    /// Hands over the ledger: returns a [`HandedOver`] ledger, which grants nothing, and the
    /// export for the successor.
    #[must_use]
    pub fn hand_over(
        self,
        now: MonoTime,
        successor: HomeAddress,
    ) -> (TicketLedger<HandedOver>, LedgerExport) {
        let export = LedgerExport {
            home: self.home.clone(),
            next_sequence: self.next_sequence,
            exported_at: self.phase.home_time(now),
            entries: self.entries,
        };
        let handed_over = TicketLedger {
            home: self.home,
            options: self.options,
            next_sequence: self.next_sequence,
            entries: BTreeMap::new(),
            phase: HandedOver { successor },
        };
        (handed_over, export)
    }

    /// Decides an attempt to claim a ticket. Repeating a granted attempt returns the grant again.
    pub fn claim(
        &mut self,
        now: MonoTime,
        ticket: &DispatchTicket,
        claim_id: &ClaimId,
    ) -> ClaimVerdict {
        if !self.has_minted(&ticket.key) {
            return ClaimVerdict::HomeEnded;
        }
        match self.entries.get(&ticket.key.sequence) {
            Some((_, TicketState::Claimed(holder))) if holder == claim_id => ClaimVerdict::Granted,
            Some((_, TicketState::Claimed(holder))) => ClaimVerdict::HeldBy(holder.claimer.clone()),
            Some((_, TicketState::Revoked)) => ClaimVerdict::Revoked,
            None => match self.age(now, ticket) {
                TicketAge::Claimable => {
                    self.record(ticket, TicketState::Claimed(claim_id.clone()));
                    ClaimVerdict::Granted
                }
                TicketAge::Expired => ClaimVerdict::Revoked,
                TicketAge::Forgotten => ClaimVerdict::Forgotten,
            },
        }
    }

    /// Decides an attempt to revoke a ticket. A claimed ticket can be revoked only by the
    /// attempt that holds it.
    pub fn revoke(
        &mut self,
        now: MonoTime,
        ticket: &DispatchTicket,
        claim_id: &ClaimId,
    ) -> RevokeVerdict {
        if !self.has_minted(&ticket.key) {
            return RevokeVerdict::HomeEnded;
        }
        match self.entries.get(&ticket.key.sequence) {
            Some((_, TicketState::Claimed(holder))) if holder != claim_id => {
                RevokeVerdict::HeldBy(holder.claimer.clone())
            }
            Some(_) => {
                self.record(ticket, TicketState::Revoked);
                RevokeVerdict::Revoked
            }
            None => match self.age(now, ticket) {
                TicketAge::Claimable => {
                    self.record(ticket, TicketState::Revoked);
                    RevokeVerdict::Revoked
                }
                TicketAge::Expired => RevokeVerdict::Revoked,
                TicketAge::Forgotten => RevokeVerdict::Forgotten,
            },
        }
    }

    /// Returns the core that has claimed a ticket, if any.
    #[must_use]
    pub fn holder(&self, key: &TicketKey) -> Option<&HomeAddress> {
        match self.entries.get(&key.sequence) {
            Some((_, TicketState::Claimed(claim_id))) if self.has_minted(key) => {
                Some(&claim_id.claimer)
            }
            _ => None,
        }
    }

    /// Drops entries past retention.
    ///
    /// Minting times increase with sequence numbers, so the oldest entries come first.
    pub fn evict_expired_entries(&mut self, now: MonoTime) {
        let home_now = self.phase.home_time(now);
        let retained_for = self.options.lifetime + self.options.retention;
        while let Some(entry) = self.entries.first_entry() {
            if entry.get().0 + retained_for >= home_now {
                break;
            }
            entry.remove();
        }
    }

    fn has_minted(&self, key: &TicketKey) -> bool {
        key.home == self.home && key.sequence < self.next_sequence
    }

    fn record(&mut self, ticket: &DispatchTicket, state: TicketState) {
        self.entries.insert(ticket.key.sequence, (ticket.minted_at, state));
    }

    fn age(&self, now: MonoTime, ticket: &DispatchTicket) -> TicketAge {
        let age = self.phase.home_time(now).since(ticket.minted_at);
        let LedgerOptions { lifetime, retention, .. } = self.options;
        if age <= lifetime {
            TicketAge::Claimable
        } else if age <= lifetime + retention {
            TicketAge::Expired
        } else {
            TicketAge::Forgotten
        }
    }
}
