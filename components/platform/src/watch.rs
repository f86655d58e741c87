//! When to list and when to watch: a state machine without clock and socket.
//!
//! Two pollers run side by side, one for the tables and one for the host list.
//! Each has at most one call under way. A poller that succeeds calls again, but
//! not before its interval has passed since its last call: changes that come
//! meanwhile arrive together. Nodes that one change answered at one instant call
//! again spread over an interval. A poller that fails calls again after a random
//! part of a bound that doubles with each failure (full jitter, after Brooker,
//! "Exponential Backoff and Jitter", 2015), so that all nodes of a fleet don't
//! come back at once after an outage.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::{Host, Name};

use crate::{Changes, Error, Hosts, Update};

/// Most doublings of the bound of the backoff.
const DOUBLINGS: u32 = 16;

/// Longest gap between the beginnings of two calls, in intervals, when changes
/// come faster than the interval.
const GAP_LIMIT: f64 = 1.5;

/// How a watch paces its calls. Times are in milliseconds in JSON.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Least time between two calls for the tables.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "interval_ms")]
    pub interval: Duration,
    /// Least time between two calls for the host list.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hosts_interval_ms")]
    pub hosts_interval: Duration,
    /// Longest time that the platform holds a call without a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub wait: Duration,
    /// Bound of the wait after the first failure.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_min_ms")]
    pub backoff_min: Duration,
    /// Largest bound of the wait after failures.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_max_ms")]
    pub backoff_max: Duration,
    /// Time without a good reply after which what is known counts as stale.
    /// Longer than `wait`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stale_after_ms")]
    pub stale_after: Duration,
    /// Seed of the jitter; differs from node to node.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            interval: Duration::from_secs(2),
            hosts_interval: Duration::from_secs(5),
            wait: Duration::from_secs(20),
            backoff_min: Duration::from_millis(250),
            backoff_max: Duration::from_secs(5),
            stale_after: Duration::from_secs(30),
            seed: 0,
        }
    }
}

/// What a watch is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The listing of all kinds came back, an [`Update::Listing`].
    Listed(Result<Update, Error>),
    /// The watch came back.
    Changed(Result<Changes, Error>),
    /// The host list came back.
    Hosts(Result<Hosts, Error>),
}

/// What a watch wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// List all kinds of rows.
    List,
    /// Wait for changes after a revision.
    Watch {
        /// The revision.
        since: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// Wait for changes of the host list after a revision.
    Hosts {
        /// The revision; 0 asks for the list at once.
        since: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// Tell the owner.
    Update(Update),
}

/// What a watch counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Listings begun.
    pub listings: u64,
    /// Watches begun, on tables and on hosts.
    pub watches: u64,
    /// Calls that failed.
    pub failures: u64,
    /// Replies that were older than what is known.
    pub behind: u64,
}

/// Keeps tables and host list up to date.
///
/// ```
/// use std::time::Duration;
/// use platform::watch::{Input, Output, Settings, Watch};
///
/// let mut watch = Watch::new(Settings::default());
/// let outputs = watch.step(Duration::ZERO, Input::Tick);
/// assert!(outputs.contains(&Output::List));
/// ```
#[derive(Debug)]
pub struct Watch {
    settings: Settings,
    rng: ChaCha8Rng,
    tables: Poller,
    hosts: Poller,
    known: BTreeMap<Name, Host>,
    listed: bool,
    fresh: bool,
    counters: Counters,
}

/// One kind of call, of which at most one is under way.
#[derive(Debug, Default)]
struct Poller {
    /// When to call next; nothing while a call is under way.
    due: Option<Duration>,
    /// When the last call began.
    begun: Duration,
    /// When the last good reply came.
    heard: Option<Duration>,
    /// Failures since then.
    failures: u32,
    /// The revision up to which everything is known.
    revision: u64,
}

impl Watch {
    /// A watch that knows nothing yet and is due at once.
    pub fn new(settings: Settings) -> Watch {
        let due = || Poller { due: Some(Duration::ZERO), ..Poller::default() };
        Watch {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            tables: due(),
            hosts: due(),
            known: BTreeMap::new(),
            listed: false,
            fresh: false,
            counters: Counters::default(),
        }
    }

