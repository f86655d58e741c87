//! How long a request waits for the next sign of its backend server.

use std::time::Duration;

use balance::Ticket;
use balance::config::Kind;
use tables::Name;

use crate::Error;
use crate::shared::Shared;

/// Silence of a stream after which another backend server is tried. Below the
/// two seconds after which callers give up.
const STREAM_SILENCE: Duration = Duration::from_millis(1700);

/// Silence of an idempotent request after which another backend server is
/// tried, in objectives, and its least value.
const SILENCE_OBJECTIVES: f64 = 2.0;
const SILENCE_MIN: Duration = Duration::from_millis(400);

/// Part of the caller's remaining time in which a begun answer to an idempotent
/// request has to be whole; in the rest another backend server can answer.
const WHOLE_SHARE: f64 = 0.5;

/// Time between two looks whether a slow pool has recovered.
const LOOK: Duration = Duration::from_millis(200);

/// Until when to wait for a sign, and what its absence means. What comes
/// meanwhile and is no sign, such as a part of an event, prolongs nothing.
pub struct Patience<'a> {
    shared: &'a Shared,
    pool: &'a Name,
    server: &'a Name,
    until: Duration,
    absence: Error,
    /// When the caller's time ends.
    deadline: Duration,
    /// Whether to wait on while the pool as a whole is slow.
    stays: bool,
}

impl<'a> Patience<'a> {
    /// The patience of a request with a backend server from now on.
    ///
    /// # Errors
    ///
    /// If the caller has no time left.
    pub fn new(
        shared: &'a Shared,
        ticket: &'a Ticket,
        server: &'a Name,
    ) -> Result<Patience<'a>, Error> {
        Patience::with_silence(shared, ticket, server, |left| match ticket.kind {
            Kind::Stream { resumable: true } => STREAM_SILENCE,
            Kind::Idempotent => ticket.objective.mul_f64(SILENCE_OBJECTIVES).max(SILENCE_MIN),
            _ => left,
        })
    }

    /// The patience with the rest of a whole answer whose head has come.
    ///
    /// # Errors
    ///
    /// If the caller has no time left.
    pub fn with_body(
        shared: &'a Shared,
        ticket: &'a Ticket,
        server: &'a Name,
    ) -> Result<Patience<'a>, Error> {
        Patience::with_silence(shared, ticket, server, |left| match ticket.kind {
            Kind::Idempotent => left.mul_f64(WHOLE_SHARE),
            _ => left,
        })
    }

    /// The patience that ends after a silence, of the caller's time left, or with
    /// that time where no other backend server may be tried.
    fn with_silence(
        shared: &'a Shared,
        ticket: &'a Ticket,
        server: &'a Name,
        silence: impl Fn(Duration) -> Duration,
    ) -> Result<Patience<'a>, Error> {
        let now = shared.now();
        let left = time_left(now, ticket)?;
        let silence = silence(left);
        let (wait, absence) = if ticket.attempts_left == 0 || silence >= left {
            (left, Error::DeadlineExceeded)
        } else {
            (silence, Error::TimedOut)
        };
        let (pool, deadline) = (&ticket.pool, ticket.deadline);
        let stays = ticket.kind == Kind::Stream { resumable: true };
        Ok(Patience { shared, pool, server, until: now + wait, absence, deadline, stays })
    }

    /// Waits for a sign.
    ///
    /// # Errors
    ///
    /// What its absence means.
    pub async fn wait_for<T>(&mut self, sign: impl Future<Output = T>) -> Result<T, Error> {
        let mut sign = std::pin::pin!(sign);
        loop {
            let wait = self.until.saturating_sub(self.shared.now());
            if let Ok(sign) = actix_rt::time::timeout(wait, &mut sign).await {
                return Ok(sign);
            }
            let now = self.shared.now();
            if now >= self.deadline {
                return Err(Error::DeadlineExceeded);
            }
            if !self.stays || !self.shared.balancer().is_slow(now, self.pool, self.server) {
                return Err(self.absence);
            }
            self.until = now + LOOK.min(self.deadline - now);
        }
    }
}

/// What is left of the caller's time.
///
/// # Errors
///
/// If nothing is.
pub fn time_left(now: Duration, ticket: &Ticket) -> Result<Duration, Error> {
    let left = ticket.deadline.saturating_sub(now);
    if left.is_zero() { Err(Error::DeadlineExceeded) } else { Ok(left) }
}
