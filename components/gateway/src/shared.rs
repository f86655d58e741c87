//! What the threads of an entry share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use balance::Balancer;

use crate::meter::Meter;
use crate::quota::Quota;

/// State of the process.
pub struct Shared {
    balancer: Mutex<Balancer>,
    started: Instant,
    open: AtomicUsize,
    /// The instruments.
    pub meter: Meter,
    /// Memory for answers that are being read.
    pub quota: Quota,
}

impl Shared {
    /// The state around a balancer.
    pub fn new(balancer: Balancer, meter: Meter, quota: Quota) -> Shared {
        Shared {
            balancer: Mutex::new(balancer),
            started: Instant::now(),
            open: AtomicUsize::new(0),
            meter,
            quota,
        }
    }

    /// Time since the start of the process, by the steady clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The balancer. A panic elsewhere leaves it usable: no decision is made
    /// in two halves.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Whether the process is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.balancer().is_leaving()
    }

    /// The process is about to stop.
    pub fn leave(&self) {
        self.balancer().leave();
    }

    /// Requests that are not answered yet.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn enter(self: &std::sync::Arc<Self>) -> Open {
        self.open.fetch_add(1, Ordering::Relaxed);
        Open(self.clone())
    }
}

/// A request that is not answered yet.
pub struct Open(std::sync::Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
