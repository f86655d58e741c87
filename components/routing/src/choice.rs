//! Selects the backend server for a request: the best of a few random ones.
//!
//! With stale load reports, sampling a few random candidates beats selecting
//! the least loaded of all, because entries don't herd to the same server:
//! Mitzenmacher, "The power of two choices in randomized load balancing" (2001).

use std::time::Duration;

use rand::Rng;
use tables::Name;

use crate::report::View;

/// Number of random candidates that are scored.
pub const SAMPLE_SIZE: usize = 2;
/// Time to compute one prompt token.
pub const PREFILL_TIME_PER_TOKEN: Duration = Duration::from_micros(50);
/// Time that each running request adds to the first-token latency of another.
pub const RUNNING_REQUEST_COST: Duration = Duration::from_millis(2);
/// Queueing delay that each request above the concurrency limit adds.
pub const QUEUED_REQUEST_COST: Duration = Duration::from_millis(130);
/// Cost of a backend server in another availability zone.
pub const CROSS_ZONE_COST: Duration = Duration::from_millis(1);
/// Requests in flight from this entry that a cold backend server may always have.
pub const COLD_IN_FLIGHT_MIN: u32 = 1;
/// Requests in flight from this entry by which the candidate with the longest
/// cached prefix may exceed the mean of the sample before requests spill over.
pub const SPILL_MARGIN: u32 = 4;

/// A backend server that a request may be sent to.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The backend server.
    pub server: Name,
    /// Whether it is in the entry's availability zone.
    pub same_zone: bool,
    /// Whether neither it nor its zone is taken out of service.
    pub in_service: bool,
    /// Its last reported load.
    pub view: View,
    /// Requests in flight from this entry.
    pub in_flight: u32,
    /// Estimated share of the prompt in its prefix cache, 0 to 1.
    pub cached: f64,
}

/// Returns the index of the candidate for a request of `prompt_tokens` tokens;
/// `None` if no candidate is eligible.
///
/// ```
/// use rand::SeedableRng;
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// assert_eq!(routing::choice::choose(&mut rng, &[], 100), None);
/// ```
pub fn choose(rng: &mut impl Rng, candidates: &[Candidate], prompt_tokens: u32) -> Option<usize> {
    let eligible: Vec<usize> =
        (0..candidates.len()).filter(|i| is_eligible(&candidates[*i])).collect();
    if eligible.is_empty() {
        return None;
    }
    let sample = sample(rng, candidates, &eligible);
    let best = cheapest(candidates, sample.iter().copied(), prompt_tokens)?;
    if !is_saturated(&candidates[best]) {
        return Some(best);
    }
    // Samples again instead of taking the cheapest of all: entries with the same
    // stale reports would herd.
    let unsaturated: Vec<usize> =
        eligible.into_iter().filter(|i| !is_saturated(&candidates[*i])).collect();
    let spill = random_sample(rng, &unsaturated);
    cheapest(candidates, spill.into_iter(), prompt_tokens).or(Some(best))
}

/// Expected time to first token of a request of `prompt_tokens` tokens plus the
/// cost of crossing zones, in seconds.
pub fn score(candidate: &Candidate, prompt_tokens: u32) -> f64 {
    let zone = if candidate.same_zone { 0.0 } else { CROSS_ZONE_COST.as_secs_f64() };
    let uncached = f64::from(prompt_tokens) * (1.0 - candidate.cached.clamp(0.0, 1.0));
    let own_in_flight = f64::from(candidate.in_flight);
    let report = candidate.view.report.unwrap_or_default();
    let confidence = candidate.view.confidence;
    let running = f64::from(report.running).max(own_in_flight) * confidence
        + own_in_flight * (1.0 - confidence);
    let over_limit = f64::from((report.running + report.queued).saturating_sub(report.limit));
    let tokens = f64::from(report.prefill) * confidence + uncached;
    zone + tokens * PREFILL_TIME_PER_TOKEN.as_secs_f64()
        + running * RUNNING_REQUEST_COST.as_secs_f64()
        + over_limit * confidence * QUEUED_REQUEST_COST.as_secs_f64()
}

fn sample(rng: &mut impl Rng, candidates: &[Candidate], eligible: &[usize]) -> Vec<usize> {
    let mut sample = random_sample(rng, eligible);
    let best_cached = eligible
        .iter()
        .copied()
        .filter(|i| candidates[*i].cached > 0.0)
        .max_by(|a, b| candidates[*a].cached.total_cmp(&candidates[*b].cached));
    if let Some(best_cached) = best_cached
        && !sample.contains(&best_cached)
        && !exceeds_spill_margin(candidates, best_cached, &sample)
    {
        sample.push(best_cached);
    }
    sample
}

/// Samples [`SAMPLE_SIZE`] of the indices, or returns all if there are fewer.
fn random_sample(rng: &mut impl Rng, among: &[usize]) -> Vec<usize> {
    let count = SAMPLE_SIZE.min(among.len());
    rand::seq::index::sample(rng, among.len(), count).iter().map(|i| among[i]).collect()
}

fn cheapest(
    candidates: &[Candidate],
    among: impl Iterator<Item = usize>,
    prompt_tokens: u32,
) -> Option<usize> {
    among
        .map(|i| (score(&candidates[i], prompt_tokens), i))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, i)| i)
}

fn is_eligible(candidate: &Candidate) -> bool {
    candidate.in_service && !candidate.view.report.is_some_and(|report| report.leaving)
}

/// Whether the backend server is saturated, by its last report or, without one,
/// by the requests in flight from this entry.
fn is_saturated(candidate: &Candidate) -> bool {
    let Some(report) = candidate.view.report else {
        return candidate.in_flight > COLD_IN_FLIGHT_MIN;
    };
    if report.cold && candidate.in_flight >= COLD_IN_FLIGHT_MIN.max(report.limit / 2) {
        return true;
    }
    // A short queue may have drained since the report; a long one has not.
    report.queued >= report.limit.max(1)
}

fn exceeds_spill_margin(candidates: &[Candidate], best_cached: usize, sample: &[usize]) -> bool {
    let total: u32 = sample.iter().map(|i| candidates[*i].in_flight).sum();
    let mean = total / sample.len().max(1) as u32;
    candidates[best_cached].in_flight > mean + SPILL_MARGIN
}
