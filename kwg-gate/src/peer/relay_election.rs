use std::collections::BTreeMap;
use std::time::Duration;

use kwg_model::MonoTime;

/// Silence of the relay after which another one is looked for. A relay sends five times a second.
const RELAY_SILENT: Duration = Duration::from_millis(800);
/// Further silence after which more candidates are passed over: they had noticed the relay's silence as well, and a view
/// of one that acts has arrived by then.
const NEXT_SILENT: Duration = Duration::from_millis(300);
/// Factor by which more candidates are passed over each time.
const SKIP_GROWTH: usize = 4;
/// Maximum number of times that it is applied.
const MAX_GROWTHS: u32 = 4;
/// How long a silent candidate is passed over.
const SUSPICION: Duration = Duration::from_secs(3);
/// Time after the start before an instance acts as relay, in which it receives the digests of the
/// other instances.
const WARM_UP: Duration = Duration::from_millis(1_000);
/// Number of instances of a failure domain that receive the digests of all others: the relay and
/// one that can replace it at once.
const RELAYS: usize = 2;

/// Finds the relay of a large failure domain, as one instance sees it.
///
/// Candidates are ranked by name. An instance acts as relay when no relay sends views and all
/// candidates before it are silent, and stops when an earlier one acts as well. An earlier candidate
/// that returns does not replace the relay.
///
/// ```
/// use std::time::Duration;
///
/// use kwg_gate::RelayElection;
/// use kwg_model::MonoTime;
///
/// let start = MonoTime::from_millis(1);
/// let mut election = RelayElection::new("a-2", start);
/// let candidates = ["a-1", "a-2", "a-3"];
/// election.update(&candidates, start);
/// assert_eq!(election.relays(&candidates, start), ["a-1", "a-2"]);
/// let later = start + Duration::from_millis(1_100);
/// election.update(&candidates, later);
/// assert!(election.is_acting(), "a-1 is silent");
/// ```
#[derive(Debug, Clone)]
pub struct RelayElection {
    own: String,
    started: MonoTime,
    is_acting: bool,
    /// The relay whose views are accepted, and when its last one arrived.
    source: Option<(String, MonoTime)>,
    /// Candidates that were silent, and until when they are passed over.
    suspects: BTreeMap<String, MonoTime>,
    /// Since when the relay has been waited for.
    waiting_since: MonoTime,
    /// Number of timeouts in a row; each one passes over more candidates than the last.
    misses: u32,
}

impl RelayElection {
    /// Creates the state of the instance `own`, started at `now`.
    #[must_use]
    pub fn new(own: &str, now: MonoTime) -> Self {
        Self {
            own: own.to_owned(),
            started: now,
            is_acting: false,
            source: None,
            suspects: BTreeMap::new(),
            waiting_since: now,
            misses: 0,
        }
    }

    /// Whether this instance is the relay.
    #[must_use]
    pub fn is_acting(&self) -> bool {
        self.is_acting
    }

    /// Whether no relay has been heard for longer than `span`, or since the start.
    #[must_use]
    pub fn is_without_relay(&self, span: Duration, now: MonoTime) -> bool {
        let heard = self.source.as_ref().map_or(self.started, |(_, at)| *at);
        !self.is_acting && now.since(heard) > span
    }

    /// Records that an instance sent something other than a view.
    pub fn record_heard(&mut self, name: &str) {
        self.suspects.remove(name);
    }

    /// Records a view of a relay; returns whether to use it. Views of a later candidate than the
    /// current relay are ignored while that one sends.
    pub fn record_view(&mut self, from: &str, now: MonoTime) -> bool {
        self.suspects.remove(from);
        if self.is_acting && from > self.own.as_str() {
            return false;
        }
        if self.fresh_source(now).is_some_and(|source| source < from) {
            return false;
        }
        self.is_acting = false;
        self.misses = 0;
        self.waiting_since = now;
        self.source = Some((from.to_owned(), now));
        true
    }

    /// Passes over silent candidates, and lets this instance act if none is left before it.
    /// `candidates` are the sorted names of the domain's live instances, this one included.
    pub fn update(&mut self, candidates: &[&str], now: MonoTime) {
        self.suspects.retain(|_, until| now < *until);
        if self.is_acting || self.fresh_source(now).is_some() {
            return;
        }
        let patience = if self.misses == 0 { RELAY_SILENT } else { NEXT_SILENT };
        if now.since(self.waiting_since) > patience {
            self.waiting_since = now;
            let silent = self.unsuspected(candidates).take_while(|name| *name != self.own);
            let silent: Vec<String> = silent
                .take(SKIP_GROWTH.pow(self.misses.min(MAX_GROWTHS)))
                .map(str::to_owned)
                .collect();
            self.misses += 1;
            self.suspects.extend(silent.into_iter().map(|name| (name, now + SUSPICION)));
        }
        let is_first = self.unsuspected(candidates).next() == Some(self.own.as_str());
        self.is_acting = is_first && now.since(self.started) >= WARM_UP;
    }

    /// The instances that receive the digests of all others: the current relay and the first
    /// candidates.
    #[must_use]
    pub fn relays<'a>(&'a self, candidates: &[&'a str], now: MonoTime) -> Vec<&'a str> {
        let mut relays: Vec<&str> = self.unsuspected(candidates).take(RELAYS).collect();
        if let Some(source) = self.fresh_source(now)
            && !relays.contains(&source)
        {
            relays.push(source);
        }
        relays
    }

    fn unsuspected<'a>(&self, candidates: &[&'a str]) -> impl Iterator<Item = &'a str> {
        candidates.iter().copied().filter(|name| !self.suspects.contains_key(*name))
    }

    fn fresh_source(&self, now: MonoTime) -> Option<&str> {
        let fresh = self.source.as_ref().filter(|(_, at)| now.since(*at) <= RELAY_SILENT);
        fresh.map(|(name, _)| name.as_str())
    }
}