    /// Takes in what happened and says what to do. Updates come first.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => {}
            Input::Listed(result) => self.take_listing(now, result, &mut outputs),
            Input::Changed(result) => self.take_changes(now, result, &mut outputs),
            Input::Hosts(result) => self.take_hosts(now, result, &mut outputs),
        }
        self.judge_age(now, &mut outputs);
        self.call_tables(now, &mut outputs);
        self.call_hosts(now, &mut outputs);
        outputs
    }

    /// When the watch wants its next tick, if no call comes back before.
    pub fn wake(&self) -> Option<Duration> {
        let stale = self.fresh.then(|| self.stale_at()).flatten();
        [self.tables.due, self.hosts.due, stale].into_iter().flatten().min()
    }

    /// The revision up to which the tables are known.
    pub fn revision(&self) -> u64 {
        self.tables.revision
    }

    /// Whether the platform was heard lately.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// The counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn take_listing(
        &mut self,
        now: Duration,
        result: Result<Update, Error>,
        outputs: &mut Vec<Output>,
    ) {
        match result {
            Ok(Update::Listing { revision, rows, malformed })
                if revision >= self.tables.revision =>
            {
                self.tables.succeed(now, revision, now);
                self.listed = true;
                outputs.push(Output::Update(Update::Listing { revision, rows, malformed }));
            }
            Ok(_) => self.fail_tables(now, None),
            Err(error) => self.fail_tables(now, Some(error)),
        }
    }

    fn take_changes(
        &mut self,
        now: Duration,
        result: Result<Changes, Error>,
        outputs: &mut Vec<Output>,
    ) {
        let since = self.tables.revision;
        match result {
            Ok(changes) if changes.revision >= since => {
                let newer = changes.revision > since;
                let due = self.rearm(now, self.tables.begun, self.settings.interval);
                self.tables.succeed(now, changes.revision, due);
                if newer {
                    outputs.push(Output::Update(Update::of_changes(since, changes)));
                }
            }
            Ok(_) => self.fail_tables(now, None),
            Err(error) => self.fail_tables(now, Some(error)),
        }
    }

    fn take_hosts(
        &mut self,
        now: Duration,
        result: Result<Hosts, Error>,
        outputs: &mut Vec<Output>,
    ) {
        match result {
            Ok(hosts) if self.fits(&hosts) => {
                let revision = hosts.revision;
                let newer = revision > self.hosts.revision || self.hosts.heard.is_none();
                hosts.apply(self.hosts.revision, &mut self.known);
                let due = self.rearm(now, self.hosts.begun, self.settings.hosts_interval);
                self.hosts.succeed(now, revision, due);
                if newer {
                    let hosts = self.known.values().cloned().collect();
                    outputs.push(Output::Update(Update::Hosts { revision, hosts }));
                }
            }
            result => {
                self.count_failure(result.is_ok());
                let backoff = self.backoff(self.hosts.failures, result.err().as_ref());
                self.hosts.fail(now, backoff);
            }
        }
    }

    /// Whether a reply is not older than what is known and leaves no gap.
    fn fits(&self, hosts: &Hosts) -> bool {
        hosts.revision >= self.hosts.revision && hosts.since <= self.hosts.revision
    }

    /// No error means that the reply was older than what is known.
    fn fail_tables(&mut self, now: Duration, error: Option<Error>) {
        self.count_failure(error.is_none());
        if error == Some(Error::Gone) {
            self.listed = false;
        }
        let backoff = self.backoff(self.tables.failures, error.as_ref());
        self.tables.fail(now, backoff);
    }

    fn count_failure(&mut self, behind: bool) {
        self.counters.failures += 1;
        self.counters.behind += u64::from(behind);
    }

    fn backoff(&mut self, failures: u32, error: Option<&Error>) -> Duration {
        let doubled = self.settings.backoff_min * (1 << failures.min(DOUBLINGS));
        let bound = doubled.min(self.settings.backoff_max);
        let jitter = bound.mul_f64(self.rng.random::<f64>());
        match error {
            Some(Error::Busy { retry_after }) => *retry_after + jitter,
            _ => jitter,
        }
    }

    /// When to call again after a good reply: one to one and a half intervals
    /// after the last call began, and at a random time of the interval from
    /// now. A change answers the waiting calls of all nodes at one instant, so
    /// without the random parts all would call again at one instant, too.
    fn rearm(&mut self, now: Duration, begun: Duration, interval: Duration) -> Duration {
        let gap = interval.mul_f64(self.rng.random_range(1.0..GAP_LIMIT));
        let spread = interval.mul_f64(self.rng.random::<f64>());
        (begun + gap).max(now + spread)
    }

    fn judge_age(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let fresh = self.stale_at().is_some_and(|stale_at| now < stale_at);
        if fresh != self.fresh {
            self.fresh = fresh;
            outputs.push(Output::Update(if fresh { Update::Fresh } else { Update::Stale }));
        }
    }

    /// When what is known counts as stale; nothing until both pollers were heard.
    fn stale_at(&self) -> Option<Duration> {
        let heard = self.tables.heard?.min(self.hosts.heard?);
        Some(heard + self.settings.stale_after)
    }

    fn call_tables(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if !self.tables.begin(now) {
            return;
        }
        if self.listed {
            self.counters.watches += 1;
            outputs.push(Output::Watch { since: self.tables.revision, wait: self.settings.wait });
        } else {
            self.counters.listings += 1;
            outputs.push(Output::List);
        }
    }

    fn call_hosts(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.hosts.begin(now) {
            self.counters.watches += 1;
            outputs.push(Output::Hosts { since: self.hosts.revision, wait: self.settings.wait });
        }
    }
}

impl Poller {
    fn begin(&mut self, now: Duration) -> bool {
        if self.due.is_none_or(|due| now < due) {
            return false;
        }
        self.due = None;
        self.begun = now;
        true
    }

    fn succeed(&mut self, now: Duration, revision: u64, due: Duration) {
        self.heard = Some(now);
        self.failures = 0;
        self.revision = revision;
        self.due = Some(due);
    }

    fn fail(&mut self, now: Duration, backoff: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.due = Some(now + backoff);
    }
}
