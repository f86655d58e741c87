//! Limits the memory used by responses that are being buffered.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::Error;

/// Share of the process's memory that buffered responses may use.
const MEMORY_SHARE: f64 = 0.25;

/// Bytes per response that are not charged to the quota. Responses of typical
/// size fit, so oversized ones cannot starve them.
const FREE_BYTES: usize = 16 << 10;

/// Size limit of a response that is buffered whole, in bytes.
pub const RESPONSE_LIMIT: usize = 4 << 20;

/// Size limit of an event, in bytes. An event carries several tokens.
pub const EVENT_LIMIT: usize = 64 << 10;

/// Size limit of the complete events of a stream that are held back, in bytes: one event, and
/// what has come without an id since.
pub const HELD_LIMIT: usize = 2 * EVENT_LIMIT;

/// Memory quota, in bytes, shared by all buffered responses.
///
/// ```
/// let quota = gateway::quota::Quota::new(8 << 20);
/// let mut reservation = quota.reserve(4 << 20);
/// assert!(reservation.resize(1 << 20).is_ok());
/// assert!(reservation.resize(3 << 20).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Quota {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl Quota {
    /// Creates the quota of a process that may use `memory` bytes.
    pub fn new(memory: u64) -> Quota {
        let limit = (memory as f64 * MEMORY_SHARE) as usize;
        Quota { limit, used: Arc::default() }
    }

    /// Creates an empty reservation for a response or event of at most `limit` bytes.
    pub fn reserve(&self, limit: usize) -> Reservation {
        Reservation { quota: self.clone(), limit, charged: 0 }
    }
}

/// Bytes reserved for one response or event; released on drop.
#[derive(Debug)]
pub struct Reservation {
    quota: Quota,
    limit: usize,
    charged: usize,
}

impl Reservation {
    /// Changes the reservation to `size` bytes.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] if `size` exceeds the limit of this reservation, or
    /// the quota is exhausted.
    pub fn resize(&mut self, size: usize) -> Result<(), Error> {
        if size > self.limit {
            return Err(Error::Oversized { limit: self.limit });
        }
        let charged = size.saturating_sub(FREE_BYTES);
        let used = &self.quota.used;
        if charged <= self.charged {
            used.fetch_sub(self.charged - charged, Ordering::Relaxed);
        } else {
            let growth = charged - self.charged;
            if used.fetch_add(growth, Ordering::Relaxed) + growth > self.quota.limit {
                used.fetch_sub(growth, Ordering::Relaxed);
                return Err(Error::Oversized { limit: self.quota.limit });
            }
        }
        self.charged = charged;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.quota.used.fetch_sub(self.charged, Ordering::Relaxed);
    }
}
