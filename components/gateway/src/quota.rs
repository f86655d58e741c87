//! Memory for answers that are not passed on yet.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::Error;

/// Share of the process's memory for answers that are being read.
const MEMORY_SHARE: f64 = 0.25;

/// Bytes that each answer may hold besides: usual answers fit in, so that
/// oversized ones take nothing from them.
const FREE: usize = 16 << 10;

/// Largest whole answer, in bytes.
pub const ANSWER_LIMIT: usize = 4 << 20;

/// Largest event, in bytes. Events hold some tokens.
pub const EVENT_LIMIT: usize = 64 << 10;

/// The bytes that all answers together may hold.
///
/// ```
/// let quota = gateway::quota::Quota::new(8 << 20);
/// let mut held = quota.hold(4 << 20);
/// assert!(held.set(1 << 20).is_ok());
/// assert!(held.set(3 << 20).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Quota {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl Quota {
    /// The quota of a process with so much memory, in bytes.
    pub fn new(memory: u64) -> Quota {
        let limit = (memory as f64 * MEMORY_SHARE) as usize;
        Quota { limit, used: Arc::default() }
    }

    /// An answer that holds nothing yet, and `most` at most.
    pub fn hold(&self, most: usize) -> Held {
        Held { quota: self.clone(), most, counted: 0 }
    }
}

/// The bytes that one answer holds, until it is dropped.
#[derive(Debug)]
pub struct Held {
    quota: Quota,
    most: usize,
    counted: usize,
}

impl Held {
    /// The answer holds `size` bytes now.
    ///
    /// # Errors
    ///
    /// [`Error::Oversized`] if that is more than one answer, or all together,
    /// may hold.
    pub fn set(&mut self, size: usize) -> Result<(), Error> {
        if size > self.most {
            return Err(Error::Oversized { most: self.most });
        }
        let counted = size.saturating_sub(FREE);
        let used = &self.quota.used;
        if counted <= self.counted {
            used.fetch_sub(self.counted - counted, Ordering::Relaxed);
        } else {
            let more = counted - self.counted;
            if used.fetch_add(more, Ordering::Relaxed) + more > self.quota.limit {
                used.fetch_sub(more, Ordering::Relaxed);
                return Err(Error::Oversized { most: self.quota.limit });
            }
        }
        self.counted = counted;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.quota.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
