//! The table of true outcomes: what may follow each kind of evidence, for each kind of request.

use kwg_gate::{
    AttemptEvidence, AttemptRight, AttemptVerdict, FinalWord, RefusalReason, RequestKind,
    UnknownReason,
};

const EVIDENCE: [AttemptEvidence; 7] = [
    AttemptEvidence::NotSent,
    AttemptEvidence::Declined,
    AttemptEvidence::Cut,
    AttemptEvidence::BadAnswer,
    AttemptEvidence::Silent,
    AttemptEvidence::TargetFailure,
    AttemptEvidence::TimedOut,
];

const KINDS: [RequestKind; 4] = [
    RequestKind::Idempotent,
    RequestKind::NonIdempotent,
    RequestKind::Stream { resumable: true },
    RequestKind::Stream { resumable: false },
];

fn may_have_run(evidence: AttemptEvidence) -> bool {
    !matches!(evidence, AttemptEvidence::NotSent | AttemptEvidence::Declined)
}

#[test]
fn only_what_may_be_repeated_is_sent_again_after_it_may_have_run() {
    for kind in KINDS {
        for evidence in EVIDENCE.into_iter().filter(|evidence| may_have_run(*evidence)) {
            let verdict = AttemptRight::new(kind, 3).spend().close(evidence);
            let is_again = matches!(verdict, AttemptVerdict::Again(_));
            let is_allowed = kind.is_repeatable() && evidence != AttemptEvidence::TimedOut;
            assert_eq!(is_again, is_allowed, "{kind:?} {evidence:?}");
        }
    }
}

#[test]
fn a_refusal_is_said_only_if_nothing_has_run() {
    for kind in KINDS {
        for first in EVIDENCE {
            for second in EVIDENCE {
                let (mut right, mut has_run) = (Some(AttemptRight::new(kind, 2)), false);
                let mut word = None;
                for evidence in
                    [first, second, AttemptEvidence::Declined, AttemptEvidence::Declined]
                {
                    let Some(open) = right.take().map(AttemptRight::spend) else { break };
                    has_run |= may_have_run(evidence);
                    match open.close(evidence) {
                        AttemptVerdict::Again(again) => right = Some(again),
                        AttemptVerdict::Final(last) => word = Some(last),
                    }
                }
                let refuses = matches!(word, Some(FinalWord::Refused { .. }));
                assert!(!(refuses && has_run), "{kind:?} {first:?} {second:?}");
            }
        }
    }
}

#[test]
fn a_request_runs_on_no_more_targets_than_its_route_allows() {
    for max_attempts in 1..=3 {
        let (mut right, mut runs) = (AttemptRight::new(RequestKind::Idempotent, max_attempts), 0);
        loop {
            runs += 1;
            match right.spend().close(AttemptEvidence::Cut) {
                AttemptVerdict::Again(again) => right = again,
                AttemptVerdict::Final(word) => {
                    assert_eq!(word, FinalWord::Unknown(UnknownReason::Cut));
                    break;
                }
            }
        }
        assert_eq!(runs, max_attempts);
    }
}

#[test]
fn declined_requests_end_as_refusals() {
    let mut right = AttemptRight::new(RequestKind::NonIdempotent, 1);
    let word = loop {
        match right.spend().close(AttemptEvidence::Declined) {
            AttemptVerdict::Again(again) => right = again,
            AttemptVerdict::Final(word) => break word,
        }
    };
    assert_eq!(word, FinalWord::refused(RefusalReason::Declined));
}
