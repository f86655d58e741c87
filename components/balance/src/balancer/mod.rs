//! The decisions of an entry: admission, choice, retries and what it believes.

mod peers;
mod retry;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::{Name, Position};

use crate::budget::Budget;
use crate::choice::{self, Need};
use crate::config::{Config, Unmatched};
use crate::content::Kind;
use crate::crash::Register;
use crate::gossip::Work;
use crate::hold;
use crate::member::Member;
use crate::notice::{Notices, Start};
use crate::pace::Pace;
use crate::slow;
use crate::ticket::{Reason, Refusal, Submission, Target, Ticket};
use crate::view::{Update, View};

/// Share of the platform's retry budget that is used. The rest covers entries
/// that don't know of each other for a moment.
const BUDGET_USED: f64 = 0.5;

/// Share of the slack of one window that an entry may save up.
const BUDGET_SAVED: f64 = 0.35;

/// Time since an entry was last heard after which it has no share of what all
/// entries have together.
const PEER_LIFETIME: Duration = Duration::from_secs(8);

/// Entries that follow the store. More than one, so that the loss of one
/// delays nothing.
const FOLLOWERS: usize = 2;

/// Time since the store answered an entry after which that entry no longer
/// counts as following. Longer than a watch waits.
const STORE_LIFETIME: Duration = Duration::from_millis(2800);

/// Silence of an entry after which it no longer counts as following.
const HEARD_LIFETIME: Duration = Duration::from_millis(700);

/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(100);

/// Least time left for which an attempt is worth sending.
const WORTH_SENDING: Duration = Duration::from_millis(20);

/// Limits that all entries keep together. From the platform's settings.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Retries allowed in a window besides.
    pub retry_slack: f64,
    /// Length of the window.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "retry_window_ms")]
    pub retry_window: Duration,
}

/// Who the entry is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of its host.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Link at which it takes frames.
    pub link: Name,
    /// Links of entries that may be there at the start.
    pub seeds: Vec<Name>,
    /// Limits that all entries keep together.
    pub limits: Limits,
    /// How long knowledge is held that a restored store lost.
    pub holds: hold::Bounds,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Another entry.
#[derive(Clone, Debug)]
struct Neighbour {
    link: Name,
    heard: Duration,
    incarnation: u64,
    /// When the store last answered it, as it said.
    store_heard: Option<Duration>,
}

/// A kind in which some other entry knows more.
#[derive(Clone, Copy, Debug)]
struct Behind {
    since: Duration,
    asked: Option<Duration>,
}

/// The state of an entry.
pub struct Balancer {
    options: Options,
    view: View,
    members: BTreeMap<Name, Member>,
    budgets: BTreeMap<Name, Budget>,
    paces: BTreeMap<Name, Pace>,
    neighbours: BTreeMap<Name, Neighbour>,
    behind: BTreeMap<Kind, Behind>,
    crashes: Register,
    notices: Notices,
    slow: slow::Register,
    rng: ChaCha8Rng,
    store_heard: Option<Duration>,
    /// The latest era of the store that another entry told of.
    heard_era: u64,
    leaving: bool,
}

impl Balancer {
    /// An entry that knows nothing yet.
    pub fn new(options: Options) -> Balancer {
        Balancer {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            view: View::new(options.holds),
            options,
            members: BTreeMap::new(),
            budgets: BTreeMap::new(),
            paces: BTreeMap::new(),
            neighbours: BTreeMap::new(),
            behind: BTreeMap::new(),
            crashes: Register::default(),
            notices: Notices::default(),
            slow: slow::Register::default(),
            store_heard: None,
            heard_era: 0,
            leaving: false,
        }
    }

    /// Whether requests can be served: a configuration and the servers are known.
    pub fn is_ready(&self) -> bool {
        !self.leaving && self.view.config().is_some() && self.view.is_known(Kind::Server)
    }

