//! Locality-aware routing: which share of a zone's traffic leaves it, and where to.
//!
//! [`plan`] is a function of the work that the gateways of a zone have open, which all of
//! them know from each other's reports, so they arrive at the same shares without
//! negotiating. [`Spill`] follows the plan gradually.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};
use tables::Name;

use crate::config::Engine;
use crate::content::Server;

/// Interval between two steps: that of the reports.
pub const INTERVAL: Duration = crate::balancer::HEARTBEAT;

/// Longest time for which one step moves the shares, so that the first request after a
/// pause doesn't move them at once.
const MAX_STEP: Duration = Duration::from_millis(250);

/// Utilization up to which a zone is filled while the duration of its requests is unknown.
const DEFAULT_FILL: f64 = 0.75;

/// Bounds of the utilization up to which a zone is filled. With less than half of the
/// slots in use there is no queue to avoid; near 1 the estimate of the wait is useless,
/// since reports are up to one interval old.
const FILL_BOUNDS: (f64, f64) = (0.5, 0.9);

/// Share from which on traffic begins to leave a zone. Together with [`STOP`], it keeps a
/// zone at its limit from starting and stopping continually.
const START: f64 = 0.05;

/// Share below which no traffic leaves a zone.
const STOP: f64 = 0.01;

/// Difference between plan and share that is ignored, since open work varies at random.
const DEAD_BAND: f64 = 0.02;

/// Change of the share after which it is reported, and the minimum time between reports.
const REPORTED: (f64, Duration) = (0.1, Duration::from_secs(1));

/// Time in which a server that has become usable is filled.
const SLOW_START: Duration = Duration::from_secs(2);

/// Largest difference between the pass times of groups that a preference may cause, as a
/// share of the accepted gap.
const GAP_SHARE: f64 = 0.1;

/// Mean gap, as a share of the accepted gap, at which nothing is preferred.
const GAP_LIMIT: f64 = 0.8;

/// Time constant of the averages of request duration and size.
const AVERAGE: Duration = Duration::from_secs(5);

/// Completed requests from which on their mean duration is used.
const MIN_COMPLETED: f64 = 5.0;

/// Weight of the latest request in the mean size (moving average).
const SIZE_WEIGHT: f64 = 0.02;

/// The block `zones` of a gateway's settings.
///
/// ```
/// use std::time::Duration;
/// let settings = balance::zone::Settings::default();
/// assert!(!settings.prefer_local);
/// assert_eq!(settings.price(0.0), Duration::from_millis(7));
/// ```
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Whether requests prefer the backend servers of the gateway's zone.
    pub prefer_local: bool,
    /// Waiting time that a request accepts in order not to leave its zone.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "crossing_ms")]
    pub crossing: Duration,
    /// The same for each megabyte of request and response.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "megabyte_ms")]
    pub megabyte: Duration,
    /// Assumed delay between two zones, one way.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// Share of a zone's capacity that is left to its own callers.
    pub reserve: f64,
    /// Time constant with which shares follow the load.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "settle_ms")]
    pub settle: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            prefer_local: false,
            crossing: Duration::from_millis(5),
            megabyte: Duration::from_millis(2),
            delay: Duration::from_millis(1),
            reserve: 0.2,
            settle: Duration::from_secs(1),
        }
    }
}

impl Settings {
    /// Time that must be gained for a request of this size to leave its zone.
    pub fn price(&self, bytes: f64) -> Duration {
        self.crossing + self.delay * 2 + self.megabyte.mul_f64(bytes.max(0.0) / 1e6)
    }
}

/// A pool's servers in one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Slots of usable servers.
    pub slots: f64,
    /// Open requests there of gateways outside the deciding gateway's zone.
    pub foreign: f64,
    /// Whether reports of the zone's gateways are missing.
    pub silent: bool,
}

/// Inputs of a plan for one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Input {
    /// Zone of the gateway.
    pub home: Name,
    /// Open requests of all gateways of that zone, at all usable servers.
    pub demand: f64,
    /// Servers by zone.
    pub zones: BTreeMap<Name, Load>,
    /// Mean duration of a request, if known.
    pub duration: Option<Duration>,
    /// Time that must be gained for a request to leave its zone.
    pub price: Duration,
}

