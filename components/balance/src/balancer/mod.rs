//! The state and decisions of an entry: admission, server selection and retries.

mod choose;
mod peers;
mod retry;
mod wait;
mod zones;

pub use wait::Crowding;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSecondsWithFrac, serde_as};
use tables::{Name, Position};

use crate::budget::Budget;
use crate::config::{Config, Unmatched};
use crate::content::{Kind, Server};
use crate::crash::Register;
use crate::drain::Drain;
use crate::freshness;
use crate::hold;
use crate::member::Member;
use crate::notice::{Notices, Start};
use crate::numbering::Numbering;
use crate::pace::Pace;
use crate::queue::Queue;
use crate::room::Room;
use crate::slow;
use crate::suspect::{self, Scope, Standing};
use crate::ticket::{Prompt, Reason, Refusal, Submission, Ticket};
use crate::urgency::Scale;
use crate::view::{Update, View};
use crate::zone;

/// Share of the platform's retry budget that is used. The rest covers the time
/// in which entries have not yet discovered each other.
const BUDGET_SHARE: f64 = 0.5;

/// Share of a window's retry slack that the entries may accumulate in total.
const SAVED_SLACK_SHARE: f64 = 0.35;

/// Time since the last message of an entry after which it gets no share of the
/// limits common to all entries.
const PEER_LIFETIME: Duration = Duration::from_secs(8);

/// Number of entries that watch the store. More than one, so that the loss of
/// one causes no delay.
const FOLLOWERS: usize = 2;

/// Time without a reply of the store after which the next one ends an outage, so that
/// servers that it lacks may only have expired meanwhile.
const OUTAGE_MIN: Duration = Duration::from_millis(2800);

/// Time since the last message of an entry after which it no longer counts as a
/// follower of the store, or as the current process of its host.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(100);

/// Minimum remaining time for an attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Limits common to all entries. From the platform's settings.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Retries allowed per first attempt.
    pub retry_ratio: f64,
    /// Additional retries allowed per window.
    pub retry_slack: f64,
    /// Length of the window.
    #[serde_as(as = "DurationMilliSecondsWithFrac<f64>")]
    #[serde(rename = "retry_window_ms")]
    pub retry_window: Duration,
}

/// Identity and options of an entry.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of its host.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Link at which it receives frames.
    pub link: Name,
    /// Links of entries to contact at the start.
    pub seeds: Vec<Name>,
    /// Limits common to all entries.
    pub limits: Limits,
    /// Durations of holds after a restore of the store.
    pub holds: hold::Bounds,
    /// Times within which changes in the store must take effect.
    pub freshness: freshness::Bounds,
    /// Time between a stop signal and the forced stop.
    pub grace: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Another entry, as known from its messages.
#[derive(Clone, Debug)]
struct Neighbour {
    link: Name,
    last_seen: Duration,
    incarnation: u64,
    /// Time of the store's last reply to it for each kind, as reported by it.
    store_replies: BTreeMap<Kind, Duration>,
}

/// Lag of a kind behind another entry.
#[derive(Clone, Copy, Debug)]
struct Lag {
    since: Duration,
    pulled_at: Option<Duration>,
}

/// The state of an entry.
pub struct Balancer {
    options: Options,
    view: View,
    members: BTreeMap<Name, Member>,
    budgets: BTreeMap<Name, Budget>,
    paces: BTreeMap<Name, Pace>,
    /// The pools whose requests differ in urgency.
    scales: BTreeMap<Name, Scale>,
    /// Room of the groups of these pools; `None` stands for engines without a group.
    rooms: BTreeMap<(Name, Option<Name>), Room>,
    /// Requests that wait for room in these pools.
    queues: BTreeMap<Name, Queue>,
    /// Number of requests that have waited.
    waiters: u64,
    neighbours: BTreeMap<Name, Neighbour>,
    lags: BTreeMap<Kind, Lag>,
    crashes: Register,
    suspects: suspect::Register,
    notices: Notices,
    slow: slow::Register,
    zones: zone::Register,
    /// How the servers of these pools number events.
    numberings: BTreeMap<Name, Numbering>,
    rng: ChaCha8Rng,
    /// Time of the store's last reply to this entry, by kind.
    store_replies: BTreeMap<Kind, Duration>,
    /// The latest era of the store reported by another entry.
    peer_era: u64,
    /// Whether another entry has reported all crashes that it knows.
    informed: bool,
    /// The planned stop, if it has begun.
    drain: Option<Drain>,
}

