//! Edits of the tables on the stand-in platform: concurrent edits, lost replies and outages.

mod support;

use std::time::Duration;

use kwg_clock::ClockHandle;
use kwg_model::{PoolName, RouteName, RouteRow, ServiceTier, TableSet};
use kwg_store::{EditOutcome, EditRequest};
use support::with_platform;

fn request(id: &str) -> EditRequest {
    EditRequest { change_id: id.to_owned(), editor: format!("editor of {id}"), edited_at_ms: 7 }
}

fn tables(routes: &[&str]) -> TableSet {
    let rows = routes.iter().map(|name| {
        let name = RouteName::new(name).expect("valid");
        let tier = ServiceTier::new(1).expect("in range");
        let pool = PoolName::new("graz").expect("valid");
        (name.clone(), RouteRow { name, pool, tier, deadline_ms: 1 })
    });
    TableSet { routes: rows.collect(), ..TableSet::default() }
}

#[test]
fn an_edit_is_accepted_and_read_back() {
    with_platform(async |platform| {
        let store = &platform.store;
        let empty = store.read().await.expect("up");
        let outcome = store.edit(&empty, tables(&["a", "b"]), &request("one")).await;
        assert_eq!(outcome.expect("sent"), EditOutcome::Accepted { revision: 1 });
        let first = store.read().await.expect("up");
        let outcome = store.edit(&first, tables(&["b"]), &request("two")).await;
        assert_eq!(outcome.expect("sent"), EditOutcome::Accepted { revision: 2 });
        let second = store.read().await.expect("up").tables;
        assert_eq!((second.revision, second.routes.len()), (2, 1));
        assert_eq!(second.editor, "editor of two");
    });
}

#[test]
fn of_two_concurrent_edits_one_is_accepted_and_the_other_gets_its_editor() {
    with_platform(async |platform| {
        let store = &platform.store;
        let base = store.read().await.expect("up");
        let first = store.edit(&base, tables(&["a"]), &request("one")).await.expect("sent");
        let second = store.edit(&base, tables(&["b"]), &request("two")).await.expect("sent");
        assert_eq!(first, EditOutcome::Accepted { revision: 1 });
        let editor = "editor of one".to_owned();
        assert_eq!(second, EditOutcome::Conflict { revision: 1, editor, edited_at_ms: 7 });
        assert!(
            store.read().await.expect("up").tables.routes.keys().all(|route| route.as_str() == "a")
        );
    });
}

#[test]
fn an_edit_whose_reply_is_lost_is_found_by_reading() {
    with_platform(async |platform| {
        let store = &platform.store;
        let base = store.read().await.expect("up");
        platform.fault("lose_answers=1").await;
        let outcome = store.edit(&base, tables(&["a"]), &request("one")).await.expect("sent");
        assert_eq!(outcome, EditOutcome::Accepted { revision: 1 });
        assert_eq!(store.read().await.expect("up").tables.revision, 1, "accepted once");
    });
}

#[test]
fn an_edit_whose_reply_is_lost_is_found_after_a_later_edit() {
    with_platform(async |platform| {
        let store = &platform.store;
        let base = store.read().await.expect("up");
        platform.fault("lose_answers=1").await;
        let first = request("one");
        let slow = store.edit(&base, tables(&["a"]), &first);
        let other = async {
            // Runs between the lost reply and the first editor's next attempt.
            ClockHandle::system().sleep(Duration::from_millis(100)).await;
            let base = store.read().await.expect("up");
            store.edit(&base, tables(&["a", "b"]), &request("two")).await.expect("sent")
        };
        let (first, second) = futures_lite::future::zip(slow, other).await;
        assert_eq!(first.expect("sent"), EditOutcome::Accepted { revision: 1 });
        assert_eq!(second, EditOutcome::Accepted { revision: 2 });
    });
}

#[test]
fn an_edit_during_an_outage_is_unknown() {
    with_platform(async |platform| {
        let base = platform.store.read().await.expect("up");
        platform.fault("down=1").await;
        let outcome = platform.store.edit(&base, tables(&["a"]), &request("one")).await;
        assert!(matches!(outcome, Ok(EditOutcome::Unknown { .. })), "{outcome:?}");
        assert!(platform.store.read().await.is_err());
    });
}