/// Why traffic leaves a zone, or doesn't.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The zone has capacity for its own callers.
    #[default]
    Sufficient,
    /// Demand exceeds what the zone serves without a wait above the price.
    Overload,
    /// Demand exceeds that, and the other zones have less room than needed.
    Saturated,
    /// The zone has no usable server.
    Unavailable,
    /// Reports of the zone's own gateways are missing; the shares are kept.
    Stale,
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Cause::Sufficient => "the zone has enough capacity",
            Cause::Overload => "demand exceeds the zone's capacity",
            Cause::Saturated => "demand exceeds the capacity of all zones",
            Cause::Unavailable => "the zone has no usable backend server",
            Cause::Stale => "reports of the zone's gateways are missing",
        })
    }
}

/// Target shares of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Share of the traffic that goes to each other zone.
    pub shares: BTreeMap<Name, f64>,
    /// Why.
    pub cause: Cause,
}

/// Expected wait for one of `slots` at a utilization, as a multiple of a request's
/// duration (Sakasegawa's approximation of the M/M/c queue).
fn wait(utilization: f64, slots: f64) -> f64 {
    utilization.powf((2.0 * (slots + 1.0)).sqrt() - 1.0) / (slots * (1.0 - utilization))
}

/// Utilization of a zone from which on leaving it gains more than the price: the wait
/// there exceeds that in a zone filled up to its reserve by the price.
///
/// ```
/// use std::time::Duration;
/// use balance::zone::fill;
/// let ms = Duration::from_millis;
/// let (cheap, dear) = (fill(8.0, Some(ms(40)), ms(2), 0.2), fill(8.0, Some(ms(40)), ms(9), 0.2));
/// assert!(cheap < dear && dear <= 0.9);
/// ```
pub fn fill(slots: f64, duration: Option<Duration>, price: Duration, reserve: f64) -> f64 {
    let Some(duration) = duration.filter(|duration| !duration.is_zero()) else {
        return DEFAULT_FILL;
    };
    let limit = price.as_secs_f64() / duration.as_secs_f64();
    let slots = slots.max(1.0);
    let gain = |level: f64| wait(level, slots) - wait(level * (1.0 - reserve), slots);
    let (mut low, mut high) = FILL_BOUNDS;
    // Ten halvings give a precision of 0.0004.
    for _ in 0..10 {
        let middle = f64::midpoint(low, high);
        if gain(middle) > limit { high = middle } else { low = middle }
    }
    low
}

/// The shares that the load asks for. They are the same at all gateways of a zone.
///
/// What the zone can't serve goes to the other zones in proportion to their room: their
/// capacity less a reserve and less the work of their own callers and of third zones.
///
/// ```
/// use balance::zone::{Cause, Input, Load, Settings, plan};
/// let load = |foreign| Load { slots: 10.0, foreign, silent: false };
/// let zones = [("a".into(), load(0.0)), ("b".into(), load(0.0)), ("c".into(), load(5.0))];
/// let input = Input { home: "a".into(), demand: 15.0, zones: zones.into(), ..Input::default() };
/// let plan = plan(&Settings::default(), &input);
/// assert_eq!(plan.cause, Cause::Saturated);
/// assert!(plan.shares["b"] > plan.shares["c"]);
/// ```
pub fn plan(settings: &Settings, input: &Input) -> Plan {
    let fill = |slots| fill(slots, input.duration, input.price, settings.reserve);
    let home = input.zones.get(&input.home).copied().unwrap_or_default();
    let others = || input.zones.iter().filter(|(name, _)| **name != input.home);
    let room = |load: &Load| {
        let own_limit = fill(load.slots) * (1.0 - settings.reserve) * load.slots;
        if load.silent { 0.0 } else { (own_limit - load.foreign).max(0.0) }
    };
    let mut weights: BTreeMap<Name, f64> =
        others().map(|(name, load)| (name.clone(), room(load))).collect();
    let total: f64 = weights.values().sum();
    if home.slots <= 0.0 {
        if total <= 0.0 {
            weights = others().map(|(name, load)| (name.clone(), load.slots)).collect();
        }
        return Plan { shares: scaled(weights, 1.0), cause: Cause::Unavailable };
    }
    let excess = (input.demand - fill(home.slots) * home.slots).max(0.0);
    let leaving = excess.min(total);
    let cause = match () {
        () if excess <= 0.0 => Cause::Sufficient,
        () if excess > total => Cause::Saturated,
        () => Cause::Overload,
    };
    let share = if input.demand > 0.0 { leaving / input.demand } else { 0.0 };
    Plan { shares: scaled(weights, share), cause }
}