impl Balancer {
    /// Creates an entry without a configuration or servers.
    pub fn new(options: Options) -> Balancer {
        Balancer {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            view: View::new(options.holds),
            options,
            members: BTreeMap::new(),
            budgets: BTreeMap::new(),
            paces: BTreeMap::new(),
            scales: BTreeMap::new(),
            rooms: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiters: 0,
            neighbours: BTreeMap::new(),
            lags: BTreeMap::new(),
            crashes: Register::default(),
            suspects: suspect::Register::default(),
            notices: Notices::default(),
            slow: slow::Register::default(),
            zones: zone::Register::default(),
            numberings: BTreeMap::new(),
            store_replies: BTreeMap::new(),
            peer_era: 0,
            informed: false,
            drain: None,
        }
    }

    /// Whether the entry isn't shutting down and has a configuration and servers.
    pub fn is_ready(&self) -> bool {
        self.drain.is_none() && self.view.config().is_some() && self.view.is_known(Kind::Server)
    }

    /// Applies changed limits. A stop that has begun keeps its schedule.
    pub fn set_limits(&mut self, limits: Limits, freshness: freshness::Bounds, grace: Duration) {
        self.options.limits = limits;
        self.options.freshness = freshness;
        self.options.grace = grace;
    }

    /// Times within which changes in the store must take effect.
    pub fn freshness(&self) -> freshness::Bounds {
        self.options.freshness
    }

    /// Begins a planned stop of the entry: it is no longer ready. Returns the schedule.
    pub fn leave(&mut self, now: Duration) -> Drain {
        *self.drain.insert(Drain::new(now, self.options.grace))
    }

