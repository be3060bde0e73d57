//! Idempotency keys on the stand-in platform: concurrent batches, lost replies, outages and
//! expired rows.

mod support;

use std::collections::BTreeMap;

use kwg_model::{AccountName, DispatchTicket, HomeAddress, InstanceName, MonoTime, TicketKey};
use support::with_platform;

fn ticket(sequence: u64) -> DispatchTicket {
    let instance = InstanceName::new("r1").expect("valid");
    let home = HomeAddress { instance, incarnation: 1, shard: 0 };
    let account = AccountName::new("bank").expect("valid");
    DispatchTicket { key: TicketKey { home, sequence }, account, minted_at: MonoTime::ZERO }
}

fn batch(rows: &[(&str, u64)]) -> BTreeMap<String, DispatchTicket> {
    rows.iter().map(|(key, sequence)| ((*key).to_owned(), ticket(*sequence))).collect()
}

#[test]
fn the_first_ticket_of_a_key_is_returned_to_every_later_request() {
    with_platform(async |platform| {
        let keys = &platform.keys;
        let first = keys.bind(&batch(&[("a", 1), ("b", 2)]), 100).await.expect("up");
        assert_eq!(first, batch(&[("a", 1), ("b", 2)]));
        let second = keys.bind(&batch(&[("b", 3), ("c", 4)]), 100).await.expect("up");
        assert_eq!(second, batch(&[("b", 2), ("c", 4)]));
    });
}

#[test]
fn concurrent_batches_get_the_same_tickets() {
    with_platform(async |platform| {
        let (one, two) = (batch(&[("a", 1), ("b", 2)]), batch(&[("b", 3), ("a", 4)]));
        let (keys, others) = (platform.keys.clone(), platform.keys.clone());
        let (one, two) =
            futures_lite::future::zip(keys.bind(&one, 100), others.bind(&two, 100)).await;
        assert_eq!(one.expect("up"), two.expect("up"));
    });
}

#[test]
fn a_binding_whose_reply_is_lost_is_found_by_reading() {
    with_platform(async |platform| {
        platform.fault("lose_answers=1").await;
        let bound = platform.keys.bind(&batch(&[("a", 1)]), 100).await.expect("settled");
        assert_eq!(bound, batch(&[("a", 1)]));
    });
}

#[test]
fn binding_during_an_outage_is_an_error() {
    with_platform(async |platform| {
        platform.fault("down=1").await;
        assert!(platform.keys.bind(&batch(&[("a", 1)]), 100).await.is_err());
    });
}

#[test]
fn a_sweep_removes_only_expired_rows() {
    with_platform(async |platform| {
        let keys = &platform.keys;
        keys.bind(&batch(&[("old", 1)]), 100).await.expect("up");
        keys.bind(&batch(&[("young", 2)]), 300).await.expect("up");
        assert_eq!(keys.sweep(200).await.expect("up"), 1);
        let bound = keys.bind(&batch(&[("old", 7), ("young", 8)]), 400).await.expect("up");
        assert_eq!(bound, batch(&[("old", 7), ("young", 2)]));
    });
}
