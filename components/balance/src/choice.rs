//! Selection of the backend server for a request.

use std::time::Duration;

use rand::Rng;
use tables::Name;

use crate::config::Engine;
use crate::member::Member;
use crate::zone;

/// Load added to a server at a failure rate of 1, in requests.
const FAILURE_PENALTY: f64 = 12.0;

/// Load added to a server in another availability zone, in requests.
const ZONE_PENALTY: f64 = 0.02;

/// Upper bound of the random load added so that entries don't all choose the
/// same server, in requests.
const JITTER: f64 = 0.4;

/// Queue length at which a model engine is full, as a share of its slots.
const ENGINE_QUEUE_SHARE: f64 = 0.5;

/// Queue length at which a plain service is full, as a multiple of its slots.
const SERVICE_QUEUE_SHARE: f64 = 2.0;

/// Inputs of a selection that are the same for all candidates.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// Cost model, for model engines.
    pub engine: Option<&'a Engine>,
    /// Fraction of the normal limit of open requests that the pool accepts.
    pub share: f64,
    /// Locality-aware routing, if it is enabled.
    pub locality: Option<Locality<'a>>,
}

/// Locality-aware routing of a selection.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'a> {
    /// The zone that the request prefers.
    pub preference: &'a zone::Preference,
    /// The zone state of the entry.
    pub register: &'a zone::Register,
}

/// Whether a member has reached its limit of open requests.
pub fn is_full(now: Duration, member: &Member, context: Context<'_>) -> bool {
    let slots = f64::from(member.server.slots);
    let share = if context.engine.is_some() { ENGINE_QUEUE_SHARE } else { SERVICE_QUEUE_SHARE };
    f64::from(member.work(now).open) >= slots * (1.0 + share) * context.share
}

/// Returns the least loaded of the candidates.
pub fn least_loaded<'a>(
    now: Duration,
    candidates: impl Iterator<Item = (&'a Name, &'a Member)>,
    context: Context<'_>,
    rng: &mut impl Rng,
) -> Option<Name> {
    let scored = candidates.map(|(name, member)| {
        (load(now, name, member, context) + rng.random::<f64>() * JITTER, name)
    });
    scored.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, name)| name.clone())
}

/// Load of a member in requests, including the prompts that wait for prefill.
fn load(now: Duration, name: &str, member: &Member, context: Context<'_>) -> f64 {
    let work = member.work(now);
    let mut load = f64::from(work.open);
    if let Some(engine) = context.engine.filter(|engine| engine.read_rate > 0.0) {
        let prefill_s = f64::from(work.tokens) / engine.read_rate;
        let request_s = engine.step_per_request.as_secs_f64() * f64::from(engine.stride.max(1));
        if request_s > 0.0 {
            load += prefill_s / request_s;
        }
    }
    let failures = member.failure_rate() * FAILURE_PENALTY;
    if let Some(Locality { preference, register }) = context.locality {
        let load = load + register.slow_start(now, name, &member.server);
        return preference.load(&member.server, load) + failures;
    }
    let other_zone = member.server.zone.as_str() != context.zone;
    load + failures + f64::from(u8::from(other_zone)) * ZONE_PENALTY
}
