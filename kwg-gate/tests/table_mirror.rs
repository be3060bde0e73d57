//! Guards against a table mirror going back to an earlier state, when a copy or a change arrives
//! late.

use kwg_gate::{StoreRow, TableMirror};

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
    mirror.apply(vec![change("b", Some("x"), 12)], 12);
    assert!(mirror.replace(a(), 11).is_none(), "it lacks b");
    assert_eq!(keys(&mirror), ["a", "b"]);
    let b = vec![change("b", Some("y"), 12)];
    assert!(mirror.replace(b, 14).is_some(), "a has been removed since");
    assert_eq!(keys(&mirror), ["b"]);
}

#[test]
fn a_known_change_is_ignored() {
    let mut mirror = TableMirror::default();
    assert_eq!(mirror.apply(vec![change("a", Some("x"), 5)], 5).len(), 1);
    assert_eq!(mirror.apply(vec![change("a", None, 6)], 9).len(), 1);
    assert!(mirror.apply(vec![change("a", Some("x"), 5)], 5).is_empty(), "late and known");
    assert!(keys(&mirror).is_empty());
    assert_eq!((mirror.content_revision(), mirror.revision()), (6, 9));
}

#[test]
fn changes_of_other_tables_leave_the_content_revision() {
    let mut mirror = TableMirror::default();
    mirror.apply(vec![change("a", Some("x"), 5)], 5);
    mirror.apply(Vec::new(), 90);
    assert_eq!((mirror.content_revision(), mirror.revision()), (5, 90));
}
