//! Relays an event stream, and moves it to another backend server when the
//! connection breaks or its rank is slow.

use std::time::Duration;

use balance::{Decision, Reason, Refusal};
use bytes::Bytes;
use connection::Connection;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::Relay;
use crate::Error;
use crate::quota::EVENT_LIMIT;
use crate::timeout::Timeout;

/// Time that an interrupted stream waits for another backend server. Below the
/// 2 s after which callers give up.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1500);

/// Interval between attempts to find a backend server during that time.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// An event stream that is being received.
pub(super) struct Source {
    connection: Connection,
    body: Incoming,
    /// Whether the end of the connection marks the end of the stream.
    until_close: bool,
}

impl Source {
    pub(super) fn new(connection: Connection, head: &Parts, body: Incoming) -> Source {
        let delimiters = [CONTENT_LENGTH, TRANSFER_ENCODING];
        let until_close = !delimiters.iter().any(|name| head.headers.contains_key(name));
        Source { connection, body, until_close }
    }
}

/// What tells whether a response is the rest of a stream.
#[derive(Debug)]
pub(super) struct StreamHead {
    status: StatusCode,
    /// Media type, in lower case and without parameters.
    media_type: Option<String>,
    /// Whether the length of the body is stated.
    has_length: bool,
}

impl StreamHead {
    pub(super) fn new<B>(response: &Response<B>) -> StreamHead {
        let value = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
        let essence = value.and_then(|value| value.split(';').next());
        let media_type = essence.map(|essence| essence.trim().to_ascii_lowercase());
        let has_length = response.headers().contains_key(CONTENT_LENGTH);
        StreamHead { status: response.status(), media_type, has_length }
    }

    /// Whether the body is relayed event by event. One of a stated length that isn't
    /// declared as events may be anything, and is whole once it has that length.
    pub(super) fn is_stream(&self) -> bool {
        !self.has_length || self.media_type.as_deref() == Some(EVENT_STREAM)
    }

    /// Whether a response with this head may be the rest of the stream. The first server
    /// may have sent no type.
    fn continues_in(&self, head: &StreamHead) -> bool {
        let is_stream = head.media_type.as_deref() == Some(EVENT_STREAM);
        self.status == head.status && (is_stream || self.media_type == head.media_type)
    }
}

impl Relay {
    /// Returns the next events of the stream, or `None` once it is complete.
    ///
    /// # Errors
    ///
    /// The refusal that ends the stream. The caller's connection must be aborted.
    pub async fn next(&mut self) -> Option<Result<Bytes, Refusal>> {
        if self.finished {
            return None;
        }
        if self.leave_slow_rank()
            && let Err(refusal) = self.reconnect(None).await
        {
            return Some(Err(self.abort(refusal)));
        }
        loop {
            match self.read().await {
                Ok(Some(events)) => {
                    self.count_bytes(events.len());
                    self.record_events();
                    return Some(Ok(events));
                }
                Ok(None) => {
                    if let Some(source) = self.source.take() {
                        self.context.pool.put(source.connection);
                    }
                    self.succeed();
                    return None;
                }
                Err(error) => {
                    if let Err(refusal) = self.resume(error).await {
                        return Some(Err(self.abort(refusal)));
                    }
                }
            }
        }
    }

    /// Records that the stream cannot be completed.
    fn abort(&mut self, refusal: Refusal) -> Refusal {
        self.shared().meter.cut.add(1);
        self.finish("cut", Some(refusal));
        refusal
    }

    /// Moves the stream off a rank that delays its whole group, if another server
    /// is available. Returns whether it moved.
    fn leave_slow_rank(&mut self) -> bool {
        let now = self.shared().now();
        let target = self.context.shared.balancer().relocate(now, &mut self.ticket);
        let Some(target) = target else { return false };
        log::info!(target: "request", id:% = self.request.id, server:% = self.target.server,
            next:% = target.server, last_event = self.last_event().unwrap_or_default();
            "moving the stream off a slow rank");
        self.attempt = None;
        self.source = None;
        self.restart_events();
        self.switch_to(target);
        true
    }

    /// Prepares for events from another server.
    fn restart_events(&mut self) {
        self.events.restart();
        // The gap until the next event doesn't reflect the speed of the pool.
        self.last_event_at = None;
    }

