use std::time::Duration;

use kwg_model::MonoTime;

/// The longest pause that a target may ask for; longer ones are cut to it.
pub const LONGEST_PAUSE: Duration = Duration::from_secs(600);
/// Age of a word that a target leaves from which on it is doubtful, if the store still lists the target as
/// ready: a target that leaves is gone by then.
const DOUBT_TIME: Duration = Duration::from_secs(30);
/// Number of this instance's requests at a target after its pause, until one is answered.
const FIRST_RETURNS: u32 = 1;

/// What a target says of itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetWord {
    /// Whether it leaves.
    pub is_leaving: bool,
    /// For how long it wants no requests from this instance; `None` if it does not say so.
    pub pause: Option<Duration>,
}

/// Who says that a target leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingSource {
    /// Its entry in the store.
    Store,
    /// Its own answer to this instance.
    Target,
    /// A peer that has had such an answer.
    Peer,
    /// The operators, who evacuate its failure domain. The target itself stays.
    Evacuation,
}

/// Whether a target takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingState {
    /// It does.
    Open,
    /// It wants none for a while.
    Paused {
        /// The end of the pause.
        until: MonoTime,
    },
    /// It finishes its requests and takes no new ones.
    Leaving {
        /// Who says so.
        source: StandingSource,
        /// Since when that is known; `None` for the entry in the store, whose changes are logged.
        since: Option<MonoTime>,
    },
}

/// What the store, the target itself and peers say about whether one run of a target takes requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetStanding {
    /// Whether its entry says that it drains.
    is_draining: bool,
    /// Whether its failure domain is evacuated.
    is_evacuated: bool,
    /// When its own word was first heard. It holds as long as this run of the target is known.
    own_word: Option<MonoTime>,
    /// When a peer's report of its word was first heard.
    peer_word: Option<MonoTime>,
    /// Whether it has been told that the word is doubtful.
    is_doubt_told: bool,
    paused_until: MonoTime,
    /// Number of requests that this instance may run at it, after a pause; none without a bound.
    return_limit: Option<u32>,
}

impl StandingSource {
    /// The name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Target => "target",
            Self::Peer => "peer",
            Self::Evacuation => "evacuation",
        }
    }
}

impl StandingState {
    /// The name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Paused { .. } => "paused",
            Self::Leaving { .. } => "leaving",
        }
    }
}

impl TargetStanding {
    /// The state at a moment. The store's word goes first, then the target's own one. A target of an evacuated
    /// domain counts as leaving: it answers the load pattern of a domain that is about to fail, or has
    /// failed in part, while its targets still look ready.
    pub(crate) fn state(&self, now: MonoTime) -> StandingState {
        if self.is_draining {
            return StandingState::Leaving { source: StandingSource::Store, since: None };
        }
        let words =
            [(StandingSource::Target, self.own_word), (StandingSource::Peer, self.peer_word)];
        let leaving = words.into_iter().find(|(_, since)| since.is_some());
        match leaving {
            Some((source, since)) => StandingState::Leaving { source, since },
            None if self.is_evacuated => {
                StandingState::Leaving { source: StandingSource::Evacuation, since: None }
            }
            None if now < self.paused_until => StandingState::Paused { until: self.paused_until },
            None => StandingState::Open,
        }
    }

    /// Whether it finishes its requests and takes no new ones.
    pub(crate) fn is_leaving(&self, now: MonoTime) -> bool {
        matches!(self.state(now), StandingState::Leaving { .. })
    }

    /// Whether it takes no requests only because its failure domain is evacuated.
    pub(crate) fn is_only_evacuated(&self, now: MonoTime) -> bool {
        let source = StandingSource::Evacuation;
        self.state(now) == StandingState::Leaving { source, since: None }
    }

    /// Applies whether its failure domain is evacuated.
    pub(crate) fn record_evacuation(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    /// Whether one more request may be sent to it while `running` of this instance run there. After a pause
    /// they return a few at a time.
    pub(crate) fn accepts(&self, running: u32, now: MonoTime) -> bool {
        let is_open = self.state(now) == StandingState::Open;
        is_open && self.return_limit.is_none_or(|limit| running < limit)
    }

    /// Applies what the entry in the store says.
    pub(crate) fn record_entry(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Applies what the target says of itself.
    pub(crate) fn record_word(&mut self, word: TargetWord, now: MonoTime) {
        if word.is_leaving {
            self.own_word.get_or_insert(now);
        }
        if let Some(pause) = word.pause {
            self.paused_until = self.paused_until.max(now + pause.min(LONGEST_PAUSE));
            self.return_limit = Some(FIRST_RETURNS);
        }
    }

    /// Records that a peer reports the target's word.
    pub(crate) fn record_peer(&mut self, now: MonoTime) {
        self.peer_word.get_or_insert(now);
    }

    /// Records a successful answer: after a pause, twice as many requests may run.
    pub(crate) fn record_success(&mut self, slots: u32) {
        self.return_limit = self.return_limit.map(|limit| limit * 2).filter(|limit| *limit < slots);
    }

    /// Whether the target's own word is to be reported to peers.
    pub(crate) fn has_own_word(&self) -> bool {
        self.own_word.is_some()
    }

    /// Whether it is said to leave and the store has listed it as ready for so long that this may be false.
    pub(crate) fn is_doubtful(&self, now: MonoTime) -> bool {
        let since = self.own_word.or(self.peer_word);
        !self.is_draining && since.is_some_and(|since| now.since(since) >= DOUBT_TIME)
    }

    /// Whether that has just become so.
    pub(crate) fn take_doubt(&mut self, now: MonoTime) -> bool {
        let is_new = self.is_doubtful(now) && !self.is_doubt_told;
        self.is_doubt_told |= is_new;
        is_new
    }
}
