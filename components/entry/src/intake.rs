//! Reads request bodies within the entry's budget and its limits on time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::web::{Bytes, Payload};
use futures_util::StreamExt;
use routing::problem::Code;
use telemetry::{Counter, Metrics};
use tokio::sync::oneshot;

use crate::budget::{Budget, Number, Refusal};

/// Longest time without a byte of an incomplete body.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Time before the minimum rate of a body applies.
const RATE_GRACE: Duration = Duration::from_secs(10);
/// Minimum rate of a body in bytes per second; far below that of any caller
/// that can use the answer.
const RATE_MIN: u32 = 4 << 10;
/// First allocation for a body without a length, in bytes.
const FIRST_CAPACITY: usize = 8 << 10;

/// Returns the time at which an incomplete body of `received` bytes is given up.
/// All times count from the start of the body.
///
/// ```
/// use std::time::Duration;
/// let seconds = Duration::from_secs;
/// assert_eq!(entry::intake::deadline(seconds(0), 0), seconds(10));
/// assert_eq!(entry::intake::deadline(seconds(8), 4096), seconds(11));
/// assert_eq!(entry::intake::deadline(seconds(8), 1 << 20), seconds(18));
/// ```
pub fn deadline(last_byte: Duration, received: usize) -> Duration {
    let earned = Duration::from_secs(received as u64) / RATE_MIN;
    (last_byte + IDLE_LIMIT).min(RATE_GRACE + earned)
}

/// Counters of bodies that were not read to their end.
struct Meter {
    full: Counter,
    evicted: Counter,
    slow: Counter,
}

/// The bodies of all connections of an entry.
pub struct Intake {
    budget: Mutex<Budget<oneshot::Sender<()>>>,
    body_limit: usize,
    started: Instant,
    meter: Meter,
}

/// The space of a body in the budget, released on drop.
pub struct Reservation {
    intake: Arc<Intake>,
    number: Number,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.intake.budget().close(self.number);
    }
}

impl Intake {
    /// Creates the intake for bodies of at most `body_limit` bytes that hold
    /// `budget` bytes together.
    pub fn new(body_limit: usize, budget: usize, metrics: &Metrics) -> Intake {
        let counter = |reason| {
            let help = "Request bodies that were not read to their end";
            metrics.counter("entry_bodies_refused", help, &[("reason", reason)])
        };
        Intake {
            budget: Mutex::new(Budget::new(budget)),
            body_limit,
            started: Instant::now(),
            meter: Meter {
                full: counter("full"),
                evicted: counter("evicted"),
                slow: counter("slow"),
            },
        }
    }

    /// Reads a body. Its space is reserved until the reservation is dropped.
    ///
    /// # Errors
    ///
    /// If the body is too large, malformed, too slow, or does not fit.
    pub async fn read(
        self: &Arc<Self>,
        payload: &mut Payload,
        length: Option<usize>,
    ) -> Result<(Bytes, Reservation), Code> {
        if length.is_some_and(|length| length > self.body_limit) {
            return Err(Code::TooLarge);
        }
        let (notify, mut evicted) = oneshot::channel();
        let opened = self.started.elapsed();
        let number = self.budget().open(opened, notify);
        let reservation = Reservation { intake: self.clone(), number };
        let capacity_limit = length.unwrap_or(self.body_limit);
        let mut body = Vec::new();
        loop {
            let age = self.started.elapsed() - opened;
            let due = deadline(age, body.len()).saturating_sub(age);
            let chunk = tokio::select! {
                chunk = payload.next() => chunk,
                _ = &mut evicted => return Err(self.refuse(Refusal::Evicted)),
                () = actix_rt::time::sleep(due) => {
                    self.meter.slow.add(1);
                    return Err(Code::Slow);
                }
            };
            let Some(chunk) = chunk else { break };
            let chunk = chunk.map_err(|_| Code::Malformed)?;
            let size = body.len() + chunk.len();
            if size > self.body_limit {
                return Err(Code::TooLarge);
            }
            if size > body.capacity() {
                let capacity = (2 * body.capacity()).max(FIRST_CAPACITY);
                let capacity = capacity.min(capacity_limit).max(size);
                self.grow(number, capacity).map_err(|refusal| self.refuse(refusal))?;
                body.reserve_exact(capacity - body.len());
            }
            body.extend_from_slice(&chunk);
        }
        self.budget().complete(number).map_err(|refusal| self.refuse(refusal))?;
        Ok((body.into(), reservation))
    }

    fn grow(&self, number: Number, capacity: usize) -> Result<(), Refusal> {
        let evicted = self.budget().grow(self.started.elapsed(), number, capacity)?;
        for reader in evicted {
            // Fails only if the reader has just given up.
            let _ = reader.send(());
        }
        Ok(())
    }

    fn refuse(&self, refusal: Refusal) -> Code {
        match refusal {
            Refusal::Full => self.meter.full.add(1),
            Refusal::Evicted => self.meter.evicted.add(1),
        }
        Code::Overloaded
    }

    fn budget(&self) -> MutexGuard<'_, Budget<oneshot::Sender<()>>> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
