//! Simple ways of choosing a backend server, to measure [`crate::choice`] by.

use rand::Rng;

use crate::choice::Candidate;

/// Any candidate, at random.
pub fn random(rng: &mut impl Rng, candidates: &[Candidate]) -> Option<usize> {
    let open = open(candidates);
    if open.is_empty() {
        return None;
    }
    Some(open[rng.random_range(0..open.len())])
}

/// Each candidate in turn; `turn` counts the calls.
pub fn round_robin(turn: &mut usize, candidates: &[Candidate]) -> Option<usize> {
    let open = open(candidates);
    if open.is_empty() {
        return None;
    }
    *turn = turn.wrapping_add(1);
    Some(open[*turn % open.len()])
}

/// The candidate with the fewest own requests in flight.
pub fn least_in_flight(candidates: &[Candidate]) -> Option<usize> {
    open(candidates).into_iter().min_by_key(|i| candidates[*i].in_flight)
}

/// The one with fewer own requests in flight of two random candidates.
///
/// ```
/// use rand::SeedableRng;
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// assert_eq!(routing::baseline::two_choices(&mut rng, &[]), None);
/// ```
pub fn two_choices(rng: &mut impl Rng, candidates: &[Candidate]) -> Option<usize> {
    let open = open(candidates);
    if open.is_empty() {
        return None;
    }
    let count = open.len().min(2);
    let pair = rand::seq::index::sample(rng, open.len(), count);
    pair.iter().map(|i| open[i]).min_by_key(|i| candidates[*i].in_flight)
}

fn open(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).filter(|i| candidates[*i].spare).collect()
}
