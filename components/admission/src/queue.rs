//! Requests that wait for a backend server: fair among client accounts.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) shares the backend
//! server by weight; interactive requests go before batch. One account may
//! hold no more places than are still free (Choudhury and Hahne, "Dynamic
//! queue length thresholds", 1998), so a flood leaves room for the others.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tables::Name;
use wire::Class;

use crate::scheduler::Lane;

/// Places of a queue by default.
pub const PLACES: usize = 256;
/// Share of the places that is kept for batch requests.
const BATCH_SHARE: usize = 4;
/// Part of the limit that is kept for accounts without a backlog, as a
/// divisor.
const RESERVE_SHARE: u32 = 8;
/// Weight of a new observation in a mean, as a divisor.
const SMOOTHING: u32 = 8;
/// Service time assumed before one was observed.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// A request that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The caller's number for the request.
    pub ticket: u64,
    /// The client account.
    pub account: Name,
    /// The account's weight.
    pub weight: u32,
    /// How urgent it is.
    pub class: Class,
    /// When waiting no longer makes sense, since the process's start.
    pub deadline: Duration,
    /// What it costs to run, in units of the caller's choice.
    pub cost: u32,
}

/// Why a request can't wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Full {
    /// All places of its class are taken.
    #[error("the queue is full")]
    Queue,
    /// Its account has all the places it may have now.
    #[error("the account has its share of the queue")]
    Share,
}

/// The requests that wait for one backend server.
#[derive(Clone, Debug)]
pub struct Queue {
    interactive: Lane,
    batch: Lane,
    tickets: HashMap<u64, (Class, Name)>,
    deadlines: BTreeSet<(Duration, u64)>,
    expired: Vec<Item>,
    service: Option<Duration>,
    gap: Option<Duration>,
    popped: Option<Duration>,
}

impl Default for Queue {
    /// An empty queue of [`PLACES`] places.
    fn default() -> Queue {
        Queue::new(PLACES)
    }
}

impl Queue {
    /// An empty queue of `most` places.
    pub fn new(most: usize) -> Queue {
        let batch = most / BATCH_SHARE;
        Queue {
            interactive: Lane::new(most - batch),
            batch: Lane::new(batch),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            expired: Vec::new(),
            service: None,
            gap: None,
            popped: None,
        }
    }

    /// Lets a request wait.
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
        let lane = self.lane(item.class);
        if lane.is_full() {
            return Err(Full::Queue);
        }
        if lane.is_over_share(&item.account) {
            return Err(Full::Share);
        }
        self.tickets.insert(item.ticket, (item.class, item.account.clone()));
        self.deadlines.insert((item.deadline, item.ticket));
        self.lane_mut(item.class).push(now, item);
        Ok(())
    }

    /// Takes the next request that should run; none that has expired.
    pub fn pop(&mut self, now: Duration) -> Option<Item> {
        self.take_next(now, false)
    }

    /// Takes the next request that should run beside `running` others at a
    /// backend server that runs at most `limit`. The last places are kept for
    /// accounts without a backlog, while several are active, and for interactive
    /// requests, while there are any.
    pub fn next(&mut self, now: Duration, running: u32, limit: u32) -> Option<Item> {
        let free = limit.saturating_sub(running);
        if free == 0 {
            return None;
        }
        self.take_next(now, free <= limit / RESERVE_SHARE)
    }

    fn take_next(&mut self, now: Duration, scarce: bool) -> Option<Item> {
        self.sweep(now);
        let item = match scarce {
            false => self.interactive.pop().or_else(|| self.batch.pop())?,
            true if self.interactive.is_active(now) => self.interactive.pop_small(now)?,
            true => self.batch.pop_small(now)?,
        };
        self.tickets.remove(&item.ticket);
        self.deadlines.remove(&(item.deadline, item.ticket));
        if let Some(popped) = self.popped {
            self.gap = Some(smooth(self.gap, now.saturating_sub(popped)));
        }
        self.popped = if self.tickets.is_empty() { None } else { Some(now) };
        Some(item)
    }

    /// Takes out all requests whose deadline has passed, also those that
    /// [`Queue::pop`] came upon.
    pub fn expire(&mut self, now: Duration) -> Vec<Item> {
        self.sweep(now);
        std::mem::take(&mut self.expired)
    }

    /// Takes out one request; says whether it was there.
    pub fn remove(&mut self, ticket: u64) -> bool {
        self.take(ticket).is_some()
    }

    /// The number of requests that wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// How long a request of this class and account that came now would wait:
    /// nothing while no request of its class or a more urgent one does.
    pub fn wait(&self, _now: Duration, class: Class, account: &str) -> Duration {
        let urgent = self.interactive.len();
        let (waiting, ahead) = match class {
            Class::Interactive => (urgent, self.interactive.ahead(account)),
            Class::Batch => (urgent + self.batch.len(), urgent as f64 + self.batch.ahead(account)),
        };
        if waiting == 0 {
            return Duration::ZERO;
        }
        let each = self.gap.or(self.service).unwrap_or(SERVICE_TIME);
        each.mul_f64(ahead + 1.0)
    }

    /// Takes in how long a request kept its place at the backend server; used
    /// for [`Queue::wait`] until the pace of the queue itself is known.
    pub fn observe(&mut self, _now: Duration, service_time: Duration) {
        self.service = Some(smooth(self.service, service_time));
    }

    fn sweep(&mut self, now: Duration) {
        while let Some((deadline, ticket)) = self.deadlines.first().copied() {
            if deadline > now {
                return;
            }
            let item = self.take(ticket);
            self.expired.extend(item);
        }
    }

    fn take(&mut self, ticket: u64) -> Option<Item> {
        let (class, account) = self.tickets.remove(&ticket)?;
        let item = self.lane_mut(class).take(&account, ticket)?;
        self.deadlines.remove(&(item.deadline, ticket));
        Some(item)
    }

    fn lane(&self, class: Class) -> &Lane {
        match class {
            Class::Interactive => &self.interactive,
            Class::Batch => &self.batch,
        }
    }

    fn lane_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Batch => &mut self.batch,
        }
    }
}

fn smooth(mean: Option<Duration>, value: Duration) -> Duration {
    match mean {
        Some(mean) => (mean * (SMOOTHING - 1) + value) / SMOOTHING,
        None => value,
    }
}
