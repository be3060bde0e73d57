use std::cmp::Reverse;
use std::task::Waker;

use kwg_model::MonoTime;
use slotmap::{SlotMap, new_key_type};

use super::caller_entry::CallerEntry;
use super::{CallerOptions, CallerPhase};

new_key_type! {
    /// Key of a caller's connection.
    pub struct CallerKey;
}

/// Counts the memory and the connections that callers use, and decides which connections are closed when
/// either runs out.
///
/// Answers a load of callers that open connections, send parts of requests and stop, or do not read
/// their answers: hundreds to thousands at once, each within the limits of one caller. Those without
/// progress make room, the longest first; a request that has arrived whole is never ended for it.
#[derive(Debug)]
pub struct CallerLedger {
    options: CallerOptions,
    entries: SlotMap<CallerKey, CallerEntry>,
    /// Bytes of all connections, with those that each takes.
    held: usize,
    /// Bytes held for answers of targets.
    shared: usize,
    /// Number of connections that are being closed, and their bytes.
    closing: usize,
    closing_bytes: usize,
}

impl CallerLedger {
    /// Creates a ledger without connections.
    ///
    /// ```
    /// use kwg_gate::{CallerLedger, CallerOptions};
    /// use kwg_model::MonoTime;
    ///
    /// let options = CallerOptions { connections: 1, ..CallerOptions::default() };
    /// let mut ledger = CallerLedger::new(options);
    /// let first = ledger.accept(MonoTime::ZERO).expect("room");
    /// let second = ledger.accept(MonoTime::from_millis(5)).expect("the first one has sent nothing");
    /// assert_eq!(ledger.closing(first), Some("silent"));
    /// assert_eq!(ledger.closing(second), None);
    /// ```
    #[must_use]
    pub fn new(options: CallerOptions) -> Self {
        let entries = SlotMap::with_key();
        Self { options, entries, held: 0, shared: 0, closing: 0, closing_bytes: 0 }
    }

    /// The limits.
    #[must_use]
    pub fn options(&self) -> &CallerOptions {
        &self.options
    }

