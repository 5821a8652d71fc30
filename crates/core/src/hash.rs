//! Stable hashes that agree between processes.

use xxhash_rust::xxh3::{xxh3_128, xxh3_64, xxh3_64_with_seed};

/// Returns a hash of `bytes` that is the same in each process and version.
pub fn stable(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns a 128-bit hash of `bytes` that is the same in each process and version.
pub fn wide(bytes: &[u8]) -> u128 {
    xxh3_128(bytes)
}

/// Returns the rendezvous weight of `candidate` for `key`. The candidate with the highest weight
/// is chosen; adding or removing a candidate moves only the keys that it gains or loses.
pub fn rendezvous(key: &[u8], candidate: &[u8]) -> u64 {
    xxh3_64_with_seed(candidate, xxh3_64(key))
}
