//! Divides the memory for request bodies among the requests that send them.
//!
//! Small bodies are not charged, so that many large bodies can't take their space. A body of
//! known size is charged before it is read, so that bodies don't wait for each other while
//! each holds a part. All grow within their share and within what the rest of the process
//! leaves, which is measured. When the budget is exhausted, the body that has taken longest for
//! its latest bytes is evicted first, and of those that wait, the latest goes first: in order of
//! arrival, under sustained overload, each would wait for nearly as long as it may.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Size of bodies that are not charged, in bytes. Those of typical size fit. Their number
/// is bounded by that of connections.
pub const FREE_BYTES: usize = 16 << 10;

/// Share of the process's memory that request bodies may use. Buffered responses use a
/// quarter; connections, heads and the allocator need the rest.
const BODIES_DIVISOR: usize = 4;

/// Share of the process's memory that bodies leave free, for their responses and for
/// connections that are opened later.
const RESERVE_DIVISOR: usize = 4;

/// Interval between measurements of the process's memory while bodies grow. At 10 Gbit/s,
/// about a MiB arrives in this time.
const MEASURE_INTERVAL: Duration = Duration::from_millis(1);

/// Bytes that are charged for each larger body besides its size: the buffers of its
/// connection, and what the allocator loses.
const OVERHEAD: usize = 48 << 10;

/// Bytes for which a body may take [`STALL_TIME`] while the budget is exhausted.
const PACE_BYTES: usize = 64 << 10;

/// Time for [`PACE_BYTES`] after which a body may be evicted: callers within a zone send
/// them in a few milliseconds.
const STALL_TIME: Duration = Duration::from_millis(250);

/// Time that a body waits for memory before it is refused. Callers give up after two
/// seconds at the earliest, so that at least one is left for a retry.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Identifies a body.
pub type Id = u64;

/// What becomes of a body that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The bytes are charged.
    Granted,
    /// The bytes don't fit yet, and nothing further should be read of this body.
    Wait,
    /// As [`Growth::Wait`], and this other body has to go.
    Evict(Id),
    /// The body has to go.
    Refused,
}

#[derive(Debug)]
struct Body {
    charged: usize,
    /// Part of the charge for which no bytes have arrived.
    unfilled: usize,
    state: State,
    /// Bytes that have arrived, the time at which they had grown by another [`PACE_BYTES`],
    /// and how many they were then.
    received: usize,
    paced_at: Duration,
    paced: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Arriving,
    /// Waits for memory.
    Waiting(Place),
    Complete,
    /// Has to go. Its memory is not free yet.
    Evicted,
}

/// Place among the bodies that wait: since when, and which.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    /// Of a body that holds memory. The earliest goes first, so that some are completed.
    Holder(Duration, Id),
    /// Of a body that holds none. The latest goes first.
    Newcomer(Reverse<(Duration, Id)>),
}

impl Place {
    fn since(self) -> Duration {
        match self {
            Place::Holder(since, _) | Place::Newcomer(Reverse((since, _))) => since,
        }
    }
}

/// The memory in use, and its limits, in bytes.
#[derive(Debug)]
struct Usage {
    /// Bytes charged for all bodies, and those of them that have not arrived.
    charged: usize,
    unfilled: usize,
    charged_limit: usize,
    /// Memory of the process: the latest measurement, and what has arrived and left since.
    resident: usize,
    /// Memory of the process up to which bodies grow.
    resident_limit: usize,
}

impl Usage {
    /// Whether `growth` bytes fit once `leaving` bytes are free.
    fn fits(&self, growth: usize, leaving: usize) -> bool {
        let (charged, resident) = (self.charged, self.resident.saturating_add(self.unfilled));
        charged.saturating_add(growth) <= self.charged_limit.saturating_add(leaving)
            && resident.saturating_add(growth) <= self.resident_limit.saturating_add(leaving)
    }

    fn charge(&mut self, body: &mut Body, size: usize) {
        body.charged += size;
        body.unfilled += size;
        self.charged += size;
        self.unfilled += size;
    }

    fn fill(&mut self, body: &mut Body, size: usize) {
        let size = size.min(body.unfilled);
        body.unfilled -= size;
        self.unfilled -= size;
        self.resident += size;
    }

    fn release(&mut self, body: &Body) {
        self.charged -= body.charged;
        self.unfilled -= body.unfilled;
        self.resident = self.resident.saturating_sub(body.charged - body.unfilled);
    }
}

/// The bodies that are charged, and what they use of the budget.
///
/// ```
/// use std::time::Duration;
/// use gateway::budget::{Budget, Growth};
/// let (mut budget, now) = (Budget::new(4 << 20), Duration::ZERO);
/// budget.measure(now, 1 << 20);
/// let slow = budget.open(now);
/// assert_eq!(budget.grow(now, slow, 900 << 10), Growth::Granted);
/// budget.receive(now, slow, 800 << 10);
/// let now = Duration::from_secs(1);
/// let fast = budget.open(now);
/// assert_eq!(budget.grow(now, fast, 300 << 10), Growth::Evict(slow));
/// budget.close(slow);
/// assert_eq!(budget.grow(now, fast, 300 << 10), Growth::Granted);
/// ```
#[derive(Debug)]
pub struct Budget {
    usage: Usage,
    measured_at: Option<Duration>,
    next: Id,
    bodies: BTreeMap<Id, Body>,
    /// Places of the bodies that wait.
    queue: BTreeSet<Place>,
}

