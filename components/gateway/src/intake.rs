//! Reads request bodies within the memory budget.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;

use crate::budget::{Budget, FREE_BYTES, Growth, Id};
use crate::memory::{self, KEPT_ALLOCATION};

/// Largest part of a body that is read and discarded, so that its caller gets the
/// response instead of a reset connection, in bytes.
const DISCARD_LIMIT: usize = 64 << 20;

/// Interval at which a body that waits for memory looks for one to evict.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A body that was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is malformed or incomplete.
    #[error("the body is malformed or incomplete")]
    Malformed,
    /// The body exceeds the configured limit.
    #[error("the body exceeds the limit")]
    Large,
    /// Other bodies leave no memory for it.
    #[error("the memory for bodies is exhausted")]
    Exhausted,
}

impl Error {
    /// The HTTP status that tells the caller.
    pub fn status(self) -> u16 {
        match self {
            Error::Malformed => 400,
            Error::Large => 413,
            Error::Exhausted => 503,
        }
    }
}

/// The memory for request bodies.
#[derive(Clone, Debug)]
pub struct Intake(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    started: Instant,
    state: Mutex<State>,
    /// Notified when memory is free again.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Notifies the readers of bodies that are evicted.
    evictions: BTreeMap<Id, Arc<Notify>>,
}

impl Intake {
    /// The memory for bodies of a process that may use `memory` bytes.
    pub fn new(memory: u64) -> Intake {
        let budget = Budget::new(usize::try_from(memory).unwrap_or(usize::MAX));
        let state = Mutex::new(State { budget, evictions: BTreeMap::new() });
        Intake(Arc::new(Shared { started: Instant::now(), state, freed: Notify::new() }))
    }

    /// Bytes that are charged for bodies, and memory of the process when it was last measured.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.0.state();
        (state.budget.used(), state.budget.resident())
    }

    /// Reads a body. One that exceeds `limit` is read to its end, but not kept. A body is
    /// charged until the last copy of its bytes is dropped.
    ///
    /// # Errors
    ///
    /// The reason for which it is not taken.
    pub async fn read(&self, mut body: Incoming, limit: usize) -> Result<Bytes, Error> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > DISCARD_LIMIT.max(limit) {
            return Err(Error::Large);
        }
        let (mut kept, mut size) = (BytesMut::new(), 0_usize);
        let mut charge: Option<Charge> = None;
        if (FREE_BYTES + 1..=limit).contains(&stated) {
            // What is not read yet stays in the socket. Pages are used as they are written.
            charge.insert(self.open()).grow(stated).await?;
            kept.reserve(stated.clamp(KEPT_ALLOCATION, DISCARD_LIMIT));
        }
        loop {
            let frame = match &charge {
                None => body.frame().await,
                Some(charge) => tokio::select! {
                    frame = body.frame() => frame,
                    () = charge.evicted.notified() => return Err(Error::Exhausted),
                },
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| Error::Malformed)?;
            let Some(data) = frame.data_ref() else { continue };
            size += data.len();
            if size > DISCARD_LIMIT.max(limit) {
                return Err(Error::Large);
            }
            if size > limit || stated > limit {
                (kept, charge) = (BytesMut::new(), None);
                continue;
            }
            if size > FREE_BYTES {
                charge.get_or_insert_with(|| self.open()).grow(size).await?;
                if kept.capacity() < KEPT_ALLOCATION {
                    // Buffers that grow in smaller steps would leave gaps in the heap.
                    kept.reserve(KEPT_ALLOCATION - kept.len());
                }
            }
            if let Some(charge) = &charge {
                charge.receive(size);
            }
            kept.extend_from_slice(data);
        }
        if size > limit {
            return Err(Error::Large);
        }
        match charge {
            Some(charge) if !charge.complete() => Err(Error::Exhausted),
            Some(charge) => Ok(Bytes::from_owner(Charged { bytes: kept, _charge: charge })),
            None => Ok(kept.freeze()),
        }
    }

    fn open(&self) -> Charge {
        let (now, evicted) = (self.0.started.elapsed(), Arc::new(Notify::new()));
        let mut state = self.0.state();
        let id = state.budget.open(now);
        state.evictions.insert(id, evicted.clone());
        Charge { shared: self.0.clone(), id, evicted }
    }
}

impl Shared {
    /// Locks the state. It stays usable after a panic, since each decision is made under a
    /// single lock.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A complete body and its charge.
struct Charged {
    bytes: BytesMut,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The charge of one body, released on drop.
#[derive(Debug)]
struct Charge {
    shared: Arc<Shared>,
    id: Id,
    evicted: Arc<Notify>,
}

impl Charge {
    /// Waits until `size` bytes are granted.
    async fn grow(&self, size: usize) -> Result<(), Error> {
        loop {
            let freed = self.shared.freed.notified();
            {
                let now = self.shared.started.elapsed();
                let mut state = self.shared.state();
                if state.budget.is_measurement_due(now)
                    && let Some(resident) = memory::resident()
                {
                    state.budget.measure(now, resident);
                }
                match state.budget.grow(now, self.id, size) {
                    Growth::Granted => return Ok(()),
                    Growth::Refused => return Err(Error::Exhausted),
                    Growth::Wait => {}
                    Growth::Evict(id) => {
                        if let Some(evicted) = state.evictions.get(&id) {
                            evicted.notify_one();
                        }
                    }
                }
            }
            tokio::select! {
                () = freed => {}
                () = actix_rt::time::sleep(RETRY_INTERVAL) => {}
            }
        }
    }

    /// Records that `size` bytes have arrived.
    fn receive(&self, size: usize) {
        let now = self.shared.started.elapsed();
        self.shared.state().budget.receive(now, self.id, size);
    }

    fn complete(&self) -> bool {
        self.shared.state().budget.complete(self.id)
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        {
            let mut state = self.shared.state();
            state.budget.close(self.id);
            state.evictions.remove(&self.id);
        }
        self.shared.freed.notify_waiters();
    }
}
