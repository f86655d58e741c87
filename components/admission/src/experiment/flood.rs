//! Simulates ten accounts that share one engine, of which the largest floods it.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::Name;
use wire::Class;

use crate::baseline::Fifo;
use crate::queue::{Item, Queue};

/// Number of requests that the engine runs at once.
const CONCURRENCY_LIMIT: usize = 32;
/// Mean time for which a request occupies the engine.
const MEAN_SERVICE_S: f64 = 0.5;
/// Number of client accounts; the first is the largest.
const ACCOUNTS: usize = 10;
/// Offered load of all accounts before the flood, as a share of the capacity.
const OFFERED_LOAD: f64 = 0.7;
/// Share of the offered load that comes from the largest account.
const LARGEST_SHARE: f64 = 0.4;
/// Simulated time of a run.
const RUN_S: f64 = 120.0;
const STEP_S: f64 = 0.002;
const CALLER_TIMEOUT_S: f64 = 10.0;
const QUEUE_CAPACITY: usize = 256;

/// Queue discipline under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// [`Queue`] with slots reserved for accounts without a backlog.
    Fair,
    /// [`Queue`] without reserved slots.
    Plain,
    /// [`Fifo`].
    Fifo,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flood {
    /// 95th percentile of the time until the first token, including the wait, of
    /// the smaller accounts, in seconds.
    pub small_p95: f64,
    /// 95th percentile of the same time of the largest account, in seconds.
    pub large_p95: f64,
    /// Share of the smaller accounts' requests that were refused or expired.
    pub small_lost: f64,
    /// Maximum number of requests that waited at once.
    pub longest: usize,
}

/// First-token latency after a request was started.
const FIRST_TOKEN_S: f64 = 0.2;

enum TestQueue {
    Fair(Box<Queue>),
    Plain(Box<Queue>),
    Fifo(Fifo),
}

impl TestQueue {
    fn push(&mut self, now: Duration, item: Item) -> bool {
        match self {
            TestQueue::Fair(queue) | TestQueue::Plain(queue) => queue.push(now, item).is_ok(),
            TestQueue::Fifo(queue) => queue.push(now, item).is_ok(),
        }
    }

    fn pop(&mut self, now: Duration, running: usize) -> Option<Item> {
        match self {
            TestQueue::Fair(queue) => queue.next(now, running as u32, CONCURRENCY_LIMIT as u32),
            TestQueue::Plain(queue) => queue.pop(now),
            TestQueue::Fifo(queue) => loop {
                let item = queue.pop(now)?;
                if item.deadline > now {
                    return Some(item);
                }
            },
        }
    }
}

/// Simulates ten accounts of which the largest sends `factor` times its normal
/// load.
///
/// ```
/// use admission::experiment::{Discipline, flood};
/// let calm = flood(1, Discipline::Fair, 1.0);
/// assert!(calm.small_p95 < 1.0);
/// ```
pub fn flood(seed: u64, discipline: Discipline, factor: f64) -> Flood {
    let mut arrivals = arrivals(seed, factor);
    let mut test_queue = match discipline {
        Discipline::Fair => TestQueue::Fair(Box::new(Queue::new(QUEUE_CAPACITY))),
        Discipline::Plain => TestQueue::Plain(Box::new(Queue::new(QUEUE_CAPACITY))),
        Discipline::Fifo => TestQueue::Fifo(Fifo::new(QUEUE_CAPACITY)),
    };
    let mut running: Vec<f64> = Vec::new();
    let mut queued: BTreeMap<u64, Arrival> = BTreeMap::new();
    let mut served: [Vec<f64>; 2] = Default::default();
    let mut result = Flood::default();
    let mut refused = 0;
    arrivals.reverse();
    let small_requests = arrivals.iter().filter(|arrival| arrival.account != 0).count();
    for step in 0..(RUN_S / STEP_S) as u32 {
        let at = f64::from(step) * STEP_S;
        let now = Duration::from_secs_f64(at);
        running.retain(|end| *end > at);
        while let Some(arrival) = arrivals.pop_if(|arrival| arrival.at <= at) {
            if test_queue.push(now, item(&arrival)) {
                queued.insert(arrival.ticket, arrival);
            } else if arrival.account != 0 {
                refused += 1;
            }
        }
        while running.len() < CONCURRENCY_LIMIT {
            let Some(item) = test_queue.pop(now, running.len()) else { break };
            let Some(arrival) = queued.remove(&item.ticket) else { break };
            running.push(at + arrival.service);
            served[arrival.account.min(1)].push(at - arrival.at + FIRST_TOKEN_S);
        }
        result.longest = result.longest.max(queued.len());
    }
    let [large_waits, mut small_waits] = served;
    let mut large_waits = large_waits;
    let expired = small_requests - refused - small_waits.len();
    result.small_lost = (refused + expired) as f64 / small_requests as f64;
    result.small_p95 = quantile(&mut small_waits, 0.95);
    result.large_p95 = quantile(&mut large_waits, 0.95);
    result
}

struct Arrival {
    at: f64,
    ticket: u64,
    account: usize,
    service: f64,
}

/// Generates the arrivals. Each account has its own random number generator, so
/// that a flood of one doesn't change the arrivals of the others.
fn arrivals(seed: u64, factor: f64) -> Vec<Arrival> {
    let capacity = CONCURRENCY_LIMIT as f64 / MEAN_SERVICE_S;
    let mut arrivals = Vec::new();
    for account in 0..ACCOUNTS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * 1000 + account as u64);
        let share = match account {
            0 => LARGEST_SHARE * factor,
            _ => (1.0 - LARGEST_SHARE) / (ACCOUNTS - 1) as f64,
        };
        let rate = capacity * OFFERED_LOAD * share;
        let mut at = 0.0;
        while at < RUN_S - CALLER_TIMEOUT_S {
            at += -rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
            let service = MEAN_SERVICE_S * rng.random_range(0.5..1.5);
            arrivals.push(Arrival { at, ticket: 0, account, service });
        }
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (ticket, arrival) in arrivals.iter_mut().enumerate() {
        arrival.ticket = ticket as u64;
    }
    arrivals
}

fn item(arrival: &Arrival) -> Item {
    Item {
        ticket: arrival.ticket,
        account: Name::from(format!("a{}", arrival.account)),
        weight: 1,
        class: Class::Interactive,
        deadline: Duration::from_secs_f64(arrival.at + CALLER_TIMEOUT_S),
        cost: 1,
    }
}

fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len().saturating_sub(1) as f64 * quantile).ceil() as usize;
    values.get(rank).copied().unwrap_or(0.0)
}
