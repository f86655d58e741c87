//! Selects a stable subset of a pool's members for each entry.
//!
//! Uses rendezvous (highest random weight) hashing, so that a member that joins
//! or leaves changes at most one element of any subset: Thaler and Ravishankar,
//! "Using name-based mappings to increase hit rates" (1998).

use tables::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Selects `size` members for the entry named `seed`, by descending weight; all
/// of them if there are fewer.
///
/// ```
/// let members: Vec<tables::Name> = (0..9).map(|i| format!("s{i}").into()).collect();
/// let subset = routing::subset::pick("e1", &members, 3);
/// assert_eq!(subset.len(), 3);
/// assert_eq!(subset, routing::subset::pick("e1", &members, 3));
/// ```
pub fn pick(seed: &str, members: &[Name], size: usize) -> Vec<Name> {
    let seed = xxh3_64_with_seed(seed.as_bytes(), 0);
    let mut weighted: Vec<(u64, &Name)> =
        members.iter().map(|member| (xxh3_64_with_seed(member.as_bytes(), seed), member)).collect();
    let size = size.min(weighted.len());
    if size < weighted.len() {
        weighted.select_nth_unstable_by(size, |a, b| b.cmp(a));
        weighted.truncate(size);
    }
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, member)| member.clone()).collect()
}