/// Scales weights to a sum; drops those that are 0.
fn scaled(weights: BTreeMap<Name, f64>, sum: f64) -> BTreeMap<Name, f64> {
    let total: f64 = weights.values().sum();
    let scale = if total > 0.0 { sum / total } else { 0.0 };
    let weights = weights.into_iter().map(|(name, weight)| (name, weight * scale));
    weights.filter(|(_, weight)| *weight > 0.0).collect()
}

/// A change of the shares, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The pool.
    pub pool: Name,
    /// Share of the traffic that leaves the zone.
    pub share: f64,
    /// That share at the previous report.
    pub before: f64,
    /// Where it goes to.
    pub shares: BTreeMap<Name, f64>,
    /// Why.
    pub cause: Cause,
    /// Open requests of the zone's gateways.
    pub demand: f64,
    /// Slots of usable servers in the zone.
    pub slots: f64,
}

/// The shares of a pool's traffic that leave a zone, as they follow the plan.
#[derive(Clone, Debug, Default)]
pub struct Spill {
    shares: BTreeMap<Name, f64>,
    cause: Cause,
    stepped_at: Duration,
    /// Share and cause of the last report, and its time.
    reported: Option<(f64, Cause, Duration)>,
}

impl Spill {
    /// Moves the shares towards the plan. Returns a change that is to be logged.
    pub fn step(
        &mut self,
        now: Duration,
        settings: &Settings,
        pool: &Name,
        input: &Input,
    ) -> Option<Change> {
        let passed = now.saturating_sub(self.stepped_at).min(MAX_STEP);
        self.stepped_at = now;
        if input.zones.get(&input.home).is_some_and(|home| home.silent) {
            self.cause = Cause::Stale;
        } else {
            let plan = plan(settings, input);
            self.cause = plan.cause;
            self.follow(settings, passed, &plan.shares);
        }
        self.report(now, pool, input)
    }

    fn follow(&mut self, settings: &Settings, passed: Duration, plan: &BTreeMap<Name, f64>) {
        let planned: f64 = plan.values().sum();
        if self.share() <= 0.0 && planned < START {
            return;
        }
        let rate = 1.0 - (-passed.as_secs_f64() / settings.settle.as_secs_f64().max(1e-3)).exp();
        let names: BTreeSet<Name> = self.shares.keys().chain(plan.keys()).cloned().collect();
        for name in names {
            let target = plan.get(&name).copied().unwrap_or(0.0);
            let share = self.shares.entry(name).or_default();
            let is_end = target <= 0.0 || planned >= 1.0;
            if is_end || (target - *share).abs() > DEAD_BAND {
                *share += (target - *share) * rate;
            }
        }
        if planned <= 0.0 && self.share() < STOP {
            self.shares.clear();
        }
        self.shares.retain(|name, share| *share >= STOP / 2.0 || plan.contains_key(name));
    }

    fn report(&mut self, now: Duration, pool: &Name, input: &Input) -> Option<Change> {
        let share = self.share();
        let (before, cause, at) = self.reported.unwrap_or((0.0, Cause::Sufficient, Duration::ZERO));
        let moved = (share - before).abs() >= REPORTED.0 || (share <= 0.0) != (before <= 0.0);
        let is_due = self.reported.is_none() || now >= at + REPORTED.1;
        if !is_due || !(moved || cause != self.cause) {
            return None;
        }
        self.reported = Some((share, self.cause, now));
        Some(Change {
            pool: pool.clone(),
            share,
            before,
            shares: self.shares.clone(),
            cause: self.cause,
            demand: input.demand,
            slots: input.zones.get(&input.home).map_or(0.0, |home| home.slots),
        })
    }

    /// Share of the traffic that leaves the zone.
    pub fn share(&self) -> f64 {
        self.shares.values().sum()
    }

    /// Shares of the other zones.
    pub fn shares(&self) -> &BTreeMap<Name, f64> {
        &self.shares
    }