    fn record_events(&mut self) {
        let now = self.shared().now();
        if let Some(previous) = self.last_event_at.replace(now) {
            let gap = now - previous;
            let share = self.shared().balancer().record_gap(
                now,
                &self.ticket.pool,
                &self.target.server,
                gap,
            );
            if let Some(share) = share {
                log::info!(target: "limit", pool:% = self.ticket.pool, share = share,
                    gap_ms = gap.as_millis() as u64; "limit of open requests changed");
            }
        }
        if let Some(numbering) = self.events.take_learned()
            && self.shared().balancer().record_numbering(&self.ticket.pool, numbering)
        {
            log::info!(target: "request", id:% = self.request.id, pool:% = self.ticket.pool,
                numbering:? = numbering; "numbering of the pool's events learned");
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

    /// Reads until there are complete events, or returns `None` at the end of the
    /// stream.
    async fn read(&mut self) -> Result<Option<Bytes>, Error> {
        let server = &self.target.server;
        let mut timeout = Timeout::new(&self.context.shared, &self.ticket, server)?;
        let mut held = self.events.complete_len();
        loop {
            let events = self.events.take()?;
            if self.events.complete_len() > held {
                // An event that is held back is a sign of life as well.
                held = self.events.complete_len();
                timeout = Timeout::new(&self.context.shared, &self.ticket, server)?;
            }
            if self.events.incomplete_len() > EVENT_LIMIT {
                return Err(Error::Oversized { limit: EVENT_LIMIT });
            }
            self.reservation.resize(self.events.len())?;
            if !events.is_empty() {
                return Ok(Some(events));
            }
            let Some(source) = &mut self.source else { return Err(Error::Broken) };
            match timeout.wait_for(source.body.frame()).await? {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.events.push(data);
                    }
                }
                Some(Err(_)) => return Err(Error::Broken),
                // A server that fails before the first event may only close the
                // connection.
                None if source.until_close && self.events.sequence().is_unstarted() => {
                    return Err(Error::Broken);
                }
                // A caller that has all events already learns so when it resumes.
                None if self.events.sequence().is_resumed() => return Err(Error::NotResumed),
                None if self.events.is_empty() => return Ok(None),
                None if self.events.is_whole() => return self.events.finish().map(Some),
                None => return Err(Error::Broken),
            }
        }
    }

    /// Polls for a backend server until the caller would give up, since a failed
    /// rank group may recover in that time.
    async fn wait_for_server(
        &mut self,
        interrupted_at: Duration,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        let mut refusal = refusal;
        loop {
            let temporary =
                matches!(refusal.reason, Reason::NoServer | Reason::Full | Reason::Cold);
            if !temporary || self.shared().now() > interrupted_at + RESUME_TIMEOUT {
                return Err(refusal);
            }
            actix_rt::time::sleep(RESUME_POLL_INTERVAL).await;
            let now = self.shared().now();
            let decision = self.context.shared.balancer().retry(now, &mut self.ticket);
            match decision {
                Decision::Retry(target) => {
                    self.switch_to(target);
                    return Ok(());
                }
                Decision::Stop(latest) => refusal = latest,
            }
        }
    }

    /// Resumes an interrupted stream on another backend server.
    async fn resume(&mut self, error: Error) -> Result<(), Refusal> {
        self.restart_events();
        self.reconnect(Some(error)).await
    }

    /// Whether a response may be the rest of the stream whose head the caller has.
    fn resumes(&self, response: &Response<Incoming>) -> bool {
        self.stream_head.as_ref().is_some_and(|head| head.continues_in(&StreamHead::new(response)))
    }

    /// Resumes the stream on the current target, or on another one after an error.
    async fn reconnect(&mut self, error: Option<Error>) -> Result<(), Refusal> {
        let mut error = error;
        let interrupted_at = self.shared().now();
        loop {
            if let Some(error) = error.take()
                && let Err(refusal) = self.fail_over(error).await
            {
                self.wait_for_server(interrupted_at, refusal).await?;
            }
            match self.exchange().await {
                Ok((connection, response)) if self.resumes(&response) => {
                    self.shared().meter.resumed.add(1);
                    let (head, body) = response.into_parts();
                    self.source = Some(Source::new(connection, &head, body));
                    return Ok(());
                }
                Ok((_, response)) if response.status().is_success() => {
                    error = Some(Error::NotResumed);
                }
                Ok((_, response)) => {
                    error = Some(Error::Failed { status: response.status().as_u16() });
                }
                Err(failure) => error = Some(failure),
            }
        }
    }
}
