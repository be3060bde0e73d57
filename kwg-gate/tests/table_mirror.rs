//! Guards against a table mirror going back to an earlier state, when a copy or a change arrives
//! late.

use kwg_gate::{ReadPurpose, StoreRow, TableMirror, TableReading};

fn change(key: &str, value: Option<&str>, revision: u64) -> StoreRow {
    StoreRow { key: key.to_owned(), value: value.map(|text| text.as_bytes().to_vec()), revision }
}

fn keys(mirror: &TableMirror) -> Vec<&str> {
    mirror.rows().map(|(key, ..)| key).collect()
}

#[test]
fn a_copy_older_than_a_known_change_is_rejected() {
    let mut mirror = TableMirror::default();
    let a = || vec![change("a", Some("x"), 3)];
    assert!(mirror.replace(a(), 10).is_some());
    mirror.apply(vec![change("b", Some("x"), 12)], 10, 12);
    assert!(mirror.replace(a(), 11).is_none(), "it lacks b");
    assert_eq!(keys(&mirror), ["a", "b"]);
    let b = vec![change("b", Some("y"), 12)];
    assert!(mirror.replace(b, 14).is_some(), "a has been removed since");
    assert_eq!(keys(&mirror), ["b"]);
}

#[test]
fn a_known_change_is_ignored() {
    let mut mirror = TableMirror::default();
    assert_eq!(mirror.apply(vec![change("a", Some("x"), 5)], 0, 5).len(), 1);
    assert_eq!(mirror.apply(vec![change("a", None, 6)], 5, 9).len(), 1);
    assert!(mirror.apply(vec![change("a", Some("x"), 5)], 0, 5).is_empty(), "late and known");
    assert!(keys(&mirror).is_empty());
    assert_eq!((mirror.content_revision(), mirror.revision()), (6, 9));
}

#[test]
fn changes_of_other_tables_leave_the_content_revision() {
    let mut mirror = TableMirror::default();
    mirror.apply(vec![change("a", Some("x"), 5)], 0, 5);
    mirror.apply(Vec::new(), 5, 90);
    assert_eq!((mirror.content_revision(), mirror.revision()), (5, 90));
}

#[test]
fn a_stale_reading_does_not_bring_a_removed_row_back() {
    let mut mirror = TableMirror::default();
    let rows = vec![change("a", Some("x"), 3), change("b", Some("x"), 4)];
    assert!(mirror.replace(rows.clone(), 10).is_some());
    mirror.apply(vec![change("a", None, 12)], 10, 12);
    mirror.merge_reading(TableReading::new(rows, 15), ReadPurpose::Check);
    assert_eq!(keys(&mirror), ["b"]);
    assert_eq!(mirror.covered_revision(), 12, "it is not known to be complete up to 15");
}

#[test]
fn a_stale_reading_does_not_remove_a_row_that_is_later_than_all_of_its_rows() {
    let mut mirror = TableMirror::default();
    let rows = vec![change("a", Some("x"), 3)];
    assert!(mirror.replace(rows.clone(), 10).is_some());
    mirror.apply(vec![change("b", Some("x"), 12)], 10, 12);
    let reading = TableReading::new(rows, 15);
    assert_eq!(mirror.merge_reading(reading, ReadPurpose::Check), Vec::new());
    assert_eq!(keys(&mirror), ["a", "b"]);
}

#[test]
fn changes_after_a_gap_do_not_count_as_complete() {
    let mut mirror = TableMirror::default();
    assert!(mirror.replace(vec![change("a", Some("x"), 3)], 10).is_some());
    mirror.apply(vec![change("b", Some("x"), 20)], 15, 20);
    assert_eq!(keys(&mirror), ["a", "b"]);
    assert_eq!((mirror.covered_revision(), mirror.content_revision()), (10, 10));
}

#[test]
fn the_number_of_remembered_removals_is_bounded() {
    let mut mirror = TableMirror::default();
    for number in 1..5_000 {
        mirror.apply(vec![change(&format!("t{number}"), None, number)], number - 1, number);
    }
    assert!(format!("{mirror:?}").len() < 60_000);
    assert!(mirror.apply(vec![change("t4999", Some("x"), 4_998)], 0, 4_999).is_empty());
}
