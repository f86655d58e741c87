//! Which backend server gets a request.

use std::time::Duration;

use rand::Rng;
use tables::Name;

use crate::config::Engine;
use crate::member::Member;

/// Weight of a server's failure rate against its load, in requests.
const FAILURE_PENALTY: f64 = 12.0;

/// What a server in another availability zone costs, in requests.
const ZONE_PENALTY: f64 = 0.02;

/// Random part that keeps entries from choosing alike, in requests.
const JITTER: f64 = 0.4;

/// Requests that may wait at a model engine beyond its slots before it counts
/// as full, as a share of the slots.
const ENGINE_QUEUE_SHARE: f64 = 0.5;

/// Requests that may wait at a plain service, as a multiple of its slots.
const SERVICE_QUEUE_SHARE: f64 = 2.0;

/// What the choice is about.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Availability zone of the entry.
    pub zone: &'a str,
    /// What work costs, for model engines.
    pub engine: Option<&'a Engine>,
    /// Share of the usual limit of open requests that the pool takes.
    pub share: f64,
}

/// Whether a member takes no further request for the moment.
pub fn is_full(now: Duration, member: &Member, need: Need<'_>) -> bool {
    let slots = f64::from(member.server.slots);
    let share = if need.engine.is_some() { ENGINE_QUEUE_SHARE } else { SERVICE_QUEUE_SHARE };
    f64::from(member.work(now).open) >= slots * (1.0 + share) * need.share
}

/// The member that a request burdens least, from those offered.
pub fn least<'a>(
    now: Duration,
    offered: impl Iterator<Item = (&'a Name, &'a Member)>,
    need: Need<'_>,
    rng: &mut impl Rng,
) -> Option<Name> {
    let scored = offered
        .map(|(name, member)| (burden(now, member, need) + rng.random::<f64>() * JITTER, name));
    scored.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, name)| name.clone())
}

/// The load of a member in requests, prompts that wait to be read included.
fn burden(now: Duration, member: &Member, need: Need<'_>) -> f64 {
    let work = member.work(now);
    let mut burden = f64::from(work.open);
    if let Some(engine) = need.engine.filter(|engine| engine.read_rate > 0.0) {
        let reading = f64::from(work.tokens) / engine.read_rate;
        let request = engine.step_per_request.as_secs_f64() * f64::from(engine.stride.max(1));
        if request > 0.0 {
            burden += reading / request;
        }
    }
    let away = member.server.zone.as_str() != need.zone;
    burden + member.failure_rate() * FAILURE_PENALTY + f64::from(u8::from(away)) * ZONE_PENALTY
}