    /// Cause of the latest step.
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// The zone of a request, given a number drawn from 0 to 1; `None` is the home zone.
    pub fn draw(&self, drawn: f64) -> Option<&Name> {
        let mut rest = drawn;
        self.shares.iter().find_map(|(name, share)| {
            rest -= share;
            (rest < 0.0).then_some(name)
        })
    }
}

/// Load in requests that is added to model engines in another zone: the number of
/// requests that lengthen a pass by the price of a crossing, which each event makes. The
/// closer the gaps (their mean and the accepted one) are to their limit, the less.
///
/// ```
/// use std::time::Duration;
/// use balance::{config::Engine, zone::engine_load};
/// let ms = Duration::from_millis;
/// let engine = Engine { step_per_request: ms(1), stride: 4, ..Engine::default() };
/// assert_eq!(engine_load(ms(6), &engine, ms(40), ms(120)), 1.5);
/// assert_eq!(engine_load(ms(6), &engine, ms(100), ms(120)), 0.0);
/// ```
pub fn engine_load(price: Duration, engine: &Engine, mean: Duration, accepted: Duration) -> f64 {
    let per_request = engine.step_per_request.as_secs_f64() * f64::from(engine.stride.max(1));
    if per_request <= 0.0 {
        return 0.0;
    }
    let headroom = accepted.mul_f64(GAP_LIMIT).saturating_sub(mean) / 2;
    let limit = headroom.min(accepted.mul_f64(GAP_SHARE));
    price.min(limit).as_secs_f64() / per_request
}

/// The preference of one request for a zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Preference {
    /// The preferred zone.
    pub zone: Name,
    /// Zone of the gateway.
    pub home: Name,
    /// Load added to servers outside both, in requests per slot for plain services and in
    /// requests for model engines.
    pub added: f64,
    /// Whether the pool consists of model engines.
    pub engine: bool,
    /// Groups whose ranks lie in several zones. They run each pass together, so the zone
    /// of a rank doesn't matter.
    pub spanning: BTreeSet<Name>,
}

impl Preference {
    /// The load with which a server is compared, given its open work in requests.
    ///
    /// A plain service in another zone counts as full: it is chosen only if the preferred
    /// servers have no free slot, and the wait there exceeds the price. Its free slots are
    /// ignored, since they are known from reports only: in a replay at 0.8 of the capacity,
    /// counting one of them sent 0.25 to 0.33 of the requests to another zone instead of 0.05
    /// to 0.10, and the 99th percentile of the latency was higher by half or more.
    pub fn load(&self, server: &Server, load: f64) -> f64 {
        if server.zone == self.zone {
            return load;
        }
        if self.engine {
            let spans =
                server.group.as_ref().is_some_and(|group| self.spanning.contains(&group.name));
            return if spans { load } else { load + self.added };
        }
        let slots = f64::from(server.slots);
        let added = if server.zone == self.home { 0.0 } else { self.added * slots };
        load.max(slots) + added
    }
}

/// Averages of a pool's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    /// Open requests times seconds.
    open_s: f64,
    /// Completed requests.
    completed: f64,
    sampled_at: Duration,
    bytes: f64,
}

impl Average {
    /// Adds the requests that are open now. By Little's law, the mean duration is the time
    /// for which requests were open, divided by the number of completed ones.
    fn sample(&mut self, now: Duration, open: f64) {
        let passed = now.saturating_sub(self.sampled_at).as_secs_f64();
        self.sampled_at = now;
        let kept = (-passed / AVERAGE.as_secs_f64()).exp();
        self.completed *= kept;
        // The number at the end stands for the interval. After a pause it says nothing
        // about most of it.
        self.open_s = self.open_s * kept + open * passed.min(MAX_STEP.as_secs_f64());
    }

    fn duration(&self) -> Option<Duration> {
        (self.completed >= MIN_COMPLETED)
            .then(|| Duration::from_secs_f64(self.open_s / self.completed))
    }
}

/// The zone state of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Settings in force.
    pub settings: Settings,
    pools: BTreeMap<Name, (Spill, Average)>,
    /// Time since which each server of a pool is usable.
    usable: BTreeMap<Name, BTreeMap<Name, Duration>>,
    spanning: BTreeMap<Name, BTreeSet<Name>>,
    changes: Vec<Change>,
}

