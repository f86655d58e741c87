//! State that the threads of an entry share.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use balance::Balancer;
use balance::drain::Drain;
use tokio::sync::{Notify, watch};

use crate::intake::Intake;
use crate::meter::Meter;
use crate::quota::Quota;

/// Shared state of the process.
pub struct Shared {
    balancer: Mutex<Balancer>,
    started: Instant,
    open_requests: AtomicUsize,
    /// Whether open requests have to end.
    ending: watch::Sender<bool>,
    /// Notified when a trial of a prompt part starts. Other entries must learn of it
    /// before they start another.
    pub trial_started: Notify,
    /// Metric instruments.
    pub meter: Meter,
    /// Memory quota of buffered responses.
    pub quota: Quota,
    /// Memory of request bodies.
    pub intake: Intake,
    /// Bounds log lines about clients that are refused.
    pub lines: Lines,
}

impl Shared {
    pub fn new(balancer: Balancer, meter: Meter, quota: Quota, intake: Intake) -> Shared {
        Shared {
            balancer: Mutex::new(balancer),
            started: Instant::now(),
            open_requests: AtomicUsize::new(0),
            ending: watch::Sender::new(false),
            trial_started: Notify::new(),
            meter,
            quota,
            intake,
            lines: Lines::default(),
        }
    }

    /// Monotonic time since the start of the process.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Locks the balancer. It stays usable after a panic in another thread, since
    /// each decision is made under a single lock.
    pub fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Whether the process is draining before it stops.
    pub fn is_leaving(&self) -> bool {
        self.balancer().is_leaving()
    }

    /// Begins a planned stop: the entry reports that it is not ready.
    pub fn leave(&self) -> Drain {
        self.balancer().leave(self.now())
    }

    /// Ends all open requests: each gets its final response.
    pub fn end_requests(&self) {
        self.ending.send_replace(true);
    }

    /// Completes when open requests have to end.
    pub async fn wait_for_end(&self) {
        // Fails only if the sender is dropped, which lives as long as `self`.
        let _ = self.ending.subscribe().wait_for(|ending| *ending).await;
    }

    /// Number of requests in progress.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Counts a request as open until the guard is dropped.
    pub fn count_request(self: &std::sync::Arc<Self>) -> Guard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        Guard(self.clone())
    }
}

/// Log lines per second about clients that are refused. A crowd that reconnects at once
/// would otherwise fill the disk; the counters are complete.
const LINES_PER_SECOND: u32 = 50;

/// Bounds the log lines of a kind.
#[derive(Default)]
pub struct Lines(Mutex<(u64, u32)>);

impl Lines {
    /// Whether a line may be written at `now`.
    pub fn take(&self, now: Duration) -> bool {
        let mut lines = self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if lines.0 != now.as_secs() {
            *lines = (now.as_secs(), 0);
        }
        lines.1 += 1;
        lines.1 <= LINES_PER_SECOND
    }
}

/// Guard that counts a request as open.
pub struct Guard(std::sync::Arc<Shared>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
