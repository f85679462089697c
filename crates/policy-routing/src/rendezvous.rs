//! Rendezvous hashing (Thaler and Ravishankar, 1998).

use xxhash_rust::xxh3;

/// Hashes the text that defines a request's affinity, or the name of a target.
pub fn stable_hash(text: &[u8]) -> u64 {
    xxh3::xxh3_64(text)
}

/// Returns the weighted rendezvous score of a target for an affinity; the highest score is
/// preferred.
pub fn rendezvous_score(affinity: u64, target_hash: u64, weight: u32) -> f64 {
    -f64::from(weight) / pair_unit_hash(affinity, target_hash).max(f64::MIN_POSITIVE).ln()
}

/// Maps a pair of an affinity and a target to a fixed number from 0 to 1, below 1, uniform over pairs.
pub(crate) fn pair_unit_hash(affinity: u64, target_hash: u64) -> f64 {
    to_unit_interval(xxh3::xxh3_64_with_seed(&target_hash.to_le_bytes(), affinity))
}

/// Maps an affinity to a fixed number from 0 to 1, uniform over affinities.
pub fn unit_hash(affinity: u64) -> f64 {
    to_unit_interval(xxh3::xxh3_64(&affinity.to_le_bytes()))
}

fn to_unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
