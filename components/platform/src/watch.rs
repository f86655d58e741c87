//! Decides when to list and when to watch: a state machine without clock and I/O.
//!
//! Tables and host list each have a call schedule with at most one call in
//! flight. After a success, the next call starts no earlier than one interval
//! after the start of the last one, so that changes in between arrive in one
//! reply. One change completes the watches of all nodes at the same instant;
//! their next calls are spread over an interval. After a failure, the wait is a
//! random fraction of a bound that doubles with each failure (full jitter, see
//! Brooker, "Exponential Backoff and Jitter", 2015), so that the nodes of a fleet
//! don't all reconnect at once after an outage.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tables::{Host, Name};

use crate::{Changes, Error, Hosts, Update};

/// Limit on the exponent of the backoff, against overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Longest gap between the starts of two calls, in intervals, when changes come
/// faster than the interval.
const MAX_GAP_INTERVALS: f64 = 1.5;

/// Timing of a watch's calls. Times are in milliseconds in JSON.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Minimum time between the starts of two calls for the tables.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "interval_ms")]
    pub interval: Duration,
    /// Minimum time between the starts of two calls for the host list.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "hosts_interval_ms")]
    pub hosts_interval: Duration,
    /// Longest time for which the platform holds a call open without a change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub wait: Duration,
    /// Initial bound of the backoff, doubled with each failure.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_min_ms")]
    pub backoff_min: Duration,
    /// Maximum bound of the backoff.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_max_ms")]
    pub backoff_max: Duration,
    /// Time without a successful reply after which tables and host list count as
    /// stale. Must be longer than `wait`.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stale_after_ms")]
    pub stale_after: Duration,
    /// Seed of the jitter; must differ between nodes.
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

/// An event that a watch handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Result of [`Output::List`], an [`Update::Listing`].
    Listed(Result<Update, Error>),
    /// Result of [`Output::Watch`].
    Changed(Result<Changes, Error>),
    /// Result of [`Output::Hosts`].
    Hosts(Result<Hosts, Error>),
}

/// An action for the caller of [`Watch::step`].
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
        /// The revision; 0 requests the whole list at once.
        since: u64,
        /// The longest wait.
        wait: Duration,
    },
    /// Apply the update.
    Update(Update),
}

/// Counters of a watch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Listings started.
    pub listings: u64,
    /// Watches started, on tables and on the host list.
    pub watches: u64,
    /// Failed calls, including those with an unusable reply.
    pub failures: u64,
    /// Replies that were older than the local copy or, for the host list, left a
    /// gap after it.
    pub unusable_replies: u64,
}

/// State machine that keeps tables and host list up to date.
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
    tables: Schedule,
    hosts: Schedule,
    known_hosts: BTreeMap<Name, Host>,
    listed: bool,
    fresh: bool,
    counters: Counters,
}

/// Schedule of the calls for the tables or the host list; at most one call is in
/// flight.
#[derive(Debug, Default)]
struct Schedule {
    /// Start of the next call; `None` while one is in flight.
    due: Option<Duration>,
    /// Start of the last call.
    started: Duration,
    /// Time of the last successful reply.
    last_success: Option<Duration>,
    /// Consecutive failures since then.
    failures: u32,
    /// The revision of the last successful reply.
    revision: u64,
}

impl Watch {
    /// Creates a watch whose first calls are due at once.
    pub fn new(settings: Settings) -> Watch {
        let schedule = || Schedule { due: Some(Duration::ZERO), ..Schedule::default() };
        Watch {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            tables: schedule(),
            hosts: schedule(),
            known_hosts: BTreeMap::new(),
            listed: false,
            fresh: false,
            counters: Counters::default(),
        }
    }

