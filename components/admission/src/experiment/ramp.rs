//! Simulates a limit for an engine that warms up and turns cold again without
//! reporting it.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::limit::Limit;

/// Number of requests that a warm engine can run at once.
pub const WARM_CAPACITY: f64 = 64.0;
/// Number of requests that a cold engine can run at once.
pub const COLD_CAPACITY: f64 = 4.0;
/// Time for which a cold engine stays at [`COLD_CAPACITY`].
const COLD_PHASE_S: f64 = 20.0;
/// Time of the linear warm-up that follows.
const WARM_UP_S: f64 = 30.0;
/// Time at which the engine turns cold again.
const SECOND_COLD_START_S: f64 = 150.0;
/// Simulated time of a run.
const RUN_S: f64 = 300.0;
const STEP_S: f64 = 0.01;
/// Multiple of its capacity above which an engine collapses.
const COLLAPSE_FACTOR: f64 = 1.5;
/// Downtime of an engine after a collapse.
const RESTART_S: f64 = 5.0;
/// First-token latency of an idle warm engine.
const FIRST_TOKEN_S: f64 = 0.08;
/// Latency of a cold engine as a multiple of a warm engine's.
const COLD_LATENCY_FACTOR: f64 = 3.0;
/// Share of the warm capacity that counts as full use.
const FULL_USE_SHARE: f64 = 0.75;
/// Mean time of an answer after its first token.
const MEAN_ANSWER_S: f64 = 4.0;

/// Source of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// [`Limit`] with its bound on requests that wait for a first token, updated
    /// at each first token.
    Adaptive,
    /// [`Limit`] without that bound.
    AdaptiveUnbounded,
    /// [`Limit`], updated only when an answer is complete.
    AdaptiveLate,
    /// A fixed limit at the warm capacity.
    Fixed,
    /// No limit.
    Unlimited,
}

/// Offered load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests per second.
    pub rate: f64,
    /// Time without arrivals before the engine turns cold again, in seconds.
    pub pause: f64,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ramp {
    /// Maximum load when a request was admitted: requests running as a multiple of
    /// the engine's capacity. Excludes the time directly after the second cold
    /// start.
    pub worst: f64,
    /// Requests admitted beyond the engine's capacity.
    pub excess: u32,
    /// Collapses of the engine.
    pub collapses: u32,
    /// Seconds from the first start until three quarters of the warm capacity were
    /// in use.
    pub full: Option<f64>,
    /// Seconds from the second cold start until they were in use again.
    pub full_again: Option<f64>,
    /// Requests answered.
    pub answered: u32,
}

struct Running {
    started: f64,
    first: f64,
    end: f64,
    recorded: bool,
}

struct Engine {
    cold_since: f64,
    down_until: f64,
    running: Vec<Running>,
}

impl Engine {
    fn capacity(&self, at: f64) -> f64 {
        let warm_share = (at - self.cold_since - COLD_PHASE_S) / WARM_UP_S;
        COLD_CAPACITY + (WARM_CAPACITY - COLD_CAPACITY) * warm_share.clamp(0.0, 1.0)
    }

    fn latency(&self, at: f64, rng: &mut impl Rng) -> f64 {
        let capacity = self.capacity(at);
        let slowdown = 1.0
            + (COLD_LATENCY_FACTOR - 1.0) * (WARM_CAPACITY - capacity)
                / (WARM_CAPACITY - COLD_CAPACITY);
        let load = (self.running.len() as f64 / capacity).min(3.0);
        let noise = rng.random_range(0.6..1.4);
        FIRST_TOKEN_S * slowdown * noise * (1.0 + load.powi(4))
    }
}

