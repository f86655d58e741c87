//! The simulated network: frames in transit, with delay, loss, duplication and
//! partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tables::Name;
use wire::Frame;

/// Delivery delay without faults.
const DELAY: Duration = Duration::from_millis(1);

/// A frame in transit.
#[derive(Clone, Debug)]
pub struct PendingFrame {
    /// Arrival time.
    pub at: Duration,
    /// The receiving process.
    pub to: Name,
    /// The frame.
    pub frame: Frame,
    order: u64,
}

/// The network that connects all processes.
#[derive(Debug, Default)]
pub struct Network {
    pending: Vec<PendingFrame>,
    partitions: BTreeSet<(Name, Name)>,
    order: u64,
    /// Maximum extra delay, drawn for each frame, so that frames are reordered.
    pub jitter: Duration,
    /// Share of lost frames, in percent.
    pub loss: u32,
    /// Share of frames delivered twice, in percent.
    pub duplication: u32,
}

impl Network {
    /// Sends a frame.
    pub fn send(
        &mut self,
        now: Duration,
        rng: &mut ChaCha8Rng,
        from: &Name,
        to: Name,
        frame: Frame,
    ) {
        if self.partitions.contains(&(from.clone(), to.clone())) {
            return;
        }
        if rng.random_range(0..100) < self.loss {
            return;
        }
        let copies = if rng.random_range(0..100) < self.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let extra = rng.random_range(0..=self.jitter.as_millis() as u64);
            let at = now + DELAY + Duration::from_millis(extra);
            self.order += 1;
            let (to, frame) = (to.clone(), frame.clone());
            self.pending.push(PendingFrame { at, to, frame, order: self.order });
        }
    }

    /// Removes and returns the frames due by `now`, in order of arrival.
    pub fn due(&mut self, now: Duration) -> Vec<PendingFrame> {
        let (mut due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending_frame| pending_frame.at <= now);
        self.pending = rest;
        due.sort_by_key(|pending_frame| (pending_frame.at, pending_frame.order));
        due
    }

    /// Partitions two processes from each other, or reconnects them.
    pub fn set_partitioned(&mut self, a: &Name, b: &Name, partitioned: bool) {
        for pair in [(a.clone(), b.clone()), (b.clone(), a.clone())] {
            if partitioned {
                self.partitions.insert(pair);
            } else {
                self.partitions.remove(&pair);
            }
        }
    }

    /// Whether two processes are partitioned from each other.
    pub fn is_partitioned(&self, a: &Name, b: &Name) -> bool {
        self.partitions.contains(&(a.clone(), b.clone()))
    }

    /// Whether every frame is delivered.
    pub fn is_reliable(&self) -> bool {
        self.partitions.is_empty() && self.loss == 0
    }

    /// Clears all network faults.
    pub fn clear_faults(&mut self) {
        self.partitions.clear();
        self.jitter = Duration::ZERO;
        self.loss = 0;
        self.duplication = 0;
    }
}
