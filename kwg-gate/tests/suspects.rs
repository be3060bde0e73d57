//! Which requests count as the cause of the ends of their targets, for how long, and what is asked before each
//! send.

mod support;

use std::sync::Arc;
use std::time::Duration;

use kwg_gate::{
    AttemptEvidence, AttemptSample, Dispatched, FinalOutcome, GateCore, GateSession,
    PlacementOutcome, PromptPart, Received, RefusalReason, RequestDetails, RequestKind,
    RetryBudgetOptions, SessionStep, TargetEntry, TargetId, TargetRegistry, TargetWord,
};
use kwg_model::MonoTime;
use support::{STREAM, core_with, start};

const ONCE: RequestKind = RequestKind::Stream { resumable: false };
/// Time after its last end for which a request is refused.
const REFUSED_FOR: Duration = Duration::from_secs(600);

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A core with targets of any number, whose runs began at the times in `borns`.
struct Fixture {
    core: GateCore,
    borns: Vec<u64>,
    now: MonoTime,
    /// Parts of the prompts of the next requests.
    parts: Vec<PromptPart>,
}

impl Fixture {
    fn new(targets: u8, kind: RequestKind) -> Self {
        let retry =
            RetryBudgetOptions { ratio: 10.0, extra: 1_000.0, window: Duration::from_secs(10) };
        let core = core_with(targets, kind, 2, retry);
        let borns = vec![1; usize::from(targets)];
        let mut fixture = Self { core, borns, now: start(), parts: Vec::new() };
        fixture.publish();
        fixture
    }

    fn publish(&mut self) {
        let registry = support::registry(u8::try_from(self.borns.len()).expect("few"));
        let entries: Vec<TargetEntry> = registry.entries().cloned().collect();
        let mut changed = TargetRegistry::default();
        let entries = entries.into_iter().map(|entry| {
            let number: usize = entry.id.as_str()[2..].parse().expect("a number");
            TargetEntry { born: self.borns[number], ..entry }
        });
        changed.replace(2, entries, self.now);
        self.core.set_registry(&Arc::new(changed));
    }

    /// A target is back as another run.
    fn renew(&mut self, id: &TargetId) {
        let number: usize = id.as_str()[2..].parse().expect("a number");
        self.borns[number] += 1;
        self.publish();
    }

    fn admit(&mut self, content: u64) -> Result<PlacementOutcome, FinalOutcome> {
        let details = RequestDetails {
            id: "r".to_owned(),
            host: "h".to_owned(),
            path: "/a".to_owned(),
            key: None,
            parts: self.parts.clone(),
            tokens: None,
            arrived: self.now,
            deadline: self.now + secs(10),
            fingerprint: content,
        };
        let session = GateSession::<Received>::new(details).admit(&mut self.core, 0.5, self.now)?;
        Ok(session.place(&mut self.core, 0.5, self.now))
    }

    fn send(&mut self, content: u64) -> GateSession<Dispatched> {
        match self.admit(content) {
            Ok(PlacementOutcome::Placed(placed)) => {
                let sent = placed.dispatch();
                self.core.targets_mut().begin_attempt(sent.placement().target, 0);
                sent
            }
            other => panic!("not sent: {other:?}"),
        }
    }

    fn is_refused(&mut self, content: u64) -> bool {
        match self.admit(content) {
            Err(FinalOutcome::Refused { reason: RefusalReason::Suspect, retry_after }) => {
                assert_eq!(retry_after, None, "it must not come again at once");
                true
            }
            Ok(PlacementOutcome::Placed(_)) => false,
            other => panic!("{other:?}"),
        }
    }

    fn end(&mut self, sent: GateSession<Dispatched>, evidence: AttemptEvidence) -> SessionStep {
        let key = sent.placement().target;
        self.core.targets_mut().end_attempt(key);
        sent.close(&mut self.core, evidence, self.now)
    }

    /// Lets a request end its target, which is back as another run after 3 s.
    fn crash(&mut self, content: u64) {
        let sent = self.send(content);
        let id = self.core.targets().entry(sent.placement().target).expect("known").id.clone();
        drop(self.end(sent, AttemptEvidence::Cut));
        self.now = self.now + secs(3);
        self.renew(&id);
    }

    fn answer(&mut self, sent: GateSession<Dispatched>) {
        self.core.targets_mut().end_attempt(sent.placement().target);
        sent.answered(&mut self.core, &AttemptSample::default(), self.now);
    }
}

#[test]
fn three_equal_requests_on_a_target_that_ends_once_are_not_refused() {
    let mut fixture = Fixture::new(1, ONCE);
    let sent = [fixture.send(7), fixture.send(7)];
    let id = fixture.core.targets().entry(sent[0].placement().target).expect("known").id.clone();
    for session in sent {
        drop(fixture.end(session, AttemptEvidence::Cut));
    }
    fixture.now = fixture.now + secs(3);
    fixture.renew(&id);
    assert!(!fixture.is_refused(7), "one target has ended");
    fixture.crash(7);
    assert!(!fixture.is_refused(7), "two have ended");
    fixture.crash(7);
    assert!(fixture.is_refused(7), "three have ended");
    assert!(!fixture.is_refused(8));
}

