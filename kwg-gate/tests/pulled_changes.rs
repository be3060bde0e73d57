//! What an instance tells a peer that lags: the changes since the revision that the peer knows, if it can tell
//! which rows were removed since then.

use kwg_gate::{
    PullReply, ReadPurpose, RowChanges, StoreRow, TableCopy, TableReading, TableReplica,
};

fn row(key: &str, revision: u64) -> StoreRow {
    StoreRow { key: key.to_owned(), value: Some(key.as_bytes().to_vec()), revision }
}

fn removed(key: &str, revision: u64) -> StoreRow {
    StoreRow { key: key.to_owned(), value: None, revision }
}

fn replica(rows: &[StoreRow], revision: u64) -> TableReplica {
    let mut replica = TableReplica::default();
    replica.apply_copy(TableCopy { revision, rows: rows.to_vec() });
    replica
}

fn keys(replica: &TableReplica) -> Vec<&str> {
    replica.mirror().rows().map(|(key, ..)| key).collect()
}

#[test]
fn a_change_after_a_restart_does_not_hide_a_removal_that_was_not_seen() {
    let mut peer = replica(&[row("x", 3), row("y", 4)], 4);
    // x is removed at 5, and then the other instance starts.
    let mut started = TableReplica::default();
    started.apply_reading(TableReading::new(vec![row("y", 4)], 5), ReadPurpose::Start);
    let check = TableReading::new(vec![row("y", 4)], 7).with_proof(7);
    started.apply_reading(check, ReadPurpose::Check);
    let base = started.mirror().change_bound();
    let rows = started.apply_feed(vec![row("z", 8)], 7, 8);
    let applied = peer.apply_changes(RowChanges { base, revision: 8, rows });
    assert_eq!(applied.rows, [row("z", 8)], "in force at once");
    assert!(applied.has_gap);
    let known = peer.mirror().covered_revision();
    let Some(PullReply::Copy(copy)) = started.answer_pull(known) else {
        panic!("the removal of x is not known there");
    };
    assert_eq!(peer.apply_copy(copy), Some(vec![removed("x", 8)]));
    assert_eq!(keys(&peer), ["y", "z"]);
}

#[test]
fn a_removal_that_only_a_check_shows_is_told_to_a_peer_that_has_followed_further() {
    let rows = [row("x", 3), row("y", 9)];
    let mut instance = replica(&rows, 10);
    let mut peer = replica(&rows, 10);
    // Neither feed has told that x was removed at 12.
    instance.apply_feed(Vec::new(), 10, 20);
    peer.apply_feed(Vec::new(), 10, 15);
    instance.apply_reading(TableReading::new(vec![row("y", 9)], 22), ReadPurpose::Check);
    let Some(PullReply::Changes(changes)) = instance.answer_pull(15) else {
        panic!("nothing else is unknown");
    };
    assert!(!peer.apply_changes(changes).has_gap);
    assert_eq!(keys(&peer), ["y"]);
}

#[test]
fn one_change_of_a_large_table_is_told_without_the_others() {
    let rows: Vec<StoreRow> = (1..=300).map(|number| row(&format!("t{number}"), number)).collect();
    let mut instance = replica(&rows, 300);
    instance.apply_feed(vec![row("t5", 301), removed("t9", 302)], 300, 302);
    let changes =
        RowChanges { base: 300, revision: 302, rows: vec![row("t5", 301), removed("t9", 302)] };
    assert_eq!(instance.answer_pull(300), Some(PullReply::Changes(changes)));
    assert!(matches!(instance.answer_pull(299), Some(PullReply::Copy(_))));
    assert_eq!(instance.answer_pull(303), None, "the peer knows more");
}