    /// Number of open connections, with those that are being closed.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.entries.len()
    }

    /// Bytes held for all connections and for answers.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held + self.shared
    }

    /// Whether a connection can be admitted without another one being closed.
    #[must_use]
    pub fn has_place(&self) -> bool {
        self.entries.len() < self.options.connections
    }

    /// Closes connections until there will be a place for another one; returns whether there will be.
    pub fn make_place(&mut self, now: MonoTime) -> bool {
        while self.entries.len() - self.closing >= self.options.connections {
            let Some(victim) = self.find_stalled(now) else { return false };
            self.close(victim);
        }
        true
    }

    /// Admits a connection, in place of others if necessary; `None` if none of them may be closed.
    pub fn accept(&mut self, now: MonoTime) -> Option<CallerKey> {
        if !self.make_place(now) {
            return None;
        }
        let bytes = self.options.connection_bytes;
        if !self.make_room(None, bytes, bytes, now) {
            return None;
        }
        self.held += bytes;
        Some(self.entries.insert(CallerEntry::new(now)))
    }

    /// Closes the connection that has been without progress for longest, because the process has no
    /// descriptors left; returns whether there was one.
    pub fn shed(&mut self, now: MonoTime) -> bool {
        let victim = self.find_stalled(now);
        victim.map(|victim| self.close(victim)).is_some()
    }

    /// Removes a connection that has been closed.
    pub fn remove(&mut self, key: CallerKey) {
        let Some(entry) = self.entries.remove(key) else { return };
        let bytes = entry.held + self.options.connection_bytes;
        self.held -= bytes;
        if entry.closing.is_some() {
            self.closing -= 1;
            self.closing_bytes -= bytes;
        }
    }

    /// Begins a phase of a connection. A connection that is to be closed does not begin to run; returns
    /// whether the phase has begun.
    pub fn set_phase(&mut self, key: CallerKey, phase: CallerPhase, now: MonoTime) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        if phase == CallerPhase::Running && entry.closing.is_some() {
            return false;
        }
        entry.set_phase(phase, now);
        true
    }

    /// Sets the number of bytes that are held for a connection. Returns whether there is room for them,
    /// in place of other connections if necessary; they count in any case, because they are there.
    pub fn hold(&mut self, key: CallerKey, bytes: usize, now: MonoTime) -> bool {
        let Some(entry) = self.entries.get_mut(key) else { return false };
        let before = std::mem::replace(&mut entry.held, bytes);
        self.held = self.held - before + bytes;
        if entry.closing.is_some() {
            self.closing_bytes = self.closing_bytes - before + bytes;
            return false;
        }
        bytes <= before || self.make_room(Some(key), 0, bytes, now)
    }

    /// Counts bytes of an answer; as [`Self::hold`].
    pub fn hold_shared(&mut self, before: usize, after: usize, now: MonoTime) -> bool {
        self.shared = self.shared - before + after;
        after <= before || self.make_room(None, 0, after, now)
    }

    /// Counts bytes of a request or an answer that have moved.
    pub fn record_progress(&mut self, key: CallerKey, bytes: usize, now: MonoTime) {
        let enough = self.options.window_bytes();
        if let Some(entry) = self.entries.get_mut(key) {
            entry.record_progress(bytes, enough, now);
        }
    }

    /// When the connection is too slow unless it makes progress before.
    #[must_use]
    pub fn floor_due(&self, key: CallerKey) -> MonoTime {
        let since = self.entries.get(key).map_or(MonoTime::ZERO, CallerEntry::progress_since);
        since + self.options.floor_window
    }

    /// Why a connection is to be closed; `None` if it is not.
    #[must_use]
    pub fn closing(&self, key: CallerKey) -> Option<&'static str> {
        self.entries.get(key).and_then(|entry| entry.closing)
    }

    /// The connections that are to be closed.
    pub fn closing_keys(&self) -> impl Iterator<Item = CallerKey> {
        self.entries.iter().filter(|(_, entry)| entry.closing.is_some()).map(|(key, _)| key)
    }

    /// Sets what is woken when the connection is to be closed.
    pub fn set_waker(&mut self, key: CallerKey, waker: &Waker) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.waker = Some(waker.clone());
        }
    }

    /// Closes connections until there is room for `bytes` more. `asker` is the connection that needs the
    /// room, and `asks` what it holds then.
    ///
    /// First go requests and replies that have stalled, then silent connections, then partial requests
    /// that hold more than the asker, the largest first, and then idle connections.
    fn make_room(
        &mut self,
        asker: Option<CallerKey>,
        bytes: usize,
        asks: usize,
        now: MonoTime,
    ) -> bool {
        while self.held + self.shared + bytes - self.closing_bytes > self.options.memory_bytes {
            let stall = self.options.stall;
            let victim = self
                .find(asker, |entry| {
                    let has_stalled =
                        entry.age(now) >= stall && !matches!(entry.phase, CallerPhase::Idle);
                    has_stalled.then(|| (rank(entry.phase), entry.age(now)))
                })
                .or_else(|| {
                    let larger = |entry: &CallerEntry| {
                        (entry.phase.is_partial() && entry.held > asks).then_some(entry.held)
                    };
                    self.find(asker, larger)
                })
                .or_else(|| {
                    let is_idle = |entry: &CallerEntry| entry.phase == CallerPhase::Idle;
                    self.find(asker, |entry| is_idle(entry).then(|| entry.age(now)))
                });
            match victim {
                Some(victim) => self.close(victim),
                None => return false,
            }
        }
        true
    }

    /// The connection to close for another one: of those without progress for the time of a stall the
    /// ones that have begun something go first, then silent ones, then idle ones, the longest first; then
    /// any other that has not sent a whole request, the oldest first.
    fn find_stalled(&self, now: MonoTime) -> Option<CallerKey> {
        let stall = self.options.stall;
        self.find(None, |entry| {
            let age = entry.age(now);
            match age >= stall {
                true => Some((rank(entry.phase), age)),
                false if entry.phase == CallerPhase::Reply => None,
                false => Some((0, age)),
            }
        })
    }

    /// The connection with the highest weight that may be closed; the first accepted of several.
    fn find<W: Ord>(
        &self,
        except: Option<CallerKey>,
        weight: impl Fn(&CallerEntry) -> Option<W>,
    ) -> Option<CallerKey> {
        let open = self.entries.iter().filter(|(key, entry)| {
            entry.closing.is_none() && entry.phase != CallerPhase::Running && Some(*key) != except
        });
        let weighed = open.filter_map(|(key, entry)| Some((weight(entry)?, Reverse(key), key)));
        weighed.max_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1))).map(|(_, _, key)| key)
    }

    fn close(&mut self, key: CallerKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.close();
            self.closing += 1;
            self.closing_bytes += entry.held + self.options.connection_bytes;
        }
    }
}

/// The order in which stalled connections are closed, the highest first.
fn rank(phase: CallerPhase) -> u8 {
    match phase {
        CallerPhase::Head | CallerPhase::Body | CallerPhase::Reply => 3,
        CallerPhase::Fresh => 2,
        CallerPhase::Idle | CallerPhase::Running => 1,
    }
}
