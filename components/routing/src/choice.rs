//! Which backend server takes a request: the best of a few random ones.
//!
//! Mitzenmacher, "The power of two choices in randomized load balancing"
//! (2001), shows why a few random candidates beat the least loaded of all when
//! what is known of the load is old: entries don't herd.

use std::time::Duration;

use rand::Rng;
use tables::Name;

use crate::report::View;

/// Number of random candidates that are compared.
pub const SAMPLE: usize = 2;
/// Time to compute one prompt token.
pub const PREFILL_TOKEN: Duration = Duration::from_micros(50);
/// Time that one running request adds to the first token of another.
pub const RUNNING_COST: Duration = Duration::from_millis(2);
/// Wait that one request beyond the limit adds.
pub const QUEUED_COST: Duration = Duration::from_millis(130);
/// Cost of leaving the own availability zone.
pub const ZONE_COST: Duration = Duration::from_millis(1);
/// Requests in flight from this entry that a cold backend server may have.
pub const COLD_IN_FLIGHT: u32 = 1;
/// Own requests in flight by which a favourite may exceed the mean of the
/// sample before its requests spill to others.
pub const SPILL_MARGIN: u32 = 4;

/// A backend server that could take a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The backend server.
    pub server: Name,
    /// Whether it stands in the entry's own availability zone.
    pub same_zone: bool,
    /// Whether it may be chosen at all: neither it nor its zone is out.
    pub spare: bool,
    /// What is known of its load.
    pub view: View,
    /// Requests in flight from this entry.
    pub in_flight: u32,
    /// Share of the prompt believed to be cached there, 0 to 1.
    pub cached: f64,
}

/// Chooses the index of the candidate for a request of `prompt` tokens; `None`
/// if no candidate may be chosen.
///
/// ```
/// use rand::SeedableRng;
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// assert_eq!(routing::choice::choose(&mut rng, &[], 100), None);
/// ```
pub fn choose(rng: &mut impl Rng, candidates: &[Candidate], prompt: u32) -> Option<usize> {
    let open: Vec<usize> = (0..candidates.len()).filter(|i| is_open(&candidates[*i])).collect();
    if open.is_empty() {
        return None;
    }
    let sample = sample(rng, candidates, &open);
    let best = cheapest(candidates, sample.iter().copied(), prompt)?;
    if !is_full(&candidates[best]) {
        return Some(best);
    }
    // Not the cheapest of all: entries with the same old reports would herd.
    let free: Vec<usize> = open.into_iter().filter(|i| !is_full(&candidates[*i])).collect();
    let spill = random(rng, &free);
    cheapest(candidates, spill.into_iter(), prompt).or(Some(best))
}

/// Expected time to the first token of a request of `prompt` tokens, in
/// seconds, plus the cost of leaving the zone.
pub fn score(candidate: &Candidate, prompt: u32) -> f64 {
    let zone = if candidate.same_zone { 0.0 } else { ZONE_COST.as_secs_f64() };
    let fresh = f64::from(prompt) * (1.0 - candidate.cached.clamp(0.0, 1.0));
    let own = f64::from(candidate.in_flight);
    let report = candidate.view.report.unwrap_or_default();
    let trust = candidate.view.trust;
    let running = f64::from(report.running).max(own) * trust + own * (1.0 - trust);
    let beyond = f64::from((report.running + report.queued).saturating_sub(report.limit));
    let tokens = f64::from(report.prefill) * trust + fresh;
    zone + tokens * PREFILL_TOKEN.as_secs_f64()
        + running * RUNNING_COST.as_secs_f64()
        + beyond * trust * QUEUED_COST.as_secs_f64()
}

fn sample(rng: &mut impl Rng, candidates: &[Candidate], open: &[usize]) -> Vec<usize> {
    let mut sample = random(rng, open);
    let favourite = open
        .iter()
        .copied()
        .filter(|i| candidates[*i].cached > 0.0)
        .max_by(|a, b| candidates[*a].cached.total_cmp(&candidates[*b].cached));
    if let Some(favourite) = favourite
        && !sample.contains(&favourite)
        && !is_crowded(candidates, favourite, &sample)
    {
        sample.push(favourite);
    }
    sample
}

/// [`SAMPLE`] of the indices at random, or all if there are fewer.
fn random(rng: &mut impl Rng, among: &[usize]) -> Vec<usize> {
    let count = SAMPLE.min(among.len());
    rand::seq::index::sample(rng, among.len(), count).iter().map(|i| among[i]).collect()
}

fn cheapest(
    candidates: &[Candidate],
    among: impl Iterator<Item = usize>,
    prompt: u32,
) -> Option<usize> {
    among
        .map(|i| (score(&candidates[i], prompt), i))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, i)| i)
}

fn is_open(candidate: &Candidate) -> bool {
    candidate.spare && !candidate.view.report.is_some_and(|report| report.leaving)
}

/// Whether the backend server has, by all that is known, no room.
fn is_full(candidate: &Candidate) -> bool {
    let Some(report) = candidate.view.report else {
        return candidate.in_flight > COLD_IN_FLIGHT;
    };
    if report.cold && candidate.in_flight >= COLD_IN_FLIGHT.max(report.limit / 2) {
        return true;
    }
    // A short queue may be gone by now; a long one is not.
    report.queued >= report.limit.max(1)
}

fn is_crowded(candidates: &[Candidate], favourite: usize, sample: &[usize]) -> bool {
    let total: u32 = sample.iter().map(|i| candidates[*i].in_flight).sum();
    let mean = total / sample.len().max(1) as u32;
    candidates[favourite].in_flight > mean + SPILL_MARGIN
}
