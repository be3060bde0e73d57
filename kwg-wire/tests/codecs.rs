//! Properties of the codecs: input may be split anywhere, and truncation, bit flips and arbitrary
//! bytes give an error or nothing, but never a panic.

use kwg_flow::{AnswerEvent, ControlMessage, TrafficMessage};
use kwg_gate::{AccountLabel, AccountUsage, DigestDelta, GateDigest};
use kwg_model::{
    AccountName, ByteChunk, ClaimId, DispatchTicket, HomeAddress, InstanceName, MonoTime, TicketKey,
};
use kwg_wire::{
    FrameCodec, FrameReader, GateMessage, PeerBody, PeerFrame, SseEvent, SseKind, SseParser,
};
use quickcheck::quickcheck;

fn home(shard: u16) -> HomeAddress {
    HomeAddress { instance: InstanceName::new("r1").expect("valid"), incarnation: 3, shard }
}

fn frames(sequence: u64, bytes: &[u8]) -> Vec<PeerFrame> {
    let key = TicketKey { home: home(0), sequence };
    let account = AccountName::new("bank").expect("valid");
    let ticket = DispatchTicket { key: key.clone(), account, minted_at: MonoTime::ZERO };
    let claim_id = ClaimId { claimer: home(1), attempt: sequence };
    let event = AnswerEvent::Part { offset: sequence, chunk: ByteChunk::from(bytes) };
    let messages =
        [TrafficMessage::Claim { ticket, claim_id }, TrafficMessage::Answer { key, event }];
    let traffic = messages.map(|message| PeerBody::Traffic { from: home(0), to: home(1), message });
    let bodies = traffic.into_iter().chain([PeerBody::Control(ControlMessage::TablePull)]);
    bodies.map(|body| PeerFrame { stamp: sequence, body }).collect()
}

fn encode(frames: &[PeerFrame]) -> Vec<u8> {
    frames.iter().flat_map(|frame| FrameCodec::encode(frame).expect("short frames")).collect()
}

quickcheck! {
    fn frames_decode_with_any_split(sequence: u64, bytes: Vec<u8>, sizes: Vec<u8>) -> bool {
        let sent = frames(sequence, &bytes);
        let (stream, mut reader, mut parsed) = (encode(&sent), FrameReader::default(), Vec::new());
        let mut rest = stream.as_slice();
        let mut sizes = sizes.into_iter();
        while !rest.is_empty() {
            let length = sizes.next().map_or(rest.len(), |size| usize::from(size).min(rest.len()));
            reader.push(&rest[..length]);
            rest = &rest[length..];
            while let Some(frame) = reader.next_frame().expect("valid frames") {
                parsed.push(frame);
            }
        }
        parsed == sent
    }

    fn a_truncated_frame_is_not_returned(sequence: u64, bytes: Vec<u8>, length: usize) -> bool {
        let stream = encode(&frames(sequence, &bytes)[..1]);
        let mut reader = FrameReader::default();
        reader.push(&stream[..length % stream.len()]);
        matches!(reader.next_frame(), Ok(None))
    }

    fn flipped_bits_do_not_panic(sequence: u64, bytes: Vec<u8>, flips: Vec<(usize, u8)>) -> bool {
        let mut stream = encode(&frames(sequence, &bytes));
        for (index, bit) in flips {
            let index = index % stream.len();
            stream[index] ^= 1 << (bit % 8);
        }
        let mut reader = FrameReader::default();
        reader.push(&stream);
        while let Ok(Some(_)) = reader.next_frame() {}
        true
    }

    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) -> bool {
        let mut reader = FrameReader::default();
        reader.push(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
        let mut parser = SseParser::default();
        parser.push(&bytes);
        while let Ok(Some(_)) = parser.next_event() {}
        true
    }

    fn events_decode_with_any_split(parts: Vec<Vec<u8>>, split: usize) -> bool {
        let (mut sent, mut stream, mut offset) = (Vec::new(), Vec::new(), 0);
        for part in parts.iter().filter(|part| !part.is_empty()) {
            offset += part.len() as u64;
            sent.push(SseEvent { offset, kind: SseKind::Part(ByteChunk::from(part.as_slice())) });
        }
        sent.push(SseEvent { offset, kind: SseKind::End });
        sent.iter().for_each(|event| event.encode(&mut stream));
        let (mut parser, mut parsed) = (SseParser::default(), Vec::new());
        let (head, tail) = stream.split_at(split % stream.len());
        for bytes in [head, tail] {
            parser.push(bytes);
            while let Some(event) = parser.next_event().expect("valid events") {
                parsed.push(event);
            }
        }
        parsed == sent
    }
}

#[test]
fn a_length_over_the_limit_is_an_error_before_the_frame_arrives() {
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_le_bytes());
    assert!(reader.next_frame().is_err());
}

/// A frame with a digest from this domain that names this account.
fn digest(domain: &str, account: &str) -> PeerFrame {
    let accounts = vec![AccountUsage { label: AccountLabel::new(account), used: 1 }];
    let changes = GateDigest { accounts, ..GateDigest::default() };
    let delta = Box::new(DigestDelta { changes, ..DigestDelta::default() });
    let address = "127.0.0.1:9".parse().expect("an address");
    let message = GateMessage::Digest { address, domain: domain.to_owned(), delta };
    PeerFrame { stamp: 1, body: PeerBody::Gate(message) }
}

/// Guards against a peer's name that ends a head or a log line here.
#[test]
fn names_that_cannot_be_used_are_neither_sent_nor_received() {
    let sound = FrameCodec::encode(&digest("domain", "account")).expect("sound");
    assert!(FrameCodec::decode(&sound[4..]).is_ok());
    assert!(FrameCodec::encode(&digest("domai\n", "account")).is_err());
    for name in ["domain", "account"] {
        let mut bytes = sound[4..].to_vec();
        let at = bytes.windows(name.len()).position(|part| part == name.as_bytes()).expect("there");
        bytes[at + name.len() - 1] = b'\n';
        assert!(FrameCodec::decode(&bytes).is_err(), "{name}");
    }
}