impl Register {
    /// Whether a pool's shares are due for a step.
    pub fn is_due(&self, now: Duration, pool: &str) -> bool {
        self.pools.get(pool).is_none_or(|(spill, _)| now >= spill.stepped_at + INTERVAL)
    }

    /// Takes a step for a pool. `input` lacks duration and price; `open` is the gateway's
    /// own open work, `usable` names the usable servers.
    pub fn step(
        &mut self,
        now: Duration,
        pool: &Name,
        mut input: Input,
        open: f64,
        usable: BTreeSet<Name>,
        spanning: BTreeSet<Name>,
    ) {
        let (spill, average) = self.pools.entry(pool.clone()).or_default();
        average.sample(now, open);
        input.duration = average.duration();
        input.price = self.settings.price(average.bytes);
        self.changes.extend(spill.step(now, &self.settings, pool, &input));
        self.spanning.insert(pool.clone(), spanning);
        // The servers that are known first have been usable for an unknown time.
        let since = if self.usable.contains_key(pool) { Some(now) } else { None };
        let known = self.usable.entry(pool.clone()).or_default();
        known.retain(|name, _| usable.contains(name));
        for name in usable {
            known.entry(name).or_insert(since.unwrap_or_default());
        }
    }

    /// Records a completed request of a pool.
    pub fn record_completed(&mut self, pool: &Name) {
        if let Some((_, average)) = self.pools.get_mut(pool) {
            average.completed += 1.0;
        }
    }

    /// Records the size of a request and its response.
    pub fn record_size(&mut self, pool: &Name, bytes: u64) {
        if let Some((_, average)) = self.pools.get_mut(pool) {
            average.bytes += (bytes as f64 - average.bytes) * SIZE_WEIGHT;
        }
    }

    /// The preference of a request to a plain service, given a number drawn from 0 to 1.
    pub fn service(&self, home: &Name, pool: &str, drawn: f64) -> Preference {
        let known = self.pools.get(pool);
        let zone = known.and_then(|(spill, _)| spill.draw(drawn)).unwrap_or(home).clone();
        let added = known.and_then(|(_, average)| {
            let duration = average.duration().filter(|duration| !duration.is_zero())?;
            Some(self.settings.price(average.bytes).as_secs_f64() / duration.as_secs_f64())
        });
        Preference {
            zone,
            home: home.clone(),
            added: added.unwrap_or(0.0).min(1.0),
            engine: false,
            spanning: BTreeSet::new(),
        }
    }

    /// The preference of a request to a model engine.
    pub fn engine(
        &self,
        home: &Name,
        pool: &str,
        engine: &Engine,
        gaps: (Duration, Duration),
    ) -> Preference {
        // A stream crosses with each event, so the size of the whole doesn't matter.
        let added = engine_load(self.settings.price(0.0), engine, gaps.0, gaps.1);
        Preference {
            zone: home.clone(),
            home: home.clone(),
            added,
            engine: true,
            spanning: self.spanning.get(pool).cloned().unwrap_or_default(),
        }
    }

    /// Load in requests that is added to a server that became usable a short time ago.
    pub fn slow_start(&self, now: Duration, name: &str, server: &Server) -> f64 {
        let since = self.usable.get(&server.pool).and_then(|known| known.get(name));
        let Some(since) = since.filter(|since| !since.is_zero()) else { return 0.0 };
        let rest = 1.0 - now.saturating_sub(*since).as_secs_f64() / SLOW_START.as_secs_f64();
        rest.max(0.0) * f64::from(server.slots)
    }

    /// The shares of a pool.
    pub fn spill(&self, pool: &str) -> Option<&Spill> {
        self.pools.get(pool).map(|(spill, _)| spill)
    }

    /// Takes the changes that are to be logged.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let shown = |(name, (spill, average)): (&Name, &(Spill, Average))| {
            let value = serde_json::json!({
                "shares": spill.shares,
                "cause": spill.cause,
                "duration_ms": average.duration().map(|duration| duration.as_secs_f64() * 1e3),
                "bytes": average.bytes as u64,
            });
            (name.clone(), value)
        };
        let pools: BTreeMap<_, _> = self.pools.iter().map(shown).collect();
        serde_json::json!({ "prefer_local": self.settings.prefer_local, "pools": pools })
    }
}