#[test]
fn a_request_is_refused_for_ten_minutes_after_its_last_end_and_again_after_one_more() {
    let mut fixture = Fixture::new(3, ONCE);
    (0..3).for_each(|_| fixture.crash(7));
    fixture.now = fixture.now + (REFUSED_FOR - secs(10));
    assert!(fixture.is_refused(7));
    fixture.now = fixture.now + secs(10);
    fixture.crash(7);
    assert!(fixture.is_refused(7), "it still ends its targets");
    fixture.now = fixture.now + REFUSED_FOR;
    let sent = fixture.send(7);
    fixture.answer(sent);
    fixture.crash(7);
    assert!(!fixture.is_refused(7), "it was answered");
}

#[test]
fn refused_requests_are_kept_when_many_others_are_cut() {
    let mut fixture = Fixture::new(4, ONCE);
    (0..3).for_each(|_| fixture.crash(7));
    for content in 1_000..6_000 {
        let sent = fixture.send(content);
        drop(fixture.end(sent, AttemptEvidence::Cut));
        fixture.now = fixture.now + Duration::from_millis(5);
        if content % 50 == 0 {
            fixture.borns.iter_mut().for_each(|born| *born += 1);
            fixture.publish();
        }
    }
    assert!(fixture.is_refused(7));
}

#[test]
fn a_request_that_was_admitted_before_the_third_end_is_not_sent_after_it() {
    let mut fixture = Fixture::new(1, ONCE);
    (0..2).for_each(|_| fixture.crash(7));
    // Both slots are taken, one of them by the third run.
    let third = fixture.send(7);
    let other = fixture.send(8);
    let Ok(PlacementOutcome::Waiting(waiting, _)) = fixture.admit(7) else {
        panic!("a slot may become free");
    };
    drop(fixture.end(third, AttemptEvidence::Cut));
    fixture.answer(other);
    let outcome = waiting.place(&mut fixture.core, 0.5, fixture.now);
    let refused = FinalOutcome::refused(RefusalReason::Suspect);
    assert!(matches!(outcome, PlacementOutcome::Refused(outcome) if outcome == refused));
}

#[test]
fn requests_with_a_part_that_wait_or_are_being_connected_are_not_sent_once_it_is_refused() {
    let mut fixture = Fixture::new(2, ONCE);
    fixture.parts = vec![PromptPart::of("m", "p")];
    (1..3).for_each(|content| fixture.crash(content));
    // All four slots are taken, one of them by the third run.
    let (third, connecting) = (fixture.send(3), fixture.send(4));
    let sound = std::mem::take(&mut fixture.parts);
    let others = [fixture.send(5), fixture.send(6)];
    fixture.parts = sound;
    let target = connecting.placement().target;
    assert!(connecting.may_reach(&fixture.core, target, fixture.now));
    let Ok(PlacementOutcome::Waiting(waiting, _)) = fixture.admit(7) else {
        panic!("a slot may become free");
    };
    drop(fixture.end(third, AttemptEvidence::Cut));
    others.into_iter().for_each(|sent| fixture.answer(sent));
    assert!(!connecting.may_reach(&fixture.core, target, fixture.now));
    let outcome = waiting.place(&mut fixture.core, 0.5, fixture.now);
    let refused = FinalOutcome::refused(RefusalReason::Suspect);
    assert!(matches!(outcome, PlacementOutcome::Refused(outcome) if outcome == refused));
    assert!(fixture.is_refused(8), "whatever else it holds");
    fixture.parts.clear();
    assert!(!fixture.is_refused(8));
}

#[test]
fn a_request_whose_connection_is_being_opened_at_the_third_end_is_not_sent() {
    let mut fixture = Fixture::new(2, ONCE);
    (0..2).for_each(|_| fixture.crash(7));
    let (third, connecting) = (fixture.send(7), fixture.send(7));
    let target = connecting.placement().target;
    assert!(connecting.may_reach(&fixture.core, target, fixture.now));
    drop(fixture.end(third, AttemptEvidence::Cut));
    assert!(!connecting.may_reach(&fixture.core, target, fixture.now));
    let ended = fixture.end(connecting, AttemptEvidence::NotSent);
    let refused = FinalOutcome::refused(RefusalReason::Suspect);
    assert!(matches!(ended, SessionStep::Ended(outcome) if outcome == refused), "{ended:?}");
}

