//! Hashing and pseudo-random numbers.

/// Returns a hash of a number (splitmix64).
pub(crate) fn hash(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Maps a number to a fraction, from 0 up to but not including 1.
pub(crate) fn to_fraction(value: u64) -> f64 {
    (value >> 11) as f64 / (1u64 << 53) as f64
}

/// A seeded generator of pseudo-random numbers (xorshift). From the seed 0, all numbers are 0.
#[derive(Default)]
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// Returns the next number, in 0..1.
    pub(crate) fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        to_fraction(self.0)
    }
}
