//! Reads request bodies within the memory budget.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;

use crate::budget::{Budget, FREE_BYTES, Growth, Id};
use crate::memory::KEPT_ALLOCATION;

/// Share of the process's memory that request bodies may use. Buffered responses use a
/// quarter; connections, heads and the allocator need the rest.
const MEMORY_SHARE: f64 = 0.25;

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
        let budget = Budget::new((memory as f64 * MEMORY_SHARE) as usize);
        let state = Mutex::new(State { budget, evictions: BTreeMap::new() });
        Intake(Arc::new(Shared { started: Instant::now(), state, freed: Notify::new() }))
    }

    /// Bytes that are charged for bodies.
    pub fn used(&self) -> usize {
        self.0.state().budget.used()
    }

    /// Reads a body. One that exceeds `limit` is read to its end, but not kept.
    ///
    /// # Errors
    ///
    /// The reason for which it is not taken.
    pub async fn read(&self, mut body: Incoming, limit: usize) -> Result<Body, Error> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > DISCARD_LIMIT.max(limit) {
            return Err(Error::Large);
        }
        let (mut kept, mut size) = (BytesMut::new(), 0_usize);
        let mut charge: Option<Charge> = None;
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
                if charge.is_none() {
                    // Pages are used as they are written. Buffers that grow step by step
                    // would leave gaps in the heap.
                    kept.reserve(stated.max(KEPT_ALLOCATION) - kept.len());
                }
                charge.get_or_insert_with(|| self.open()).grow(size).await?;
            }
            kept.extend_from_slice(data);
        }
        if size > limit {
            return Err(Error::Large);
        }
        match charge {
            Some(charge) if !charge.complete() => Err(Error::Exhausted),
            charge => Ok(Body { bytes: kept.freeze(), _charge: charge.map(Arc::new) }),
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

/// A complete body, charged until its last copy is dropped.
#[derive(Clone, Debug, Default)]
pub struct Body {
    pub bytes: Bytes,
    _charge: Option<Arc<Charge>>,
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