#[test]
fn a_stream_that_waits_to_be_resumed_is_not_sent_after_the_third_end() {
    let mut fixture = Fixture::new(2, STREAM);
    (0..2).for_each(|_| {
        let sent = fixture.send(7);
        let id = fixture.core.targets().entry(sent.placement().target).expect("known").id.clone();
        drop(fixture.end(sent, AttemptEvidence::Cut));
        fixture.renew(&id);
        fixture.now = fixture.now + secs(1);
    });
    let (first, second) = (fixture.send(7), fixture.send(7));
    // A break that is no end of a target lets the stream be resumed.
    let SessionStep::Retry(again) = fixture.end(first, AttemptEvidence::Declined) else {
        panic!("a target that declines has not run it");
    };
    drop(fixture.end(second, AttemptEvidence::Cut));
    let outcome = again.place(&mut fixture.core, 0.5, fixture.now);
    assert!(matches!(outcome, PlacementOutcome::Refused(_)), "{outcome:?}");
}

#[test]
fn a_silent_target_counts_once_it_is_gone() {
    for evidence in [AttemptEvidence::Silent, AttemptEvidence::TimedOut] {
        let mut fixture = Fixture::new(3, ONCE);
        for _ in 0..3 {
            let sent = fixture.send(7);
            let id =
                fixture.core.targets().entry(sent.placement().target).expect("known").id.clone();
            drop(fixture.end(sent, evidence));
            assert!(!fixture.is_refused(7), "{evidence:?}: the target may be slow");
            fixture.now = fixture.now + secs(3);
            fixture.renew(&id);
            fixture.core.review_suspects(fixture.now);
        }
        assert!(fixture.is_refused(7), "{evidence:?}");
    }
}

#[test]
fn a_target_that_was_replaced_before_the_attempt_ended_counts() {
    let mut fixture = Fixture::new(3, ONCE);
    for _ in 0..3 {
        let sent = fixture.send(7);
        let id = fixture.core.targets().entry(sent.placement().target).expect("known").id.clone();
        fixture.now = fixture.now + secs(3);
        fixture.renew(&id);
        drop(fixture.end(sent, AttemptEvidence::TimedOut));
    }
    assert!(fixture.is_refused(7));
}

#[test]
fn silent_targets_that_live_on_do_not_count() {
    let mut fixture = Fixture::new(3, ONCE);
    for _ in 0..12 {
        let sent = fixture.send(7);
        drop(fixture.end(sent, AttemptEvidence::Silent));
        fixture.now = fixture.now + secs(1);
        fixture.core.review_suspects(fixture.now);
    }
    assert!(!fixture.is_refused(7));
}

#[test]
fn silent_targets_that_were_known_to_leave_do_not_count() {
    let mut fixture = Fixture::new(3, ONCE);
    for _ in 0..3 {
        let sent = fixture.send(7);
        let key = sent.placement().target;
        let id = fixture.core.targets().entry(key).expect("known").id.clone();
        drop(fixture.end(sent, AttemptEvidence::Silent));
        let word = TargetWord { is_leaving: true, pause: None };
        fixture.core.targets_mut().record_word(key, word, fixture.now);
        fixture.now = fixture.now + secs(3);
        fixture.renew(&id);
        fixture.core.review_suspects(fixture.now);
    }
    assert!(!fixture.is_refused(7));
}

#[test]
fn requests_wait_at_an_instance_that_starts_until_it_has_what_its_peers_know() {
    let mut fixture = Fixture::new(2, ONCE);
    fixture.core.begin_joining(fixture.now);
    assert!(!fixture.core.is_ready(fixture.now));
    let Ok(PlacementOutcome::Waiting(waiting, until)) = fixture.admit(7) else {
        panic!("its peers may refuse it");
    };
    assert_eq!(until, fixture.now + secs(2), "no peer may be left to tell");
    fixture.core.complete_joining(fixture.now);
    assert!(fixture.core.is_ready(fixture.now));
    let outcome = waiting.place(&mut fixture.core, 0.5, fixture.now);
    assert!(matches!(outcome, PlacementOutcome::Placed(_)));
    // Without a word of its peers it serves after a while.
    fixture.core.begin_joining(fixture.now);
    fixture.now = fixture.now + secs(2);
    assert!(fixture.core.is_ready(fixture.now));
    assert!(!fixture.is_refused(7));
}

#[test]
fn a_target_that_ends_again_before_its_entry_shows_a_restart_counts_each_time() {
    let mut fixture = Fixture::new(1, ONCE);
    for round in 0..3 {
        assert!(!fixture.is_refused(7), "{round} ends");
        // Two are under way when the target ends; its entry stays as it was.
        let sent = [fixture.send(7), fixture.send(7)];
        for session in sent {
            drop(fixture.end(session, AttemptEvidence::Cut));
        }
        fixture.now = fixture.now + secs(4);
    }
    assert!(fixture.is_refused(7));
}
