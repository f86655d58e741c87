//! Queue of the requests that wait at an entry for room in a pool.
//!
//! The load pattern: for some time more requests arrive than the pool can hold. An
//! engine's own queue can't be reordered, so requests wait here, the most urgent first
//! and in turn between client accounts (start-time fair queueing).

use std::collections::BTreeMap;
use std::time::Duration;

use tables::Name;

use crate::urgency::Urgency;

/// One of this many grants goes to the request that has waited longest, so that less
/// urgent requests are served too.
const AGED_GRANT_INTERVAL: u32 = 8;

/// Weight of the latest interval in the mean interval between dispatches (moving
/// average).
const INTERVAL_WEIGHT: f64 = 0.1;

/// Interval between dispatches that is assumed at first, and at most.
const INTERVAL_MAX: Duration = Duration::from_millis(200);

/// Minimum time after which a refused caller should return: running requests end
/// within it.
const RETURN_MIN: Duration = Duration::from_millis(300);

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiter {
    /// Its urgency.
    pub urgency: Urgency,
    /// Its client account.
    pub account: Option<Name>,
    /// Time at which it arrived.
    pub arrived: Duration,
    /// Time until which it may wait.
    pub expires: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    waiter: Waiter,
    /// Start tag of fair queueing within its urgency.
    start: u64,
}

/// Progress of an urgency's fair queueing, in requests per account.
#[derive(Clone, Debug, Default)]
struct Fairness {
    now: u64,
    next: BTreeMap<Option<Name>, u64>,
}

/// The queue of one pool.
///
/// ```
/// use std::time::Duration;
/// use balance::queue::{Queue, Waiter};
/// use balance::urgency::Urgency;
/// let ms = Duration::from_millis;
/// let waiter = |route| Waiter {
///     urgency: Urgency { account: 0, route },
///     account: None,
///     arrived: ms(0),
///     expires: ms(200),
/// };
/// let mut queue = Queue::new(2);
/// assert_eq!(queue.push(1, waiter(2)), Ok(None));
/// assert_eq!(queue.push(2, waiter(1)), Ok(None));
/// assert_eq!(queue.push(3, waiter(0)), Ok(Some(1)), "the least urgent one is displaced");
/// assert_eq!(queue.push(4, waiter(2)), Err(balance::queue::Full));
/// assert_eq!(queue.front(ms(0)), Some(3));
/// ```
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    entries: BTreeMap<u64, Entry>,
    fairness: BTreeMap<Urgency, Fairness>,
    /// Grants since the last one that went to the longest waiting request.
    grants: u32,
    last_dispatch: Option<Duration>,
    interval: Duration,
    /// Time at which the latest refused caller of each urgency is told to return.
    returns: BTreeMap<Urgency, Duration>,
}

/// The queue has no place for a request of this urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue is full")]
pub struct Full;

impl Queue {
    /// An empty queue for `capacity` requests.
    pub fn new(capacity: usize) -> Queue {
        Queue {
            capacity,
            entries: BTreeMap::new(),
            fairness: BTreeMap::new(),
            grants: 0,
            last_dispatch: None,
            interval: INTERVAL_MAX,
            returns: BTreeMap::new(),
        }
    }

    /// Adds a request under an id that rises with each request. Returns the id of the
    /// least urgent request if it was displaced.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is no place, and none of a less urgent request.
    pub fn push(&mut self, id: u64, waiter: Waiter) -> Result<Option<u64>, Full> {
        let displaced = if self.entries.len() < self.capacity {
            None
        } else {
            Some(self.least_urgent(waiter.urgency).ok_or(Full)?)
        };
        if let Some(displaced) = displaced {
            self.entries.remove(&displaced);
        }
        let fairness = self.fairness.entry(waiter.urgency).or_default();
        let next = fairness.next.entry(waiter.account.clone()).or_default();
        let start = fairness.now.max(*next);
        *next = start + 1;
        self.entries.insert(id, Entry { waiter, start });
        Ok(displaced)
    }

    /// The newest of the least urgent requests, if these are less urgent than `urgency`.
    fn least_urgent(&self, urgency: Urgency) -> Option<u64> {
        let last = self.entries.iter().max_by_key(|(id, entry)| (entry.waiter.urgency, **id));
        last.filter(|(_, entry)| entry.waiter.urgency > urgency).map(|(id, _)| *id)
    }

    /// The request to be dispatched next.
    pub fn front(&self, now: Duration) -> Option<u64> {
        let live = self.entries.iter().filter(|(_, entry)| now < entry.waiter.expires);
        let front = if self.is_aged_turn() {
            live.min_by_key(|(id, _)| **id)
        } else {
            live.min_by_key(|(id, entry)| {
                let waiter = &entry.waiter;
                (waiter.urgency, entry.start, waiter.expires, **id)
            })
        };
        front.map(|(id, _)| *id)
    }

    /// Whether the next grant goes to the request that has waited longest.
    pub fn is_aged_turn(&self) -> bool {
        self.grants + 1 >= AGED_GRANT_INTERVAL
    }

    /// Whether a request is in the queue.
    pub fn contains(&self, id: u64) -> bool {
        self.entries.contains_key(&id)
    }

    /// Removes a request that is dispatched.
    pub fn grant(&mut self, id: u64) {
        let Some(entry) = self.entries.remove(&id) else { return };
        if let Some(fairness) = self.fairness.get_mut(&entry.waiter.urgency) {
            fairness.now = fairness.now.max(entry.start);
            let now = fairness.now;
            fairness.next.retain(|_, next| *next > now);
        }
        self.grants = if self.is_aged_turn() { 0 } else { self.grants + 1 };
    }

    /// Records that a request is dispatched, whether it has waited or not.
    pub fn record_dispatch(&mut self, now: Duration) {
        if let Some(last) = self.last_dispatch.replace(now) {
            let interval = now.saturating_sub(last).min(INTERVAL_MAX);
            self.interval =
                self.interval.mul_f64(1.0 - INTERVAL_WEIGHT) + interval.mul_f64(INTERVAL_WEIGHT);
        }
    }

    /// Removes a request that is not dispatched. Returns whether it waited.
    pub fn remove(&mut self, id: u64) -> bool {
        self.entries.remove(&id).is_some()
    }

    /// Time after which a refused caller of this urgency should return. Those of one
    /// urgency return one after the other, at the rate at which requests are dispatched,
    /// and after those who were refused before.
    pub fn schedule_return(&mut self, now: Duration, urgency: Urgency) -> Duration {
        let at = self.returns.entry(urgency).or_default();
        *at = (*at + self.interval).max(now + RETURN_MIN);
        *at - now
    }

    /// Number of waiting requests that are at least as urgent.
    pub fn ahead(&self, urgency: Urgency) -> usize {
        self.entries.values().filter(|entry| entry.waiter.urgency <= urgency).count()
    }

    /// Expected wait of a request that arrives now, by the rate of dispatches.
    pub fn expected_wait(&self, urgency: Urgency) -> Duration {
        self.interval * self.ahead(urgency) as u32
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
