//! State that the handlers share.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::{Call, Calls, Fault, Rate, Settings, Store};

/// Why a call is turned away before it is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// There is an outage.
    Outage,
    /// The call is over a rate.
    Busy(Duration),
}

/// What is behind the lock.
pub struct State {
    pub store: Store,
    pub fault: Fault,
    pub calls: Calls,
    reads: Option<Rate>,
    writes: Option<Rate>,
    waiting_limit: Option<u32>,
}

/// The store with its faults, rates and counters.
pub struct Shared {
    started: Instant,
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

impl Shared {
    pub fn new(settings: &Settings) -> Shared {
        let state = State {
            store: Store::new(settings),
            fault: settings.fault.clone(),
            calls: Calls::default(),
            reads: settings.reads_per_second.map(Rate::new),
            writes: settings.writes_per_second.map(Rate::new),
            waiting_limit: settings.waiting_limit,
        };
        let (changed, _) = watch::channel(());
        Shared { started: Instant::now(), state: Mutex::new(state), changed }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        // The state is whole between any two statements, so a panic elsewhere
        // does no harm.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Wakes the watches that wait.
    pub fn notify(&self) {
        self.changed.send_replace(());
    }

    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Replaces the faults.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
        self.notify();
    }
}

impl State {
    /// Counts a call and says whether it may go on.
    pub fn admit(&mut self, now: Duration, call: Call) -> Result<(), Refusal> {
        self.calls.count(call);
        if self.fault.outage {
            self.calls.outage += 1;
            return Err(Refusal::Outage);
        }
        let rate = if call.is_write() { &mut self.writes } else { &mut self.reads };
        let Some(Err(retry_after)) = rate.as_mut().map(|rate| rate.take(now)) else {
            return Ok(());
        };
        self.calls.busy += 1;
        Err(Refusal::Busy(retry_after))
    }

    /// Counts a watch that begins to wait, if it may.
    pub fn begin_wait(&mut self) -> Result<(), Refusal> {
        if self.waiting_limit.is_some_and(|limit| self.calls.waiting >= u64::from(limit)) {
            self.calls.busy += 1;
            return Err(Refusal::Busy(Duration::from_secs(1)));
        }
        self.calls.waiting += 1;
        self.calls.most_waiting = self.calls.most_waiting.max(self.calls.waiting);
        Ok(())
    }

    /// Whether the reply to this write gets lost.
    pub fn lose_reply(&mut self) -> bool {
        if self.fault.lose_replies == 0 {
            return false;
        }
        self.fault.lose_replies -= 1;
        self.calls.lost += 1;
        true
    }
}
