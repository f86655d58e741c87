//! How long a request waits for the next sign of its backend server.

use std::time::Duration;

use balance::Ticket;
use balance::config::Kind;

use crate::Error;

/// Silence of a stream after which another backend server is tried. Below the
/// two seconds after which callers give up.
const STREAM_SILENCE: Duration = Duration::from_millis(1700);

/// Silence of an idempotent request after which another backend server is
/// tried, in objectives, and its least value.
const SILENCE_OBJECTIVES: f64 = 2.0;
const SILENCE_MIN: Duration = Duration::from_millis(400);

/// How long to wait for a sign, and what its absence means.
pub struct Patience {
    wait: Duration,
    absence: Error,
}

impl Patience {
    /// The patience of a request at a time.
    ///
    /// # Errors
    ///
    /// If the caller has no time left.
    pub fn new(now: Duration, ticket: &Ticket) -> Result<Patience, Error> {
        let left = time_left(now, ticket)?;
        let silence = match ticket.kind {
            Kind::Stream { resumable: true } => STREAM_SILENCE,
            Kind::Idempotent => ticket.objective.mul_f64(SILENCE_OBJECTIVES).max(SILENCE_MIN),
            _ => left,
        };
        if ticket.attempts_left == 0 || silence >= left {
            return Ok(Patience { wait: left, absence: Error::Expired });
        }
        Ok(Patience { wait: silence, absence: Error::Silent })
    }

    /// Waits for a sign.
    ///
    /// # Errors
    ///
    /// What its absence means.
    pub async fn wait_for<T>(self, sign: impl Future<Output = T>) -> Result<T, Error> {
        actix_rt::time::timeout(self.wait, sign).await.map_err(|_| self.absence)
    }
}

/// What is left of the caller's time.
///
/// # Errors
///
/// If nothing is.
pub fn time_left(now: Duration, ticket: &Ticket) -> Result<Duration, Error> {
    let left = ticket.deadline.saturating_sub(now);
    if left.is_zero() { Err(Error::Expired) } else { Ok(left) }
}
