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
pub const SAMPLE: usize = 2;
/// Time to compute one prompt token.
pub const PREFILL_TOKEN: Duration = Duration::from_micros(50);
/// Time that each running request adds to the first-token latency of another.
pub const RUNNING_COST: Duration = Duration::from_millis(2);
/// Queueing delay that each request above the concurrency limit adds.
pub const QUEUED_COST: Duration = Duration::from_millis(130);
/// Cost of a backend server in another availability zone.
pub const ZONE_COST: Duration = Duration::from_millis(1);
/// Requests in flight from this entry that a cold backend server may always have.
pub const COLD_IN_FLIGHT: u32 = 1;
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
    pub spare: bool,
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
    // Samples again instead of taking the cheapest of all: entries with the same
    // stale reports would herd.
    let free: Vec<usize> = open.into_iter().filter(|i| !is_full(&candidates[*i])).collect();
    let spill = random(rng, &free);
    cheapest(candidates, spill.into_iter(), prompt).or(Some(best))
}

/// Expected time to first token of a request of `prompt_tokens` tokens plus the
/// cost of crossing zones, in seconds.
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

/// Samples [`SAMPLE`] of the indices, or returns all if there are fewer.
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

/// Whether the backend server is saturated, by its last report or, without one,
/// by the requests in flight from this entry.
fn is_full(candidate: &Candidate) -> bool {
    let Some(report) = candidate.view.report else {
        return candidate.in_flight > COLD_IN_FLIGHT;
    };
    if report.cold && candidate.in_flight >= COLD_IN_FLIGHT.max(report.limit / 2) {
        return true;
    }
    // A short queue may have drained since the report; a long one has not.
    report.queued >= report.limit.max(1)
}

fn is_crowded(candidates: &[Candidate], favourite: usize, sample: &[usize]) -> bool {
    let total: u32 = sample.iter().map(|i| candidates[*i].in_flight).sum();
    let mean = total / sample.len().max(1) as u32;
    candidates[favourite].in_flight > mean + SPILL_MARGIN
}
