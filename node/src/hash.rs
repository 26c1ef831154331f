//! The 64-bit FNV-1a hash (Fowler, Noll, Vo), for names that all gateways must hash to the same value.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the hash of a byte string.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| fnv1a_step(hash, *byte))
}

/// Extends a hash by one byte.
pub fn fnv1a_step(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(PRIME)
}
