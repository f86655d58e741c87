//! Ten accounts share one engine; the largest of them floods it.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tables::Name;
use wire::Class;

use crate::baseline::Fifo;
use crate::queue::{Item, Queue};

/// Requests that the engine runs at once.
const SLOTS: usize = 32;
/// Mean time that a request keeps its place, in seconds.
const SERVICE: f64 = 0.5;
/// Client accounts; the first is the largest.
const ACCOUNTS: usize = 10;
/// Share of the capacity that the accounts ask for together before the flood.
const LOAD: f64 = 0.7;
/// Part of it that comes from the largest account.
const LARGEST: f64 = 0.4;
/// Length of a run, in seconds.
const LENGTH: f64 = 120.0;
/// Step of the simulation, in seconds.
const STEP: f64 = 0.002;
/// Patience of a caller, in seconds.
const DEADLINE: f64 = 10.0;
/// Places in the queue.
const PLACES: usize = 256;

/// Who orders the requests that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discipline {
    /// [`Queue`] with places kept for accounts without a backlog.
    Fair,
    /// [`Queue`] without.
    Plain,
    /// [`Fifo`].
    Fifo,
}

/// What a run showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flood {
    /// 95th percentile of the smaller accounts' time until they are served: the
    /// wait plus the first token, in seconds.
    pub small_p95: f64,
    /// The same for the largest account.
    pub large_p95: f64,
    /// Share of the smaller accounts' requests refused or expired.
    pub small_lost: f64,
    /// Most requests that waited at once.
    pub longest: usize,
}

/// First-token latency once a request runs, in seconds.
const FIRST_TOKEN: f64 = 0.2;

enum Waiting {
    Fair(Box<Queue>),
    Plain(Box<Queue>),
    Fifo(Fifo),
}

impl Waiting {
    fn push(&mut self, now: Duration, item: Item) -> bool {
        match self {
            Waiting::Fair(queue) | Waiting::Plain(queue) => queue.push(now, item).is_ok(),
            Waiting::Fifo(queue) => queue.push(now, item).is_ok(),
        }
    }

    fn pop(&mut self, now: Duration, running: usize) -> Option<Item> {
        match self {
            Waiting::Fair(queue) => queue.next(now, running as u32, SLOTS as u32),
            Waiting::Plain(queue) => queue.pop(now),
            Waiting::Fifo(queue) => loop {
                let item = queue.pop(now)?;
                if item.deadline > now {
                    return Some(item);
                }
            },
        }
    }
}

/// Runs ten accounts of which the largest asks for `factor` times its usual
/// load.
///
/// ```
/// use admission::experiment::{Discipline, flood};
/// let calm = flood(1, Discipline::Fair, 1.0);
/// assert!(calm.small_p95 < 1.0);
/// ```
pub fn flood(seed: u64, discipline: Discipline, factor: f64) -> Flood {
    let mut arrivals = arrivals(seed, factor);
    let mut waiting = match discipline {
        Discipline::Fair => Waiting::Fair(Box::new(Queue::new(PLACES))),
        Discipline::Plain => Waiting::Plain(Box::new(Queue::new(PLACES))),
        Discipline::Fifo => Waiting::Fifo(Fifo::new(PLACES)),
    };
    let mut running: Vec<f64> = Vec::new();
    let mut open: BTreeMap<u64, Arrival> = BTreeMap::new();
    let mut served: [Vec<f64>; 2] = Default::default();
    let mut result = Flood::default();
    let mut refused = 0;
    arrivals.reverse();
    let small = arrivals.iter().filter(|arrival| arrival.account != 0).count();
    for step in 0..(LENGTH / STEP) as u32 {
        let at = f64::from(step) * STEP;
        let now = Duration::from_secs_f64(at);
        running.retain(|end| *end > at);
        while let Some(arrival) = arrivals.pop_if(|arrival| arrival.at <= at) {
            if waiting.push(now, item(&arrival)) {
                open.insert(arrival.ticket, arrival);
            } else if arrival.account != 0 {
                refused += 1;
            }
        }
        while running.len() < SLOTS {
            let Some(item) = waiting.pop(now, running.len()) else { break };
            let Some(arrival) = open.remove(&item.ticket) else { break };
            running.push(at + arrival.service);
            served[arrival.account.min(1)].push(at - arrival.at + FIRST_TOKEN);
        }
        result.longest = result.longest.max(open.len());
    }
    let [large, mut few] = served;
    let mut large = large;
    let expired = small - refused - few.len();
    result.small_lost = (refused + expired) as f64 / small as f64;
    result.small_p95 = quantile(&mut few, 0.95);
    result.large_p95 = quantile(&mut large, 0.95);
    result
}

struct Arrival {
    at: f64,
    ticket: u64,
    account: usize,
    service: f64,
}

/// Each account draws from a generator of its own, so that a flood of one
/// leaves the arrivals of the others as they were.
fn arrivals(seed: u64, factor: f64) -> Vec<Arrival> {
    let capacity = SLOTS as f64 / SERVICE;
    let mut arrivals = Vec::new();
    for account in 0..ACCOUNTS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * 1000 + account as u64);
        let share = match account {
            0 => LARGEST * factor,
            _ => (1.0 - LARGEST) / (ACCOUNTS - 1) as f64,
        };
        let rate = capacity * LOAD * share;
        let mut at = 0.0;
        while at < LENGTH - DEADLINE {
            at += -rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
            let service = SERVICE * rng.random_range(0.5..1.5);
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
        deadline: Duration::from_secs_f64(arrival.at + DEADLINE),
        cost: 1,
    }
}

fn quantile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len().saturating_sub(1) as f64 * quantile).ceil() as usize;
    values.get(rank).copied().unwrap_or(0.0)
}
