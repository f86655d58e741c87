//! A stream that is passed on: events, slow ranks, another backend server in
//! the middle.

use std::time::Duration;

use balance::{Decision, Reason, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;

use super::Relay;
use crate::Error;
use crate::timeout::Timeout;

/// Time that a begun stream waits for a backend server. Below the two seconds
/// after which callers give up.
const RESUME_WAIT: Duration = Duration::from_millis(1500);

/// Time between two looks for a backend server meanwhile.
const RESUME_LOOK: Duration = Duration::from_millis(50);

impl Relay {
    /// The next events of a stream; nothing once it is complete.
    ///
    /// # Errors
    ///
    /// The refusal that ends it. The caller's connection has to be broken off.
    pub async fn next(&mut self) -> Option<Result<Bytes, Refusal>> {
        if self.finished {
            return None;
        }
        if self.leave_slow_rank()
            && let Err(refusal) = self.reconnect(None).await
        {
            return Some(Err(self.cut(refusal)));
        }
        loop {
            match self.read().await {
                Ok(Some(events)) => {
                    self.note_events();
                    return Some(Ok(events));
                }
                Ok(None) => {
                    if let Some((connection, _)) = self.source.take() {
                        self.context.pool.put(connection);
                    }
                    self.succeed();
                    return None;
                }
                Err(error) => {
                    if let Err(refusal) = self.resume(error).await {
                        return Some(Err(self.cut(refusal)));
                    }
                }
            }
        }
    }

    /// The stream can't be completed.
    fn cut(&mut self, refusal: Refusal) -> Refusal {
        self.shared().meter.cut.add(1);
        self.finish("cut", Some(refusal));
        refusal
    }

    /// Gives up a rank for which the whole group waits, if another server takes
    /// the stream.
    fn leave_slow_rank(&mut self) -> bool {
        let now = self.shared().now();
        let target = self.context.shared.balancer().relocate(now, &mut self.ticket);
        let Some(target) = target else { return false };
        log::info!(target: "request", id:% = self.request.id, server:% = self.target.server,
            next:% = target.server, last_event = self.events.last_id(); "leaving a slow rank");
        self.attempt = None;
        self.source = None;
        self.restart_events();
        self.go_to(target);
        true
    }

    /// The next events come from another server.
    fn restart_events(&mut self) {
        self.events.restart();
        // The gap until the next event says nothing of the pool's pace.
        self.heard = None;
    }

    fn note_events(&mut self) {
        let now = self.shared().now();
        if let Some(before) = self.heard.replace(now) {
            let gap = now - before;
            let share = self.shared().balancer().record_gap(now, &self.ticket.pool, gap);
            if let Some(share) = share {
                log::info!(target: "limit", pool:% = self.ticket.pool, share = share,
                    gap_ms = gap.as_millis() as u64; "limit of open requests changed");
            }
        }
        if !self.ticket.begun {
            self.ticket.begun = true;
            let age = now - self.ticket.arrived;
            self.shared().meter.first_event_seconds.record(age.as_secs_f64());
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.record_first_event();
        }
    }

    /// Reads until there are whole events; nothing at the end of the stream.
    async fn read(&mut self) -> Result<Option<Bytes>, Error> {
        let server = &self.target.server;
        let mut timeout = Timeout::new(&self.context.shared, &self.ticket, server)?;
        loop {
            let events = self.events.take()?;
            self.reservation.resize(self.events.len())?;
            if !events.is_empty() {
                return Ok(Some(events));
            }
            let Some((_, body)) = &mut self.source else { return Err(Error::Broken) };
            match timeout.wait_for(body.frame()).await? {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.events.push(data);
                    }
                }
                Some(Err(_)) => return Err(Error::Broken),
                None if self.events.is_empty() => return Ok(None),
                None => return Err(Error::Broken),
            }
        }
    }

    /// Waits until a backend server takes a begun stream, as long as its caller
    /// does: a broken rank group may be back before.
    async fn wait_for_server(&mut self, broken: Duration, refusal: Refusal) -> Result<(), Refusal> {
        let mut refusal = refusal;
        loop {
            let passing = matches!(refusal.reason, Reason::NoServer | Reason::Full | Reason::Cold);
            if !passing || self.shared().now() > broken + RESUME_WAIT {
                return Err(refusal);
            }
            actix_rt::time::sleep(RESUME_LOOK).await;
            let now = self.shared().now();
            let next = self.context.shared.balancer().retry(now, &mut self.ticket);
            match next {
                Decision::Retry(target) => {
                    self.go_to(target);
                    return Ok(());
                }
                Decision::Stop(later) => refusal = later,
            }
        }
    }

    /// Goes on with a broken stream at another backend server.
    async fn resume(&mut self, error: Error) -> Result<(), Refusal> {
        self.restart_events();
        self.reconnect(Some(error)).await
    }

    /// Goes on at the present target, or after an error at another one.
    async fn reconnect(&mut self, error: Option<Error>) -> Result<(), Refusal> {
        let mut error = error;
        let broken = self.shared().now();
        loop {
            if let Some(error) = error.take()
                && let Err(refusal) = self.go_on(error)
            {
                self.wait_for_server(broken, refusal).await?;
            }
            match self.exchange().await {
                Ok((connection, response)) if response.status().is_success() => {
                    self.shared().meter.resumed.add(1);
                    self.source = Some((connection, response.into_body()));
                    return Ok(());
                }
                Ok((_, response)) => {
                    error = Some(Error::Failed { status: response.status().as_u16() });
                }
                Err(failure) => error = Some(failure),
            }
        }
    }
}
