use serde::{Deserialize, Serialize};

use crate::{EndKey, EndRecord, PromptPart, SuspectKey, TargetRun};

const IS_PART: u8 = 1;
const IS_VOID: u8 = 1 << 1;
const WAS_ANSWERED: u8 = 1 << 2;
const IS_CROWDED: u8 = 1 << 3;
const IS_PROVED: u8 = 1 << 4;
const HAS_BEGUN: u8 = 1 << 5;

/// An [`EndRecord`] as it is sent: what it says of the end in the bits of one byte.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct PackedEnd {
    flags: u8,
    code: u64,
    run: TargetRun,
    ordinal: u8,
    held_ms: u32,
    age_ms: u32,
}

impl From<EndRecord> for PackedEnd {
    fn from(record: EndRecord) -> Self {
        let EndKey { suspect, run, ordinal } = record.key;
        let (kind, code) = match suspect {
            SuspectKey::Content(fingerprint) => (0, fingerprint),
            SuspectKey::Part(part) => (IS_PART, part.code()),
        };
        let flag = |is_set: bool, flag: u8| if is_set { flag } else { 0 };
        let flags = kind
            | flag(record.is_void, IS_VOID)
            | flag(record.was_answered, WAS_ANSWERED)
            | flag(record.is_crowded, IS_CROWDED)
            | flag(record.is_proved, IS_PROVED)
            | flag(record.has_begun, HAS_BEGUN);
        let EndRecord { held_ms, age_ms, .. } = record;
        Self { flags, code, run, ordinal, held_ms, age_ms }
    }
}

impl From<PackedEnd> for EndRecord {
    fn from(packed: PackedEnd) -> Self {
        let PackedEnd { flags, code, run, ordinal, held_ms, age_ms } = packed;
        let has = |flag: u8| flags & flag != 0;
        let suspect = match has(IS_PART) {
            true => SuspectKey::Part(PromptPart::from_code(code)),
            false => SuspectKey::Content(code),
        };
        Self {
            key: EndKey { suspect, run, ordinal },
            is_void: has(IS_VOID),
            was_answered: has(WAS_ANSWERED),
            is_crowded: has(IS_CROWDED),
            is_proved: has(IS_PROVED),
            has_begun: has(HAS_BEGUN),
            held_ms,
            age_ms,
        }
    }
}