    /// Whether the entry is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.drain.is_some()
    }

    /// The configuration in force at this entry.
    pub fn config(&self) -> Option<&Config> {
        self.view.config()
    }

    /// Position of the local copy of a kind.
    pub fn position(&self, kind: Kind) -> Position {
        self.view.position(kind)
    }

    /// Time since the local copy of a kind was last known to match the store;
    /// `None` before the first reply.
    pub fn synced_age(&self, now: Duration, kind: Kind) -> Option<Duration> {
        self.view.synced_age(now, kind)
    }

    /// The latest known era of the store.
    pub fn era(&self) -> u64 {
        let eras = Kind::ALL.iter().map(|kind| self.position(*kind).era);
        eras.fold(self.peer_era, u64::max)
    }

    /// Records that the store answers again after an outage.
    pub fn record_reconnect(&mut self, now: Duration) {
        self.view.record_reconnect(now);
    }

    /// Records a reply of the store to a call for a kind.
    pub fn record_store_reply(&mut self, now: Duration, kind: Kind) {
        self.store_replies.insert(kind, now);
    }

    /// Whether this entry watches a kind in the store itself. The first entries by
    /// name that the store answers do; the others get updates from them, as long as
    /// these keep their copies current.
    pub fn follows_store(&self, now: Duration, kind: Kind) -> bool {
        if !self.view.is_known(Kind::Config) || !self.view.is_known(Kind::Server) {
            return true;
        }
        let max_age = self.options.freshness.max_age(kind);
        if self.view.synced_age(now, kind).is_none_or(|age| age >= max_age) {
            return true;
        }
        let earlier = self.neighbours.iter().filter(|(name, other)| {
            let answers = other.store_replies.get(&kind).is_some_and(|at| now < *at + max_age);
            **name < self.options.name && now < other.last_seen + HEARTBEAT_TIMEOUT && answers
        });
        earlier.count() < FOLLOWERS
    }

    /// Applies an update that the store has just sent. Returns whether anything
    /// changed.
    pub fn apply(&mut self, now: Duration, update: Update) -> bool {
        let version = self.config().map(|config| config.version);
        let changed = self.view.apply(now, update);
        if changed {
            self.refresh_scales(version);
            self.refresh_members(now);
        }
        changed
    }

    /// Applies an update from another entry.
    fn apply_relayed(&mut self, now: Duration, update: Update) {
        let version = self.config().map(|config| config.version);
        if self.view.apply_relayed(now, update) {
            self.refresh_scales(version);
            self.refresh_members(now);
        }
    }

    fn refresh_members(&mut self, now: Duration) {
        let servers = self.view.servers(now);
        for start in self.suspects.unconfirmed() {
            let has_ended = |server: &Server| server.started_ms > start.started_ms;
            if servers.get(&start.server).is_none_or(has_ended) {
                self.suspects.confirm(now, &start);
            }
        }
        self.members.retain(|name, member| servers.contains_key(name) || member.own.open > 0);
        for (name, member) in &mut self.members {
            if !servers.contains_key(name) {
                member.server.draining = true;
            }
        }
        for (name, server) in servers {
            match self.members.get_mut(&name) {
                Some(member) => member.update(now, server),
                None => drop(self.members.insert(name, Member::new(now, server))),
            }
        }
    }

    /// Admits a request: finds its route, client account and pool.
    ///
    /// # Errors
    ///
    /// The final response, if the request can't be admitted.
    pub fn admit(&mut self, now: Duration, submission: &Submission<'_>) -> Result<Ticket, Refusal> {
        if self.drain.is_some_and(|drain| !drain.accepts(now)) {
            return Err(self.refuse_not_run(Reason::Leaving, submission.caller_timeout));
        }
        let Some(config) = self.view.config() else {
            return Err(self.refuse_unconfigured(submission.caller_timeout));
        };
        let (route, account) =
            match config.resolve(submission.host, submission.path, submission.key) {
                Ok(found) => found,
                Err(unmatched) => return Err(refuse_unmatched(unmatched)),
            };
        let time_limit = submission
            .caller_timeout
            .map_or(route.timeout, |caller_timeout| caller_timeout.min(route.timeout));
        let shares = route.pools.clone();
        let priorities = (account.map(|account| account.priority), route.priority);
        let mut ticket = Ticket {
            route: route.name.clone(),
            pool: Name::default(),
            account: account.map(|account| account.name.clone()),
            kind: route.kind,
            arrived: now,
            deadline: now + time_limit,
            objective: route.objective,
            gap: route.gap,
            urgency: None,
            level: 0,
            waiter: None,
            attempts_left: route.attempts.max(1),
            tried: Vec::new(),
            may_have_run: false,
            begun: false,
            start: None,
            waited: false,
            prompt: Prompt {
                tokens: submission.prompt_tokens,
                fingerprint: submission.fingerprint,
                shared_parts: submission.shared_parts.into(),
            },
        };
        let Some(pool) = self.draw_pool(&shares) else {
            return Err(self.refuse_not_run(Reason::NoServer, Some(time_limit)));
        };
        ticket.pool = pool;
        if let Some(scale) = self.scales.get(&ticket.pool) {
            let urgency = scale.urgency(priorities.0, priorities.1);
            ticket.urgency = Some(urgency);
            ticket.level = scale.level(urgency);
        }
        if self.crashes.is_blocked(now, submission.fingerprint) {
            return Err(self.refuse_not_run(Reason::Crashes, Some(time_limit)));
        }
        if let Standing::Blocked(wait) = self.standing(now, &ticket) {
            return Err(refuse_blocked(wait));
        }
        self.budget(now, &ticket.pool).earn(now);
        if ticket.kind.is_stream() {
            self.paces.entry(ticket.pool.clone()).or_default().set_accepted_gap(ticket.gap);
        }
        Ok(ticket)
    }

    /// The refusal of a request while no configuration is known.
    pub fn refuse_unconfigured(&mut self, caller_timeout: Option<Duration>) -> Refusal {
        self.refuse_not_run(Reason::Unconfigured, caller_timeout)
    }

    /// Draws a pool at random by the weights of a route, or `None` if all are zero.
    fn draw_pool(&mut self, shares: &[(Name, u32)]) -> Option<Name> {
        let total = shares.iter().fold(0, |sum: u32, (_, weight)| sum.saturating_add(*weight));
        let mut drawn = (total > 0).then(|| self.rng.random_range(0..total))?;
        for (pool, weight) in shares {
            if drawn < *weight {
                return Some(pool.clone());
            }
            drawn -= weight;
        }
        None
    }

    /// Records a server's notice that it is shutting down. It gets no requests,
    /// whatever the store lists, until it has restarted. Returns whether the
    /// notice is new.
    pub fn record_leaving(&mut self, now: Duration, start: Start) -> bool {
        self.notices.leave(now, start)
    }

    /// Records that a server refused a request and asked for no others for `wait`.
    /// Returns whether a new backoff began.
    pub fn record_backoff(&mut self, now: Duration, start: Start, wait: Duration) -> bool {
        self.notices.back_off(now, start, wait)
    }

    /// Records the first event, or the whole response, of an attempt. Returns the
    /// suspected prompt parts that it clears.
    pub fn record_first_event(&mut self, now: Duration, server: &str, prompt: &Prompt) -> Vec<u64> {
        self.end_wait(server, prompt);
        self.suspects.record_sound(now, &prompt.shared_parts)
    }

    /// Whether the crash of a server with suspected prompts is known.
    pub fn knows_crash(&self, start: &Start) -> bool {
        self.suspects.contains(start)
    }

    /// Records that an attempt no longer waits for its first event, because it got
    /// one or has ended.
    pub fn end_wait(&mut self, server: &str, prompt: &Prompt) {
        if let Some(member) = self.members.get_mut(server) {
            member.own.tokens = member.own.tokens.saturating_sub(prompt.tokens);
        }
        self.suspects.end_wait(prompt, server);
    }

    /// Records an event that came from `server` `gap` after the previous one of its
    /// stream. Returns the new fraction of the normal limit of open requests that the
    /// pool accepts, if it changed.
    pub fn record_gap(
        &mut self,
        now: Duration,
        pool: &Name,
        server: &str,
        gap: Duration,
    ) -> Option<f64> {
        self.record_room(now, pool, server, gap);
        self.paces.entry(pool.clone()).or_default().record(now, gap)
    }

    /// Records what a stream has shown of the numbering of its pool's events. Returns whether
    /// that is new. Once irregular, a pool stays so: each of its streams may still turn out to
    /// have a step.
    pub fn record_numbering(&mut self, pool: &Name, numbering: Numbering) -> bool {
        let known = self.numbering(pool);
        let is_new = known == Numbering::Unknown
            || (known != Numbering::Irregular && numbering == Numbering::Irregular);
        if is_new {
            self.numberings.insert(pool.clone(), numbering);
        }
        is_new
    }

    /// How the servers of a pool number events, as far as known.
    pub fn numbering(&self, pool: &Name) -> Numbering {
        self.numberings.get(pool).copied().unwrap_or_default()
    }

    /// Whether a pool is slow as a whole, or stalled although servers other than
    /// `server` have work. A stream that waits at `server` should then stay there:
    /// another server would be as slow and would have to repeat the prefill.
    pub fn is_slow(&self, now: Duration, pool: &str, server: &str) -> bool {
        let Some(pace) = self.paces.get(pool) else { return false };
        let busy = |(name, member): (&Name, &Member)| {
            name.as_str() != server && member.server.pool.as_str() == pool && member.own.open > 0
        };
        pace.is_slow(now) || (pace.is_stalled(now) && self.members.iter().any(busy))
    }

    /// Records the end of an attempt at a server.
    pub fn release(&mut self, server: &str) {
        if let Some(member) = self.members.get_mut(server) {
            member.own.open = member.own.open.saturating_sub(1);
            self.zones.record_completed(&member.server.pool);
        }
    }

    fn budget(&mut self, now: Duration, pool: &Name) -> &mut Budget {
        let limits = self.options.limits;
        let window = limits.retry_window.as_secs_f64().max(1.0);
        let floor = BUDGET_SHARE * limits.retry_slack / window / self.entries(now) as f64;
        let ratio = BUDGET_SHARE * limits.retry_ratio;
        let saved = SAVED_SLACK_SHARE * limits.retry_slack / self.entries(now) as f64;
        let new_budget = || Budget::new(ratio, floor).with_saved(saved);
        let budget = self.budgets.entry(pool.clone()).or_insert_with(new_budget);
        budget.set_share(now, floor, saved.max(1.0));
        budget
    }

    /// Drops expired state.
    pub fn tick(&mut self, now: Duration) {
        if self.view.has_retained() {
            self.refresh_members(now);
        }
        self.neighbours.retain(|_, other| now < other.last_seen + PEER_LIFETIME * 4);
        self.slow.sweep(now);
        self.suspects.sweep(now);
        self.view.sweep(now);
        let members = &self.members;
        self.notices.sweep(now, |start| members.contains_key(&start.server));
    }

    /// The state as JSON.
    pub fn dump(&self, now: Duration) -> serde_json::Value {
        let members: BTreeMap<_, _> =
            self.members.iter().map(|(name, member)| (name, member.summary(now))).collect();
        let positions: BTreeMap<_, _> =
            Kind::ALL.iter().map(|kind| (format!("{kind:?}"), self.view.position(*kind))).collect();
        let synced_ms = |kind: &Kind| self.synced_age(now, *kind).map(|age| age.as_millis());
        let synced: BTreeMap<_, _> =
            Kind::ALL.iter().map(|kind| (format!("{kind:?}"), synced_ms(kind))).collect();
        let follows: BTreeMap<_, _> = Kind::ALL
            .iter()
            .map(|kind| (format!("{kind:?}"), self.follows_store(now, *kind)))
            .collect();
        let pool = |(name, pace): (&Name, &Pace)| {
            let shown = serde_json::json!({
                "gap_ms": pace.mean_gap().as_millis() as u64, "share": pace.share(now),
            });
            (name.clone(), shown)
        };
        let pools: BTreeMap<_, _> = self.paces.iter().map(pool).collect();
        serde_json::json!({
            "name": self.options.name,
            "zone": self.options.zone,
            "ready": self.is_ready(),
            "entries": self.entries(now),
            "config_version": self.config().map(|config| config.version),
            "keys_required": self.config().map(|config| config.keys.is_some()),
            "positions": positions,
            "synced_ms": synced,
            "follows_store": follows,
            "zones_out": self.view.zones_out(now),
            "holds": self.view.hold_reports(now),
            "suspects": self.suspects.report(now, Scope::All),
            "pools": pools,
            "rooms": self.room_report(now),
            "queues": self.queue_report(),
            "zones": self.zones.dump(),
            "members": members,
        })
    }
}

/// The refusal of a request that is blocked for this time.
fn refuse_blocked(wait: Duration) -> Refusal {
    Refusal { reason: Reason::Crashes, status: 503, retry_after: Some(wait) }
}

fn refuse_unmatched(unmatched: Unmatched) -> Refusal {
    let (reason, status) = match unmatched {
        Unmatched::Route => (Reason::Unrouted, 404),
        Unmatched::Key => (Reason::Unauthorized, 401),
    };
    Refusal { reason, status, retry_after: None }
}