    /// Handles an event and returns the actions to take, updates first.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => {}
            Input::Listed(result) => self.handle_listing(now, result, &mut outputs),
            Input::Changed(result) => self.handle_changes(now, result, &mut outputs),
            Input::Hosts(result) => self.handle_hosts(now, result, &mut outputs),
        }
        self.update_freshness(now, &mut outputs);
        self.start_table_call(now, &mut outputs);
        self.start_host_call(now, &mut outputs);
        outputs
    }

    /// Time of the next tick that the watch needs if no call completes earlier.
    pub fn next_tick(&self) -> Option<Duration> {
        let stale = self.fresh.then(|| self.stale_at()).flatten();
        [self.tables.due, self.hosts.due, stale].into_iter().flatten().min()
    }

    /// The revision of the tables.
    pub fn revision(&self) -> u64 {
        self.tables.revision
    }

    /// Whether, at the last step, both tables and host list had a successful reply
    /// within `stale_after`.
    pub fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Counters since the watch was created.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn handle_listing(
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

    fn handle_changes(
        &mut self,
        now: Duration,
        result: Result<Changes, Error>,
        outputs: &mut Vec<Output>,
    ) {
        let since = self.tables.revision;
        match result {
            Ok(changes) if changes.revision >= since => {
                let newer = changes.revision > since;
                let due = self.next_call_time(now, self.tables.started, self.settings.interval);
                self.tables.succeed(now, changes.revision, due);
                if newer {
                    outputs.push(Output::Update(Update::from_changes(since, changes)));
                }
            }
            Ok(_) => self.fail_tables(now, None),
            Err(error) => self.fail_tables(now, Some(error)),
        }
    }

    fn handle_hosts(
        &mut self,
        now: Duration,
        result: Result<Hosts, Error>,
        outputs: &mut Vec<Output>,
    ) {
        match result {
            Ok(hosts) if self.is_applicable(&hosts) => {
                let revision = hosts.revision;
                let newer = revision > self.hosts.revision || self.hosts.last_success.is_none();
                hosts.apply(self.hosts.revision, &mut self.known_hosts);
                let due =
                    self.next_call_time(now, self.hosts.started, self.settings.hosts_interval);
                self.hosts.succeed(now, revision, due);
                if newer {
                    let hosts = self.known_hosts.values().cloned().collect();
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

    /// Whether a reply is not older than the local list and leaves no gap after it.
    fn is_applicable(&self, hosts: &Hosts) -> bool {
        hosts.revision >= self.hosts.revision && hosts.since <= self.hosts.revision
    }

    /// Records a failed call; no error stands for an outdated reply.
    fn fail_tables(&mut self, now: Duration, error: Option<Error>) {
        self.count_failure(error.is_none());
        let lists_again =
            error.as_ref().is_some_and(|error| *error == Error::Gone || error.is_lasting());
        // The answer to the same watch only grows. A listing has nothing but the latest
        // state.
        if lists_again {
            self.listed = false;
        }
        let backoff = self.backoff(self.tables.failures, error.as_ref());
        self.tables.fail(now, backoff);
    }

    fn count_failure(&mut self, unusable: bool) {
        self.counters.failures += 1;
        self.counters.unusable_replies += u64::from(unusable);
    }

    fn backoff(&mut self, failures: u32, error: Option<&Error>) -> Duration {
        let doubled = self.settings.backoff_min * (1 << failures.min(MAX_DOUBLINGS));
        let bound = doubled.min(self.settings.backoff_max);
        let jitter = bound.mul_f64(self.rng.random::<f64>());
        match error {
            Some(Error::Busy { retry_after }) => *retry_after + jitter,
            _ => jitter,
        }
    }

    /// Start of the next call after a success: 1 to 1.5 intervals after the start of
    /// the last call, but no earlier than a random part of an interval from now.
    /// A change completes the watches of all nodes at the same instant; without
    /// jitter, their next calls would also start at the same instant.
    fn next_call_time(&mut self, now: Duration, started: Duration, interval: Duration) -> Duration {
        let gap = interval.mul_f64(self.rng.random_range(1.0..MAX_GAP_INTERVALS));
        let spread = interval.mul_f64(self.rng.random::<f64>());
        (started + gap).max(now + spread)
    }

    fn update_freshness(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        let fresh = self.stale_at().is_some_and(|stale_at| now < stale_at);
        if fresh != self.fresh {
            self.fresh = fresh;
            outputs.push(Output::Update(if fresh { Update::Fresh } else { Update::Stale }));
        }
    }

    /// Time from which tables and host list count as stale; `None` until both had
    /// a successful reply.
    fn stale_at(&self) -> Option<Duration> {
        let last_success = self.tables.last_success?.min(self.hosts.last_success?);
        Some(last_success + self.settings.stale_after)
    }

    fn start_table_call(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if !self.tables.start_if_due(now) {
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

    fn start_host_call(&mut self, now: Duration, outputs: &mut Vec<Output>) {
        if self.hosts.start_if_due(now) {
            self.counters.watches += 1;
            outputs.push(Output::Hosts { since: self.hosts.revision, wait: self.settings.wait });
        }
    }
}

impl Schedule {
    /// Starts a call if one is due; returns whether it did.
    fn start_if_due(&mut self, now: Duration) -> bool {
        if self.due.is_none_or(|due| now < due) {
            return false;
        }
        self.due = None;
        self.started = now;
        true
    }

    fn succeed(&mut self, now: Duration, revision: u64, due: Duration) {
        self.last_success = Some(now);
        self.failures = 0;
        self.revision = revision;
        self.due = Some(due);
    }

    fn fail(&mut self, now: Duration, backoff: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.due = Some(now + backoff);
    }
}
