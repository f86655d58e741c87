//! Timeouts on responses of backend servers.

use std::time::Duration;

use balance::Ticket;
use balance::config::Kind;
use tables::Name;

use crate::Error;
use crate::shared::Shared;

/// Time without an event after which a stream is resumed on another backend
/// server. Below the 2 s after which callers give up.
const STREAM_TIMEOUT: Duration = Duration::from_millis(1700);

/// Time without a response after which an idempotent request is retried on
/// another backend server, as a multiple of its latency objective, and the lower
/// bound of that time.
const IDEMPOTENT_TIMEOUT_OBJECTIVES: f64 = 2.0;
const IDEMPOTENT_TIMEOUT_MIN: Duration = Duration::from_millis(400);

/// Share of the caller's remaining time within which the body of an idempotent
/// response must be complete. The rest is left for another backend server.
const BODY_TIME_SHARE: f64 = 0.5;

/// Interval between checks whether a slow pool has recovered.
const RECOVERY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time limit on the next response head, body or event, and the error to report
/// when it is exceeded. Partial data, such as part of an event, doesn't extend it.
pub struct Timeout<'a> {
    shared: &'a Shared,
    pool: &'a Name,
    server: &'a Name,
    expires: Duration,
    error: Error,
    /// Deadline of the request.
    deadline: Duration,
    /// Whether the limit is extended while the whole pool is slow.
    extends: bool,
}

impl<'a> Timeout<'a> {
    /// Starts the timeout for a response head or the next event.
    ///
    /// # Errors
    ///
    /// [`Error::DeadlineExceeded`] if the deadline has passed.
    pub fn new(
        shared: &'a Shared,
        ticket: &'a Ticket,
        server: &'a Name,
    ) -> Result<Timeout<'a>, Error> {
        Timeout::with_limit(shared, ticket, server, |remaining| match ticket.kind {
            Kind::Stream { resumable: true } => STREAM_TIMEOUT,
            Kind::Idempotent => {
                ticket.objective.mul_f64(IDEMPOTENT_TIMEOUT_OBJECTIVES).max(IDEMPOTENT_TIMEOUT_MIN)
            }
            _ => remaining,
        })
    }

    /// Starts the timeout for the body of a buffered response.
    ///
    /// # Errors
    ///
    /// [`Error::DeadlineExceeded`] if the deadline has passed.
    pub fn for_body(
        shared: &'a Shared,
        ticket: &'a Ticket,
        server: &'a Name,
    ) -> Result<Timeout<'a>, Error> {
        Timeout::with_limit(shared, ticket, server, |remaining| match ticket.kind {
            Kind::Idempotent | Kind::Stream { resumable: true } => {
                remaining.mul_f64(BODY_TIME_SHARE)
            }
            _ => remaining,
        })
    }

    /// Starts a timeout of `limit`, computed from the caller's remaining time, or
    /// of all the remaining time if no other backend server may be tried.
    fn with_limit(
        shared: &'a Shared,
        ticket: &'a Ticket,
        server: &'a Name,
        limit: impl Fn(Duration) -> Duration,
    ) -> Result<Timeout<'a>, Error> {
        let now = shared.now();
        let remaining = remaining_time(now, ticket)?;
        let limit = limit(remaining);
        let (wait, error) = if ticket.attempts_left == 0 || limit >= remaining {
            (remaining, Error::DeadlineExceeded)
        } else {
            (limit, Error::TimedOut)
        };
        let (pool, deadline) = (&ticket.pool, ticket.deadline);
        let extends = ticket.kind == Kind::Stream { resumable: true };
        Ok(Timeout { shared, pool, server, expires: now + wait, error, deadline, extends })
    }

    /// Waits for `future` until the time limit.
    ///
    /// # Errors
    ///
    /// [`Error::TimedOut`] if the limit has passed and another backend server may be
    /// tried, otherwise [`Error::DeadlineExceeded`]; [`Error::Stopped`] if the entry ends
    /// its open requests.
    pub async fn wait_for<T>(&mut self, future: impl Future<Output = T>) -> Result<T, Error> {
        let mut future = std::pin::pin!(future);
        loop {
            let wait = self.expires.saturating_sub(self.shared.now());
            tokio::select! {
                // A response that is there counts, also at the end.
                biased;
                value = &mut future => return Ok(value),
                () = self.shared.wait_for_end() => return Err(Error::Stopped),
                () = actix_rt::time::sleep(wait) => {}
            }
            let now = self.shared.now();
            if now >= self.deadline {
                return Err(Error::DeadlineExceeded);
            }
            if !self.extends || !self.shared.balancer().is_slow(now, self.pool, self.server) {
                return Err(self.error);
            }
            self.expires = now + RECOVERY_CHECK_INTERVAL.min(self.deadline - now);
        }
    }
}

/// Time until the deadline of the request.
///
/// # Errors
///
/// [`Error::DeadlineExceeded`] if it has passed.
pub fn remaining_time(now: Duration, ticket: &Ticket) -> Result<Duration, Error> {
    let remaining = ticket.deadline.saturating_sub(now);
    if remaining.is_zero() { Err(Error::DeadlineExceeded) } else { Ok(remaining) }
}
