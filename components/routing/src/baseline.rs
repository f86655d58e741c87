//! Baseline load-balancing policies that [`crate::choice`] is compared with.

use rand::Rng;

use crate::choice::Candidate;

/// Selects an eligible candidate uniformly at random.
pub fn random(rng: &mut impl Rng, candidates: &[Candidate]) -> Option<usize> {
    let eligible = eligible(candidates);
    if eligible.is_empty() {
        return None;
    }
    Some(eligible[rng.random_range(0..eligible.len())])
}

/// Cycles through the eligible candidates; `turn` counts the calls.
pub fn round_robin(turn: &mut usize, candidates: &[Candidate]) -> Option<usize> {
    let eligible = eligible(candidates);
    if eligible.is_empty() {
        return None;
    }
    *turn = turn.wrapping_add(1);
    Some(eligible[*turn % eligible.len()])
}

/// Selects the candidate with the fewest requests in flight from this entry.
pub fn least_in_flight(candidates: &[Candidate]) -> Option<usize> {
    eligible(candidates).into_iter().min_by_key(|i| candidates[*i].in_flight)
}

/// Samples two candidates and selects the one with fewer requests in flight
/// from this entry.
///
/// ```
/// use rand::SeedableRng;
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// assert_eq!(routing::baseline::two_choices(&mut rng, &[]), None);
/// ```
pub fn two_choices(rng: &mut impl Rng, candidates: &[Candidate]) -> Option<usize> {
    let eligible = eligible(candidates);
    if eligible.is_empty() {
        return None;
    }
    let count = eligible.len().min(2);
    let pair = rand::seq::index::sample(rng, eligible.len(), count);
    pair.iter().map(|i| eligible[i]).min_by_key(|i| candidates[*i].in_flight)
}

fn eligible(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).filter(|i| candidates[*i].in_service).collect()
}