/// Simulates a limit for an engine that starts cold and turns cold again.
///
/// `rate` is in requests per second; `pause` is the time without arrivals before
/// the engine turns cold again, in seconds.
///
/// ```
/// use admission::experiment::{Control, ramp};
/// let fixed = ramp(1, Control::Fixed, 40.0, 0.0);
/// assert!(fixed.collapses > 0);
/// ```
pub fn ramp(seed: u64, control: Control, rate: f64, pause: f64) -> Ramp {
    let load = Load { rate, pause };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut limit = Limit::new(Duration::ZERO, WARM_CAPACITY as u32);
    let mut engine = Engine { cold_since: 0.0, down_until: 0.0, running: Vec::new() };
    let mut result = Ramp::default();
    let mut waiting = 0u32;
    let mut second_cold_start = false;
    for step in 0..(RUN_S / STEP_S) as u32 {
        let at = f64::from(step) * STEP_S;
        if at >= SECOND_COLD_START_S && !second_cold_start {
            second_cold_start = true;
            engine.cold_since = at;
            delay_first_tokens(&mut engine, at);
        }
        let paused = at >= SECOND_COLD_START_S - load.pause && at < SECOND_COLD_START_S;
        if !paused && rng.random_bool(load.rate * STEP_S) {
            waiting = (waiting + 1).min(200);
        }
        record_outcomes(&mut engine, &mut limit, control, at, &mut result);
        if at < engine.down_until {
            continue;
        }
        while waiting > 0 && admits(&engine, control, &limit, at) {
            waiting -= 1;
            admit(&mut engine, at, &mut rng, &mut result);
        }
        if engine.running.len() as f64 > engine.capacity(at) * COLLAPSE_FACTOR
            && is_overloaded_by_new_requests(&engine, at)
        {
            collapse(&mut engine, &mut limit, at, &mut result);
        }
        record_full_use(&engine, at, &mut result);
    }
    result
}

fn admits(engine: &Engine, control: Control, limit: &Limit, at: f64) -> bool {
    let now = Duration::from_secs_f64(at);
    let running = engine.running.len() as u32;
    let pending = engine.running.iter().filter(|running| running.first > at).count() as u32;
    match control {
        Control::Adaptive | Control::AdaptiveLate => limit.admits(now, running, pending),
        Control::AdaptiveUnbounded => running < limit.current(now),
        Control::Fixed => running < crate::baseline::fixed(WARM_CAPACITY as u32),
        Control::Unlimited => running < crate::baseline::unlimited(),
    }
}

/// Delays the pending first tokens of an engine that turned cold.
fn delay_first_tokens(engine: &mut Engine, at: f64) {
    for running in engine.running.iter_mut().filter(|running| running.first > at) {
        running.first = at + (running.first - at) * COLD_LATENCY_FACTOR;
        running.end = running.end.max(running.first);
    }
}

fn admit(engine: &mut Engine, at: f64, rng: &mut impl Rng, result: &mut Ramp) {
    let first = at + engine.latency(at, rng);
    let end = first + MEAN_ANSWER_S * rng.random_range(0.5..1.5);
    engine.running.push(Running { started: at, first, end, recorded: false });
    let load = engine.running.len() as f64 / engine.capacity(at);
    if load > 1.0 {
        result.excess += 1;
    }
    // Requests that ran when the engine turned cold exceed its capacity through
    // no fault of the limit.
    if !(SECOND_COLD_START_S..=SECOND_COLD_START_S + MEAN_ANSWER_S * 1.5).contains(&at) {
        result.worst = result.worst.max(load);
    }
}

/// Whether the requests admitted since the engine turned cold are alone enough for
/// a collapse.
fn is_overloaded_by_new_requests(engine: &Engine, at: f64) -> bool {
    let new_requests = engine.running.iter().filter(|running| running.started > engine.cold_since);
    new_requests.count() as f64 > engine.capacity(at) * COLLAPSE_FACTOR
}

fn collapse(engine: &mut Engine, limit: &mut Limit, at: f64, result: &mut Ramp) {
    result.collapses += 1;
    engine.running.clear();
    engine.cold_since = at + RESTART_S;
    engine.down_until = at + RESTART_S;
    limit.reset(Duration::from_secs_f64(at));
}

fn record_outcomes(
    engine: &mut Engine,
    limit: &mut Limit,
    control: Control,
    at: f64,
    result: &mut Ramp,
) {
    let now = Duration::from_secs_f64(at);
    let count = engine.running.len() as u32;
    for running in &mut engine.running {
        let due = if control == Control::AdaptiveLate { running.end } else { running.first };
        if !running.recorded && due <= at {
            running.recorded = true;
            let latency = Duration::from_secs_f64(running.first - running.started);
            limit.record_outcome(now, count, latency, true);
        }
    }
    engine.running.retain(|running| running.end > at);
    result.answered += count - engine.running.len() as u32;
}

fn record_full_use(engine: &Engine, at: f64, result: &mut Ramp) {
    if (engine.running.len() as f64) < WARM_CAPACITY * FULL_USE_SHARE {
        return;
    }
    if at < SECOND_COLD_START_S {
        result.full.get_or_insert(at);
    } else if at > SECOND_COLD_START_S + MEAN_ANSWER_S * 2.0 {
        result.full_again.get_or_insert(at - SECOND_COLD_START_S);
    }
}
