//! How many bytes a peer sends to an instance that lags by one change.

use kwg_wire::{FrameCodec, GateMessage, PeerBody, PeerFrame, SharedTable};

/// Bytes that the reply to a lag of one change may take, whatever the size of the table.
const MOST_BYTES: usize = 400;

fn entry(number: u64) -> (String, u64, Vec<u8>) {
    let key = format!("i-{number:010x}");
    let value = format!(
        r#"{{"service":"nyye54b","address":"10.3.64.{}:8707","zone":"west-salzburg","version":1,"slots":12,"state":"ready","coldLeftMs":0,"seqNo":2,"born":17727{number:08},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#,
        number % 250
    );
    (key, 1_000 + number, value.into_bytes())
}

fn length(message: GateMessage) -> usize {
    let frame = PeerFrame { stamp: 1, body: PeerBody::Gate(message) };
    FrameCodec::encode(&frame).expect("a short frame").len()
}

#[test]
fn one_change_costs_the_same_at_every_size() {
    let table = SharedTable::Targets;
    for targets in [12, 66, 215] {
        let rows = (0..targets).map(entry).collect();
        let whole = length(GateMessage::Copy { table, revision: 2_000, rows });
        let (key, revision, value) = entry(5);
        let rows = vec![(key, revision, Some(value))];
        let change = length(GateMessage::Changes { table, base: 1_900, revision: 2_000, rows });
        let pull = length(GateMessage::Pull { table, known: 1_900 });
        println!("{targets} targets: a copy {whole} bytes, a change {change}, a pull {pull}");
        assert!(change + pull <= MOST_BYTES, "{change} and {pull}");
    }
}
