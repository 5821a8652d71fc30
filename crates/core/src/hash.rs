//! Hash functions whose results are the same in each process and version.

use xxhash_rust::xxh3::{xxh3_128, xxh3_64, xxh3_64_with_seed};

/// Returns the 64-bit xxh3 hash of `bytes`.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the 128-bit xxh3 hash of `bytes`.
pub fn hash128(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the weight of `candidate` for `key` in rendezvous hashing: the caller chooses the
/// candidate with the highest weight. Adding or removing a candidate moves only its own keys.
pub fn rendezvous(key: &[u8], candidate: &[u8]) -> u64 {
    xxh3_64_with_seed(candidate, xxh3_64(key))
}
