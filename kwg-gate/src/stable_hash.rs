/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash, which all instances and releases compute alike. It does not resist chosen input.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StableHash;

impl StableHash {
    /// The hash of some bytes.
    pub(crate) fn of(bytes: impl IntoIterator<Item = u8>) -> u64 {
        let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        bytes.into_iter().fold(FNV_OFFSET, step)
    }
}
