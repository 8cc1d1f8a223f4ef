//! Hash collections with a fast, seeded hasher.

/// Hash map with the workspace's hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with the workspace's hasher.
pub type HashSet<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;

/// Hashes `value` to the same result on every host and in every run.
///
/// Use it where several nodes must agree, for example for rendezvous hashing. It is not meant to
/// resist an adversary who chooses the input.
pub fn stable_hash(seed: u64, value: &[u8]) -> u64 {
    use std::hash::{BuildHasher, Hasher};

    let mut hasher = foldhash::quality::FixedState::with_seed(seed).build_hasher();
    hasher.write(value);
    hasher.finish()
}
