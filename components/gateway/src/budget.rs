//! Divides the memory for request bodies among the requests that send them.
//!
//! Small bodies are not charged, so that many large bodies can't take their space. When the
//! budget is exhausted, the body that has taken longest for its latest bytes is evicted
//! first.

use std::collections::BTreeMap;
use std::time::Duration;

/// Size of bodies that are not charged, in bytes. Those of typical size fit. Their number
/// is bounded by that of connections.
pub const FREE_BYTES: usize = 16 << 10;

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
    state: State,
    /// Time at which it had grown by another [`PACE_BYTES`], and the charge then.
    paced_at: Duration,
    paced: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Arriving,
    /// Waits for memory since this time.
    Waiting(Duration),
    Complete,
    /// Has to go. Its memory is not free yet.
    Evicted,
}

/// The bodies that are charged, and what they use of the budget.
///
/// ```
/// use std::time::Duration;
/// use gateway::budget::{Budget, Growth};
/// let (mut budget, now) = (Budget::new(1 << 20), Duration::ZERO);
/// let slow = budget.open(now);
/// assert_eq!(budget.grow(now, slow, 900 << 10), Growth::Granted);
/// let now = Duration::from_secs(1);
/// let fast = budget.open(now);
/// assert_eq!(budget.grow(now, fast, 300 << 10), Growth::Evict(slow));
/// budget.close(slow);
/// assert_eq!(budget.grow(now, fast, 300 << 10), Growth::Granted);
/// ```
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: usize,
    next: Id,
    bodies: BTreeMap<Id, Body>,
}

impl Budget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> Budget {
        Budget { limit, used: 0, next: 0, bodies: BTreeMap::new() }
    }

    /// Bytes that are charged.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a body without a charge.
    pub fn open(&mut self, now: Duration) -> Id {
        let id = self.next;
        self.next += 1;
        let body = Body { charged: 0, state: State::Arriving, paced_at: now, paced: 0 };
        self.bodies.insert(id, body);
        id
    }

    /// Charges a body that grows to `size` bytes. One that is alone always fits, since a
    /// single body within the configured limit must not be refused.
    pub fn grow(&mut self, now: Duration, id: Id, size: usize) -> Growth {
        let target = if size > FREE_BYTES { size.saturating_add(OVERHEAD) } else { 0 };
        let (limit, used) = (self.limit, self.used);
        let Some(body) = self.bodies.get_mut(&id) else { return Growth::Refused };
        if body.state == State::Evicted {
            return Growth::Refused;
        }
        let growth = target.saturating_sub(body.charged);
        if used + growth <= limit || used == body.charged {
            self.used += growth;
            body.charged += growth;
            body.state = State::Arriving;
            if body.charged >= body.paced + PACE_BYTES {
                (body.paced_at, body.paced) = (now, body.charged);
            }
            return Growth::Granted;
        }
        match body.state {
            State::Waiting(since) if now.saturating_sub(since) >= WAIT_MAX => {
                body.state = State::Evicted;
                return Growth::Refused;
            }
            State::Waiting(_) => {}
            _ => body.state = State::Waiting(now),
        }
        self.make_room(now, growth)
    }

    /// Evicts the slowest body, unless those already evicted make room for `growth`.
    fn make_room(&mut self, now: Duration, growth: usize) -> Growth {
        let evicted = self.bodies.values().filter(|body| body.state == State::Evicted);
        let leaving: usize = evicted.map(|body| body.charged).sum();
        if self.used + growth <= self.limit + leaving {
            return Growth::Wait;
        }
        let stalled = self.bodies.iter_mut().filter(|(_, body)| {
            body.state == State::Arriving
                && body.charged > 0
                && now.saturating_sub(body.paced_at) >= STALL_TIME
        });
        match stalled.min_by_key(|(id, body)| (body.paced_at, **id)) {
            Some((id, body)) => {
                body.state = State::Evicted;
                Growth::Evict(*id)
            }
            None => Growth::Wait,
        }
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
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.charged;
        }
    }
}
