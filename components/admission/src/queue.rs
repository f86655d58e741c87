//! Queue of requests that wait for a backend server, fair among client accounts.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) shares the backend
//! server by weight; interactive requests precede batch requests. An account
//! may hold no more places than are still free (Choudhury and Hahne, "Dynamic
//! queue length thresholds", 1998), so that a flood leaves places for others.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tables::Name;
use wire::Class;

use crate::scheduler::Scheduler;

/// Default capacity of a queue, in requests.
pub const DEFAULT_CAPACITY: usize = 256;
/// Divisor of the capacity that gives the places reserved for batch requests.
const BATCH_DIVISOR: usize = 4;
/// Divisor of the limit that gives the share reserved for accounts without a
/// backlog.
const RESERVE_DIVISOR: u32 = 8;
/// Divisor that gives the weight of a new observation in a moving average.
const SMOOTHING_DIVISOR: u32 = 8;
/// Service time assumed until one was observed.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(100);

/// A waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Number assigned by the owner of the queue.
    pub ticket: u64,
    /// Client account of the request.
    pub account: Name,
    /// Weight of the account.
    pub weight: u32,
    /// Priority class.
    pub class: Class,
    /// When the request expires, since the start of the process.
    pub deadline: Duration,
    /// Cost of running it, in units chosen by the owner of the queue.
    pub cost: u32,
}

/// Why a request can't be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Full {
    /// All places of the request's class are taken.
    #[error("the queue is full")]
    Queue,
    /// The account holds at least as many places as are free.
    #[error("the account has used up its share of the queue")]
    Share,
}

/// The queue of one backend server.
#[derive(Clone, Debug)]
pub struct Queue {
    interactive: Scheduler,
    batch: Scheduler,
    tickets: HashMap<u64, (Class, Name)>,
    deadlines: BTreeSet<(Duration, u64)>,
    expired: Vec<Item>,
    mean_service_time: Option<Duration>,
    /// Mean time between two pops while requests wait.
    mean_pop_interval: Option<Duration>,
    last_pop: Option<Duration>,
}

impl Default for Queue {
    /// Creates an empty queue of [`DEFAULT_CAPACITY`] places.
    fn default() -> Queue {
        Queue::new(DEFAULT_CAPACITY)
    }
}

impl Queue {
    /// Creates an empty queue of `capacity` places.
    pub fn new(capacity: usize) -> Queue {
        let batch = capacity / BATCH_DIVISOR;
        Queue {
            interactive: Scheduler::new(capacity - batch),
            batch: Scheduler::new(batch),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            mean_service_time: None,
            mean_pop_interval: None,
            last_pop: None,
        }
    }

    /// Queues a request, or refuses it if its class or its account has no place left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use admission::queue::{Item, Queue};
    /// let mut queue = Queue::new(8);
    /// let item = Item {
    ///     ticket: 1,
    ///     account: "shop".into(),
    ///     weight: 1,
    ///     class: wire::Class::Interactive,
    ///     deadline: Duration::from_secs(1),
    ///     cost: 10,
    /// };
    /// queue.push(Duration::ZERO, item.clone()).unwrap();
    /// assert_eq!(queue.pop(Duration::ZERO), Some(item));
    /// ```
    pub fn push(&mut self, now: Duration, item: Item) -> Result<(), Full> {
        let scheduler = self.scheduler(item.class);
        if scheduler.is_full() {
            return Err(Full::Queue);
        }
        if scheduler.is_over_share(&item.account) {
            return Err(Full::Share);
        }
        self.tickets.insert(item.ticket, (item.class, item.account.clone()));
        self.deadlines.insert((item.deadline, item.ticket));
        self.scheduler_mut(item.class).push(now, item);
        Ok(())
    }

    /// Removes and returns the next request to run that has not expired.
    pub fn pop(&mut self, now: Duration) -> Option<Item> {
        self.take_next(now, false)
    }

    /// Removes and returns the next request to run on a backend server that runs
    /// `running` requests and may run `limit`. The last eighth of the limit is
    /// reserved for accounts without a backlog while several accounts are active,
    /// and for interactive requests while any arrived recently.
    pub fn next(&mut self, now: Duration, running: u32, limit: u32) -> Option<Item> {
        let free = limit.saturating_sub(running);
        if free == 0 {
            return None;
        }
        self.take_next(now, free <= limit / RESERVE_DIVISOR)
    }

    fn take_next(&mut self, now: Duration, scarce: bool) -> Option<Item> {
        self.collect_expired(now);
        let item = match scarce {
            false => self.interactive.pop().or_else(|| self.batch.pop())?,
            true if self.interactive.has_recent_arrival(now) => {
                self.interactive.pop_without_backlog(now)?
            }
            true => self.batch.pop_without_backlog(now)?,
        };
        self.tickets.remove(&item.ticket);
        self.deadlines.remove(&(item.deadline, item.ticket));
        if let Some(last_pop) = self.last_pop {
            self.mean_pop_interval =
                Some(moving_average(self.mean_pop_interval, now.saturating_sub(last_pop)));
        }
        self.last_pop = if self.tickets.is_empty() { None } else { Some(now) };
        Some(item)
    }

    /// Removes and returns all requests whose deadline has passed, including those
    /// that [`Queue::pop`] and [`Queue::next`] skipped.
    pub fn expire(&mut self, now: Duration) -> Vec<Item> {
        self.collect_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes one request; returns whether it was queued.
    pub fn remove(&mut self, ticket: u64) -> bool {
        self.take_ticket(ticket).is_some()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Estimates the wait of a request of this class and account that arrives now:
    /// zero while no request of its class or a more urgent one waits.
    pub fn estimated_wait(&self, _now: Duration, class: Class, account: &str) -> Duration {
        let interactive_waiting = self.interactive.len();
        let (waiting, ahead) = match class {
            Class::Interactive => (interactive_waiting, self.interactive.requests_ahead(account)),
            Class::Batch => (
                interactive_waiting + self.batch.len(),
                interactive_waiting as f64 + self.batch.requests_ahead(account),
            ),
        };
        if waiting == 0 {
            return Duration::ZERO;
        }
        let interval =
            self.mean_pop_interval.or(self.mean_service_time).unwrap_or(DEFAULT_SERVICE_TIME);
        interval.mul_f64(ahead + 1.0)
    }

    /// Records how long a request occupied the backend server. Used for
    /// [`Queue::estimated_wait`] until the queue's own rate is known.
    pub fn record_service_time(&mut self, _now: Duration, time: Duration) {
        self.mean_service_time = Some(moving_average(self.mean_service_time, time));
    }

    fn collect_expired(&mut self, now: Duration) {
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let item = self.take_ticket(ticket);
            self.expired.extend(item);
        }
    }

    fn take_ticket(&mut self, ticket: u64) -> Option<Item> {
        let (class, account) = self.tickets.remove(&ticket)?;
        let item = self.scheduler_mut(class).remove_request(&account, ticket)?;
        self.deadlines.remove(&(item.deadline, ticket));
        Some(item)
    }

    fn scheduler(&self, class: Class) -> &Scheduler {
        match class {
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        }
    }

    fn scheduler_mut(&mut self, class: Class) -> &mut Scheduler {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }
}

fn moving_average(mean: Option<Duration>, value: Duration) -> Duration {
    match mean {
        Some(mean) => (mean * (SMOOTHING_DIVISOR - 1) + value) / SMOOTHING_DIVISOR,
        None => value,
    }
}
