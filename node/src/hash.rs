//! FNV-1a with 64 bits (Fowler, Noll, Vo), for names that all gateways must hash alike.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The hash of some bytes.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| fnv1a_step(hash, *byte))
}

/// The hash of the same bytes and one more.
pub fn fnv1a_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(PRIME)
}
