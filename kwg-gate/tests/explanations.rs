//! Explanations of placements say what would be decided, and change nothing.

mod support;

use std::time::Duration;

use kwg_gate::{ExplainQuery, GateCore, PlacementOutcome};
use support::{SLOTS, STREAM, core, place, send, start};

fn query(path: &str) -> ExplainQuery {
    ExplainQuery {
        host: "h".to_owned(),
        path: path.to_owned(),
        prompt_tokens: 1_000,
        output_tokens: 100,
        ..ExplainQuery::default()
    }
}

/// An explanation that reserves a slot, counts a request or charges an account would alter what it explains.
#[test]
fn the_explained_target_is_the_one_that_is_chosen_and_nothing_changes() {
    let mut core = core(3, STREAM);
    let first = send(&mut core, 1, start());
    let before = core.digest(1, start());
    let explained = core.explain(&query("/a"), 0.5, start());
    for _ in 0..20 {
        assert_eq!(core.explain(&query("/a"), 0.5, start()), explained);
    }
    assert_eq!(core.digest(1, start()), before);
    assert_eq!(explained.outcome, "send");
    assert_eq!(explained.route.as_deref(), Some("draft"));
    assert_eq!((explained.targets.len(), explained.omitted), (3, 0));
    let busy = core.targets().entry(first.placement().target).expect("known").id.to_string();
    let busy = explained.targets.iter().find(|target| target.target == busy).expect("listed");
    assert_eq!((busy.load, busy.state.as_str()), (1, "open"));
    for target in &explained.targets {
        assert!((target.cost - target.terms.total()).abs() < 1e-9, "{target:?}");
    }
    let PlacementOutcome::Placed(placed) = place(&mut core, 2, start()) else {
        panic!("a slot is free")
    };
    let chosen =
        core.targets().entry(placed.dispatch().placement().target).expect("known").id.to_string();
    assert_eq!(explained.target, Some(chosen));
}

fn reason(core: &GateCore, query: &ExplainQuery) -> (String, Option<String>) {
    let explained = core.explain(query, 0.5, start());
    (explained.outcome, explained.reason)
}

/// A request without a free slot waits, and says for how long; one without route, account or target is refused.
#[test]
fn waits_and_refusals_are_explained() {
    let mut core = core(1, STREAM);
    let refused = |reason: &str| ("refuse".to_owned(), Some(reason.to_owned()));
    let other_host = ExplainQuery { host: "other".to_owned(), ..query("/a") };
    assert_eq!(reason(&core, &other_host), refused("no-route"));
    let unknown = ExplainQuery { account: Some("nobody".to_owned()), ..query("/a") };
    assert_eq!(reason(&core, &unknown), refused("unknown-key"));
    let _running: Vec<_> = (0..u64::from(SLOTS)).map(|id| send(&mut core, id, start())).collect();
    let explained = core.explain(&query("/a"), 0.5, start());
    assert_eq!(explained.outcome, "wait");
    assert_eq!(explained.reason.as_deref(), Some("overloaded"));
    assert!(explained.wait_ms.is_some_and(|wait| (1..=800).contains(&wait)), "{explained:?}");
    assert_eq!(explained.targets[0].state, "full");
    core.set_end(start() + Duration::from_millis(10));
    let later = core.explain(&query("/a"), 0.5, start() + Duration::from_millis(20));
    assert_eq!(later.reason.as_deref(), Some("stopping"));
}

/// A listing of all targets of a large service would hold up the traffic thread and fill the screen.
#[test]
fn long_listings_are_cut() {
    let core = core(204, STREAM);
    let explained = core.explain(&query("/a"), 0.5, start());
    assert_eq!((explained.targets.len(), explained.omitted), (32, 172));
}
