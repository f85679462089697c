//! Rendezvous hashing (Thaler and Ravishankar, 1998).

use xxhash_rust::xxh3;

/// Hash of the text that a request's affinity follows, or of a target's name.
pub fn affinity_hash(text: &[u8]) -> u64 {
    xxh3::xxh3_64(text)
}

/// Score of a target for an affinity; the target with the highest score is preferred.
pub fn rendezvous_score(affinity: u64, target_hash: u64, weight: u32) -> f64 {
    let mixed = xxh3::xxh3_64_with_seed(&target_hash.to_le_bytes(), affinity);
    -f64::from(weight) / to_unit(mixed).max(f64::MIN_POSITIVE).ln()
}

/// A number from 0 to 1 that is fixed for an affinity.
pub fn unit_hash(affinity: u64) -> f64 {
    to_unit(xxh3::xxh3_64(&affinity.to_le_bytes()))
}

fn to_unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