impl Budget {
    /// The budget of a process that may use `memory` bytes.
    pub fn new(memory: usize) -> Budget {
        let usage = Usage {
            charged: 0,
            unfilled: 0,
            charged_limit: memory / BODIES_DIVISOR,
            resident: 0,
            resident_limit: memory - memory / RESERVE_DIVISOR,
        };
        let (bodies, queue) = (BTreeMap::new(), BTreeSet::new());
        Budget { usage, measured_at: None, next: 0, bodies, queue }
    }

    /// Whether the memory of the process should be measured before a body grows.
    pub fn is_measurement_due(&self, now: Duration) -> bool {
        self.measured_at.is_none_or(|time| now.saturating_sub(time) >= MEASURE_INTERVAL)
    }

    /// Records the memory that the process uses, in bytes.
    pub fn measure(&mut self, now: Duration, resident: usize) {
        (self.measured_at, self.usage.resident) = (Some(now), resident);
    }

    /// Bytes that are charged.
    pub fn used(&self) -> usize {
        self.usage.charged
    }

    /// Memory that the process uses, in bytes, according to the latest measurement.
    pub fn resident(&self) -> usize {
        self.usage.resident
    }

    /// Adds a body without a charge.
    pub fn open(&mut self, now: Duration) -> Id {
        let id = self.next;
        self.next += 1;
        let body = Body {
            charged: 0,
            unfilled: 0,
            state: State::Arriving,
            received: 0,
            paced_at: now,
            paced: 0,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Charges a body of `size` bytes, or one that grows to it. One that is alone always fits,
    /// since a single body within the configured limit must not be refused.
    pub fn grow(&mut self, now: Duration, id: Id, size: usize) -> Growth {
        let target = if size > FREE_BYTES { size.saturating_add(OVERHEAD) } else { 0 };
        let Some(body) = self.bodies.get_mut(&id) else { return Growth::Refused };
        let place = match body.state {
            State::Evicted => return Growth::Refused,
            State::Waiting(place) => place,
            _ if body.charged > 0 => Place::Holder(now, id),
            _ => Place::Newcomer(Reverse((now, id))),
        };
        let growth = target.saturating_sub(body.charged);
        let is_first = self.queue.first().is_none_or(|first| *first >= place);
        let is_alone = self.usage.charged == body.charged;
        if growth == 0 || is_first && (is_alone || self.usage.fits(growth, 0)) {
            self.queue.remove(&place);
            if body.charged == 0 {
                body.paced_at = now;
            } else {
                // The time for which it has waited isn't that of its sender.
                body.paced_at += now.saturating_sub(place.since());
            }
            body.state = State::Arriving;
            self.usage.charge(body, growth);
            return Growth::Granted;
        }
        if now.saturating_sub(place.since()) >= WAIT_MAX {
            self.queue.remove(&place);
            body.state = State::Evicted;
            return Growth::Refused;
        }
        body.state = State::Waiting(place);
        self.queue.insert(place);
        if is_first { self.make_room(now, growth) } else { Growth::Wait }
    }

    /// Records that `size` bytes of a body have arrived.
    pub fn receive(&mut self, now: Duration, id: Id, size: usize) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        self.usage.fill(body, size.saturating_sub(body.received));
        body.received = body.received.max(size);
        if body.received >= body.paced + PACE_BYTES {
            (body.paced_at, body.paced) = (now, body.received);
        }
    }

    /// Evicts a body, unless those already evicted make room for `growth`.
    fn make_room(&mut self, now: Duration, growth: usize) -> Growth {
        let evicted = self.bodies.values().filter(|body| body.state == State::Evicted);
        let leaving: usize = evicted.map(|body| body.charged).sum();
        if self.usage.fits(growth, leaving) {
            return Growth::Wait;
        }
        let Some(id) = self.slowest(now).or_else(|| self.last_in_deadlock()) else {
            return Growth::Wait;
        };
        if let Some(body) = self.bodies.get_mut(&id) {
            if let State::Waiting(place) = body.state {
                self.queue.remove(&place);
            }
            body.state = State::Evicted;
        }
        Growth::Evict(id)
    }

    /// The body that has taken longest for its latest bytes, if any has taken too long.
    fn slowest(&self, now: Duration) -> Option<Id> {
        let stalled = self.bodies.iter().filter(|(_, body)| {
            body.state == State::Arriving
                && body.charged > 0
                && now.saturating_sub(body.paced_at) >= STALL_TIME
        });
        stalled.min_by_key(|(id, body)| (body.paced_at, **id)).map(|(id, _)| *id)
    }

    /// The last body in the queue that holds memory, if all that hold some wait for more.
    /// Without an eviction, none of them could be completed.
    fn last_in_deadlock(&self) -> Option<Id> {
        let mut holders = self.bodies.values().filter(|body| body.charged > 0);
        if !holders.all(|body| matches!(body.state, State::Waiting(_))) {
            return None;
        }
        self.queue.iter().rev().find_map(|place| match place {
            Place::Holder(_, id) => Some(*id),
            Place::Newcomer(_) => None,
        })
    }

    /// Records that a body is complete, so that it is not evicted any more. `false` if it
    /// already was.
    pub fn complete(&mut self, id: Id) -> bool {
        match self.bodies.get_mut(&id) {
            Some(body) if body.state != State::Evicted => {
                body.state = State::Complete;
                true
            }
            _ => false,
        }
    }

    /// Removes a body whose memory is free again.
    pub fn close(&mut self, id: Id) {
        let Some(body) = self.bodies.remove(&id) else { return };
        if let State::Waiting(place) = body.state {
            self.queue.remove(&place);
        }
        self.usage.release(&body);
    }
}