    /// Takes over changed limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.options.limits = limits;
    }

    /// The entry stops: it is not ready any more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the entry is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// The configuration in force here.
    pub fn config(&self) -> Option<&Config> {
        self.view.config()
    }

    /// The position up to which a kind is known.
    pub fn position(&self, kind: Kind) -> Position {
        self.view.position(kind)
    }

    /// The latest era of the store that is known.
    pub fn era(&self) -> u64 {
        let eras = Kind::ALL.iter().map(|kind| self.position(*kind).era);
        eras.fold(self.heard_era, u64::max)
    }

    /// Notes that the store answers again after an outage.
    pub fn record_reconnect(&mut self, now: Duration) {
        self.view.record_reconnect(now);
    }

    /// Notes that the store answered.
    pub fn record_store_reply(&mut self, now: Duration) {
        self.store_heard = Some(now);
    }

    /// Whether this entry follows the store itself: so do the first entries in
    /// the order of names that the store answers. The others learn from them.
    pub fn follows_store(&self, now: Duration) -> bool {
        if !self.view.is_known(Kind::Config) || !self.view.is_known(Kind::Server) {
            return true;
        }
        let earlier = self.neighbours.iter().filter(|(name, other)| {
            let answers = other.store_heard.is_some_and(|heard| now < heard + STORE_LIFETIME);
            **name < self.options.name && now < other.heard + HEARD_LIFETIME && answers
        });
        earlier.count() < FOLLOWERS
    }

    /// Takes in what the store or another entry says. Returns whether anything
    /// changed.
    pub fn apply(&mut self, now: Duration, update: Update) -> bool {
        let changed = self.view.apply(now, update);
        if changed {
            self.refresh_members(now);
        }
        changed
    }

    fn refresh_members(&mut self, now: Duration) {
        let servers = self.view.servers(now);
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

    /// Finds route, account and pool of a request.
    ///
    /// # Errors
    ///
    /// The final answer, if the request can't be admitted.
    pub fn admit(&mut self, now: Duration, submission: &Submission<'_>) -> Result<Ticket, Refusal> {
        let Some(config) = self.view.config() else {
            return Err(self.refuse_not_run(Reason::Unconfigured, submission.caller_timeout));
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
        let mut ticket = Ticket {
            route: route.name.clone(),
            pool: Name::default(),
            account: account.map(|account| account.name.clone()),
            kind: route.kind,
            arrived: now,
            deadline: now + time_limit,
            objective: route.objective,
            gap: route.gap,
            attempts_left: route.attempts.max(1),
            tried: Vec::new(),
            may_have_run: false,
            begun: false,
            prompt_tokens: submission.prompt_tokens,
            fingerprint: submission.fingerprint,
        };
        ticket.pool = self.draw_pool(&shares);
        if self.crashes.is_barred(now, submission.fingerprint) {
            return Err(self.refuse_not_run(Reason::Crashes, Some(time_limit)));
        }
        self.budget(now, &ticket.pool).earn(now);
        if ticket.kind.is_stream() {
            self.paces.entry(ticket.pool.clone()).or_default().accept(ticket.gap);
        }
        Ok(ticket)
    }

    /// A pool by the weights of a route.
    fn draw_pool(&mut self, shares: &[(Name, u32)]) -> Name {
        let total: u32 = shares.iter().map(|(_, weight)| weight).sum();
        let mut drawn = if total > 0 { self.rng.random_range(0..total) } else { 0 };
        for (pool, weight) in shares {
            if drawn < *weight {
                return pool.clone();
            }
            drawn -= weight;
        }
        shares.first().map_or(Name::default(), |(pool, _)| pool.clone())
    }

    /// The backend server for the first attempt.
    ///
    /// # Errors
    ///
    /// The final answer, if there is none.
    pub fn choose(&mut self, now: Duration, ticket: &mut Ticket) -> Result<Target, Refusal> {
        if now + WORTH_SENDING >= ticket.deadline {
            return Err(self.refuse(now, ticket, Reason::DeadlineExceeded));
        }
        match self.pick(now, ticket) {
            Ok(server) => Ok(self.send(now, ticket, server)),
            Err(reason) => Err(self.refuse(now, ticket, reason)),
        }
    }

    fn pick(&mut self, now: Duration, ticket: &Ticket) -> Result<Name, Reason> {
        let entries = self.entries(now);
        let pool = self.view.config().and_then(|config| config.pools.get(&ticket.pool));
        let cold_rate = pool.map_or(0.0, |pool| pool.cold_rate);
        let engine = pool.and_then(|pool| pool.engine);
        let share = self.paces.get(&ticket.pool).map_or(1.0, |pace| pace.share(now));
        let need = Need { zone: &self.options.zone, engine: engine.as_ref(), share };
        let view = &self.view;
        let is_barred =
            |start: &Start| self.notices.is_barred(now, start) || view.is_held(now, start);
        let usable = |(name, member): &(&Name, &mut Member)| {
            member.server.pool == ticket.pool
                && member.is_usable(now)
                && !is_barred(&member.start(name))
                && !ticket.tried.contains(name)
                && !view.is_zone_out(now, &member.server.zone)
        };
        let (mut any, mut cold) = (false, false);
        let mut offered = Vec::new();
        for (name, member) in self.members.iter_mut().filter(usable) {
            any = true;
            if member.is_cold(now)
                && cold_rate > 0.0
                && !member.bucket.is_open(now, cold_rate, entries)
            {
                cold = true;
                continue;
            }
            offered.push(name.clone());
        }
        let slowness = |name: &Name| self.slow.of(now, self.members[name].server.group.as_ref());
        let fastest = offered.iter().map(slowness).fold(f64::INFINITY, f64::min);
        let takes_more = |name: &&Name| {
            !choice::is_full(now, &self.members[*name], need)
                && !slow::is_spared(slowness(name), fastest)
        };
        let open: Vec<&Name> = offered.iter().filter(takes_more).collect();
        let scored = open.into_iter().map(|name| (name, &self.members[name]));
        match choice::least(now, scored, need, &mut self.rng) {
            Some(server) => Ok(server),
            None if !offered.is_empty() => Err(Reason::Full),
            None if cold => Err(Reason::Cold),
            None if any => Err(Reason::Full),
            None => Err(Reason::NoServer),
        }
    }

    /// Counts an attempt at a server.
    fn send(&mut self, now: Duration, ticket: &mut Ticket, server: Name) -> Target {
        ticket.attempts_left = ticket.attempts_left.saturating_sub(1);
        ticket.tried.push(server.clone());
        let member = self.members.get_mut(&server).expect("chosen from the members");
        let cold = member.is_cold(now);
        if cold {
            member.bucket.take();
        }
        let open = member.work(now).open;
        let work = Work { open: 1, tokens: ticket.prompt_tokens };
        member.own = member.own.plus(work);
        Target {
            address: member.server.address,
            started_ms: member.server.started_ms,
            server,
            open,
            cold,
        }
    }

    /// A server says in an answer that it leaves: it gets nothing more, whatever
    /// the store says of it, until it has started again. Returns whether that
    /// is news.
    pub fn record_leaving(&mut self, now: Duration, start: Start) -> bool {
        self.notices.leave(now, start)
    }

    /// A server that turned a request away wants none for a while. Returns
    /// whether that is news.
    pub fn record_backoff(&mut self, now: Duration, start: Start, wait: Duration) -> bool {
        self.notices.back_off(now, start, wait)
    }

    /// The first event or the whole answer of an attempt has come.
    pub fn record_first_event(&mut self, server: &str, prompt_tokens: u32) {
        if let Some(member) = self.members.get_mut(server) {
            member.own.tokens = member.own.tokens.saturating_sub(prompt_tokens);
        }
    }

    /// An event of a stream came `gap` after the one before. Returns the share
    /// of the usual limit of open requests that the pool takes, if it changed.
    pub fn record_gap(&mut self, now: Duration, pool: &Name, gap: Duration) -> Option<f64> {
        self.paces.entry(pool.clone()).or_default().note(now, gap)
    }

    /// Whether a pool is slow as a whole, or stands still although other
    /// servers of it have work. Then a stream that waits at `server` stays
    /// there: another one is as slow, and would read the prompt once more.
    pub fn is_slow(&self, now: Duration, pool: &str, server: &str) -> bool {
        let Some(pace) = self.paces.get(pool) else { return false };
        let busy = |(name, member): (&Name, &Member)| {
            name.as_str() != server && member.server.pool.as_str() == pool && member.own.open > 0
        };
        pace.is_slow(now) || (pace.is_still(now) && self.members.iter().any(busy))
    }

    /// An attempt at a server is over.
    pub fn release(&mut self, server: &str) {
        if let Some(member) = self.members.get_mut(server) {
            member.own.open = member.own.open.saturating_sub(1);
        }
    }

    fn budget(&mut self, now: Duration, pool: &Name) -> &mut Budget {
        let limits = self.options.limits;
        let window = limits.retry_window.as_secs_f64().max(1.0);
        let floor = BUDGET_USED * limits.retry_slack / window / self.entries(now) as f64;
        let ratio = BUDGET_USED * limits.retry_ratio;
        let saved = BUDGET_SAVED * limits.retry_slack / self.entries(now) as f64;
        let fresh = || Budget::new(ratio, floor).with_saved(saved);
        let budget = self.budgets.entry(pool.clone()).or_insert_with(fresh);
        budget.set_share(now, floor, saved.max(1.0));
        budget
    }

    /// Drops what has grown old.
    pub fn tick(&mut self, now: Duration) {
        if self.view.has_lapsed() {
            self.refresh_members(now);
        }
        self.neighbours.retain(|_, other| now < other.heard + PEER_LIFETIME * 4);
        self.slow.sweep(now);
        self.view.sweep(now);
        let members = &self.members;
        self.notices.sweep(now, |start| members.contains_key(&start.server));
    }

    /// The state as JSON.
    pub fn dump(&self, now: Duration) -> serde_json::Value {
        let members: BTreeMap<_, _> =
            self.members.iter().map(|(name, member)| (name, member.show(now))).collect();
        let positions: BTreeMap<_, _> =
            Kind::ALL.iter().map(|kind| (format!("{kind:?}"), self.view.position(*kind))).collect();
        let pool = |(name, pace): (&Name, &Pace)| {
            let shown = serde_json::json!({
                "gap_ms": pace.gap().as_millis() as u64, "share": pace.share(now),
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
            "positions": positions,
            "zones_out": self.view.zones_out(now),
            "holds": self.view.told_holds(now),
            "pools": pools,
            "members": members,
        })
    }
}

fn refuse_unmatched(unmatched: Unmatched) -> Refusal {
    let (reason, status) = match unmatched {
        Unmatched::Route => (Reason::Unrouted, 404),
        Unmatched::Key => (Reason::Unauthorized, 401),
    };
    Refusal { reason, status, retry_after: None }
}
