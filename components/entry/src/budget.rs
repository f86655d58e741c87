//! Memory budget for request bodies, shared by all connections of an entry.
//!
//! What doesn't fit takes the space of the oldest incomplete body that has been
//! open for [`EVICTION_AGE`]; without such a body it is refused. Bodies above
//! [`SMALL_BODY`] leave a quarter of the budget to smaller ones.

use std::collections::BTreeMap;
use std::time::Duration;

/// Largest body that may use the whole budget, in bytes.
const SMALL_BODY: usize = 64 << 10;
/// Age at which an incomplete body may be evicted. Younger ones are still
/// expected to complete; evicting them would waste what all clients sent.
pub const EVICTION_AGE: Duration = Duration::from_secs(1);

/// Identifies an open body. Later bodies have higher numbers.
pub type Number = u64;

/// A body can't grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The budget is taken by bodies that can't be evicted.
    #[error("the budget for request bodies is used up")]
    Full,
    /// The body was evicted in favour of another.
    #[error("the body was evicted")]
    Evicted,
}

/// An open body; `T` is what its reader is notified with.
struct Body<T> {
    opened: Duration,
    bytes: usize,
    reader: Option<T>,
}

/// The bytes that each open body holds.
pub struct Budget<T> {
    limit: usize,
    used: usize,
    /// Bytes of bodies above [`SMALL_BODY`].
    large: usize,
    next: Number,
    bodies: BTreeMap<Number, Body<T>>,
}

impl<T> Budget<T> {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Budget<T> {
        Budget { limit, used: 0, large: 0, next: 0, bodies: BTreeMap::new() }
    }

    /// Bytes that open bodies hold.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds an incomplete body without bytes.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut budget = entry::budget::Budget::new(100);
    /// let body = budget.open(Duration::ZERO, ());
    /// assert!(budget.grow(Duration::ZERO, body, 100).is_ok());
    /// assert_eq!(budget.used(), 100);
    /// ```
    pub fn open(&mut self, now: Duration, reader: T) -> Number {
        let number = self.next;
        self.next += 1;
        self.bodies.insert(number, Body { opened: now, bytes: 0, reader: Some(reader) });
        number
    }

    /// Raises the bytes of a body to `bytes`. Returns the readers of the bodies
    /// that were evicted for it.
    ///
    /// # Errors
    ///
    /// If there is no space, or if the body itself was evicted.
    pub fn grow(&mut self, now: Duration, number: Number, bytes: usize) -> Result<Vec<T>, Refusal> {
        let before = self.bodies.get(&number).ok_or(Refusal::Evicted)?.bytes;
        let mut used = self.used - before + bytes;
        let mut large = self.large - large_bytes(before) + large_bytes(bytes);
        let mut victims = Vec::new();
        let mut bodies = self.bodies.iter();
        while !self.fits(bytes, used, large) {
            let (victim, body) = bodies.next().ok_or(Refusal::Full)?;
            let is_old = now.saturating_sub(body.opened) >= EVICTION_AGE;
            let is_useful = used > self.limit || large_bytes(body.bytes) > 0;
            if *victim != number && body.reader.is_some() && is_old && is_useful {
                used -= body.bytes;
                large -= large_bytes(body.bytes);
                victims.push(*victim);
            }
        }
        let readers = victims.into_iter().filter_map(|victim| self.close(victim)).collect();
        (self.used, self.large) = (used, large);
        if let Some(body) = self.bodies.get_mut(&number) {
            body.bytes = bytes;
        }
        Ok(readers)
    }

    /// Marks a body as complete; it is no longer evicted.
    ///
    /// # Errors
    ///
    /// If it was evicted.
    pub fn complete(&mut self, number: Number) -> Result<(), Refusal> {
        let body = self.bodies.get_mut(&number).ok_or(Refusal::Evicted)?;
        body.reader = None;
        Ok(())
    }

    /// Releases the bytes of a body; returns the reader of an incomplete one.
    pub fn close(&mut self, number: Number) -> Option<T> {
        let body = self.bodies.remove(&number)?;
        self.used -= body.bytes;
        self.large -= large_bytes(body.bytes);
        body.reader
    }

    /// Whether a body of `bytes` fits if all bodies together hold `used` and the
    /// large ones `large`.
    fn fits(&self, bytes: usize, used: usize, large: usize) -> bool {
        used <= self.limit && (bytes <= SMALL_BODY || large <= large_limit(self.limit))
    }
}

/// The part of a budget of `limit` bytes that large bodies may use.
pub fn large_limit(limit: usize) -> usize {
    limit / 4 * 3
}

fn large_bytes(bytes: usize) -> usize {
    if bytes > SMALL_BODY { bytes } else { 0 }
}
