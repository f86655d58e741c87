//! Relays a request to backend servers: attempts and buffered responses.

mod stream;
mod trial;
mod wait;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::header;
use balance::config::Kind;
use balance::suspect;
use balance::{Decision, Outcome, Prompt, Refusal, Target, Ticket};
use bytes::{Bytes, BytesMut};
use connection::{Connection, Pool};
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;

use self::stream::{Source, StreamHead};
use crate::Error;
use crate::events::Splitter;
use crate::quota::{EVENT_LIMIT, HELD_LIMIT, RESPONSE_LIMIT, Reservation};
use crate::request::Request;
use crate::sequence::Sequence;
use crate::shared::{Guard, Shared};
use crate::timeout::{Timeout, remaining_time};

/// Idle time up to which a connection is reused for requests that must not be
/// repeated: if the backend server closes it at the same time, the execution state
/// of the request is unknown.
const ONCE_IDLE_LIMIT: Duration = Duration::from_millis(500);

/// State that all requests on a thread use.
pub struct Context {
    /// Shared state of the process.
    pub shared: Arc<Shared>,
    /// Connections to backend servers, owned by the thread.
    pub pool: Pool,
}

/// A buffered response of a backend server.
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// Complete body.
    pub body: Bytes,
}

/// Reply to a caller.
pub enum Reply {
    /// A complete response.
    Complete(Answer),
    /// A stream whose head has been received.
    Stream(Parts, Box<Relay>),
    /// No backend server answered.
    Refused(Refusal),
}

/// Counts an attempt at a backend server as open until it is dropped.
struct Attempt {
    shared: Arc<Shared>,
    server: tables::Name,
    prompt: Prompt,
    first_event_recorded: bool,
}

impl Attempt {
    fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.first_event_recorded, true) {
            let now = self.shared.now();
            let cleared =
                self.shared.balancer().record_first_event(now, &self.server, &self.prompt);
            if !cleared.is_empty() {
                log::info!(target: "suspect", server:% = self.server,
                    parts:% = suspect::label(&cleared); "prompt parts cleared by a first event");
            }
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut balancer = self.shared.balancer();
        if !self.first_event_recorded {
            balancer.end_wait(&self.server, &self.prompt);
        }
        balancer.release(&self.server);
    }
}

/// A request in progress.
pub struct Relay {
    context: Rc<Context>,
    request: Request,
    ticket: Ticket,
    target: Target,
    // Declared before the connection so that it is dropped first: the count of
    // open requests never lags behind closed connections.
    attempt: Option<Attempt>,
    source: Option<Source>,
    /// Head of the stream that the caller has.
    stream_head: Option<StreamHead>,
    events: Splitter,
    /// Memory reserved for an incomplete event and for those that are held back.
    reservation: Reservation,
    /// Time of the last events received in the current attempt.
    last_event_at: Option<Duration>,
    /// Size of the request body and of the response so far.
    bytes: u64,
    finished: bool,
    _guard: Guard,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            self.context.shared.meter.disconnected.add(1);
            let now = self.context.shared.now();
            log::info!(target: "request", id:% = self.request.id, server:% = self.target.server,
                age_ms = (now - self.ticket.arrived).as_millis() as u64; "caller left");
        }
    }
}

impl Relay {
    /// Admits a request and starts the attempt at its first backend server.
    ///
    /// # Errors
    ///
    /// The refusal and the request, if it is not admitted or has no backend server.
    pub async fn begin(
        context: Rc<Context>,
        request: Request,
    ) -> Result<Relay, (Refusal, Request)> {
        let shared = context.shared.clone();
        let now = shared.now();
        let submission = balance::Submission {
            host: &request.host,
            path: request.target.path(),
            key: request.key.as_deref(),
            caller_timeout: request.caller_timeout,
            prompt_tokens: request.prompt_tokens,
            fingerprint: request.fingerprint(),
            shared_parts: request.shared_parts(),
        };
        let admitted = shared.balancer().admit(now, &submission);
        let mut ticket = match admitted {
            Ok(ticket) => ticket,
            Err(refusal) => return Err((refusal, request)),
        };
        let target = match wait::choose(&shared, &request.id, &mut ticket).await {
            Ok(target) => target,
            Err(refusal) => return Err((refusal, request)),
        };
        let resumable = ticket.kind == Kind::Stream { resumable: true };
        let numbering = shared.balancer().numbering(&ticket.pool);
        let sequence = Sequence::new(request.last_event, numbering, resumable);
        let events = Splitter::new(sequence);
        let guard = shared.count_request();
        let reservation = shared.quota.reserve(HELD_LIMIT + EVENT_LIMIT);
        let mut relay = Relay {
            context,
            request,
            ticket,
            target,
            attempt: None,
            source: None,
            stream_head: None,
            events,
            reservation,
            last_event_at: None,
            bytes: 0,
            finished: false,
            _guard: guard,
        };
        relay.begin_attempt();
        Ok(relay)
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.context.shared
    }

    /// Counts and logs the attempt at the current target.
    fn begin_attempt(&mut self) {
        self.attempt = Some(Attempt {
            shared: self.shared().clone(),
            server: self.target.server.clone(),
            prompt: self.ticket.prompt.clone(),
            first_event_recorded: false,
        });
        if self.target.trial {
            self.shared().meter.trials.add(1);
            self.shared().trial_started.notify_one();
        }
        self.shared().meter.crossings.record_request(&self.ticket.pool, &self.target.zone);
        self.count_bytes(self.request.body.len());
        let config = self.shared().balancer().config().map_or(0, |config| config.version);
        log::info!(target: "request", id:% = self.request.id, route:% = self.ticket.route,
            server:% = self.target.server, zone:% = self.target.zone, open = self.target.open,
            cold = self.target.cold,
            attempt = self.ticket.tried.len(), config = config,
            trial = self.target.trial,
            prompt:% = suspect::label(&self.request.prompt_parts); "dispatched");
    }

    /// Counts bytes sent to or received from the current target.
    fn count_bytes(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        let meter = &self.context.shared.meter;
        meter.crossings.record_bytes(&self.ticket.pool, &self.target.zone, bytes);
    }

    /// Tries backend servers until one answers or the request is refused.
    pub async fn run(mut self: Box<Relay>) -> Reply {
        loop {
            let error = match self.exchange().await {
                Ok((connection, response)) => match self.receive_body(connection, response).await {
                    Ok(Disposition::Stream(head)) => return Reply::Stream(head, self),
                    Ok(Disposition::Complete(answer)) => {
                        self.succeed();
                        return Reply::Complete(answer);
                    }
                    Ok(Disposition::Retried) => continue,
                    Err(error) => error,
                },
                Err(error) => error,
            };
            if let Err(refusal) = self.fail_over(error).await {
                self.finish("refused", Some(refusal));
                return Reply::Refused(refusal);
            }
        }
    }

    /// Records the end of a completely answered request.
    fn succeed(&mut self) {
        let mut balancer = self.shared().balancer();
        balancer.succeed(&self.ticket);
        balancer.record_size(&self.ticket.pool, self.bytes);
        drop(balancer);
        self.finish("answered", None);
        let age = self.shared().now() - self.ticket.arrived;
        self.shared().meter.answer_seconds.record(age.as_secs_f64());
    }

    fn finish(&mut self, outcome: &'static str, refusal: Option<Refusal>) {
        self.finished = true;
        self.attempt = None;
        let age = self.shared().now() - self.ticket.arrived;
        let meter = &self.shared().meter;
        match refusal {
            Some(_) => meter.refused.add(1),
            None => meter.answered.add(1),
        }
        let reason = refusal.map_or(String::new(), |refusal| refusal.reason.to_string());
        log::info!(target: "request", id:% = self.request.id, server:% = self.target.server,
            age_ms = age.as_millis() as u64, attempts = self.ticket.tried.len(),
            reason:% = reason, status = refusal.map_or(0, |refusal| refusal.status),
            last_event = self.last_event().unwrap_or_default(); "{outcome}");
    }

    /// Ends a failed attempt and starts the next one, or returns the refusal.
    async fn fail_over(&mut self, error: Error) -> Result<(), Refusal> {
        let begun = self.attempt.take().is_some_and(|attempt| attempt.first_event_recorded);
        self.source = None;
        let outcome = self.outcome(error).await;
        if outcome == Outcome::Crashed {
            self.shared().meter.crashes.add(1);
        }
        if matches!(error, Error::Oversized { .. } | Error::Unreadable) {
            self.shared().meter.unusable_answers.add(1);
        }
        let now = self.shared().now();
        let decision = self.context.shared.balancer().fail(now, &mut self.ticket, outcome);
        log::info!(target: "request", id:% = self.request.id, server:% = self.target.server,
            error:% = error, begun = begun, crashed = outcome == Outcome::Crashed, may_have_run = self.ticket.may_have_run,
            next = matches!(decision, Decision::Retry(_)); "attempt failed");
        match decision {
            Decision::Retry(target) => {
                self.switch_to(target);
                Ok(())
            }
            Decision::Stop(refusal) => Err(refusal),
        }
    }

    fn switch_to(&mut self, target: Target) {
        self.shared().meter.retries.add(1);
        self.target = target;
        self.begin_attempt();
    }

    /// Sends the request and waits for the response head.
    async fn exchange(&mut self) -> Result<(Connection, Response<Incoming>), Error> {
        let address = self.target.address;
        let max_idle = match self.ticket.kind {
            Kind::Once | Kind::Stream { resumable: false } => ONCE_IDLE_LIMIT,
            _ => Duration::MAX,
        };
        if let Some(connection) = self.context.pool.take(address, max_idle) {
            match self.send(connection, Use::Again).await {
                Err(Error::ConnectFailed) => {}
                Err(Error::Broken) => return Err(Error::StaleConnection),
                result => return result,
            }
        }
        self.shared().meter.connections.add(1);
        let connection = connection::connect(address).await?;
        self.send(connection, Use::First).await
    }

    async fn send(
        &self,
        mut connection: Connection,
        usage: Use,
    ) -> Result<(Connection, Response<Incoming>), Error> {
        let remaining = self.remaining_time()?;
        let last_event = self.last_event();
        let request = self.request.to_backend(&self.ticket, &self.target, remaining, last_event)?;
        let mut timeout = Timeout::new(self.shared(), &self.ticket, &self.target.server)?;
        let response = timeout.wait_for(connection.send(request)).await??;
        self.check_head(&response, usage)?;
        Ok((connection, response))
    }

    /// Id of the last event after which another server can continue.
    fn last_event(&self) -> Option<u64> {
        self.events.sequence().last_id()
    }

    fn remaining_time(&self) -> Result<Duration, Error> {
        remaining_time(self.shared().now(), &self.ticket)
    }

    /// Checks that the response head belongs to the request and comes from the
    /// backend server itself.
    fn check_head(&self, response: &Response<Incoming>, usage: Use) -> Result<(), Error> {
        let status = response.status().as_u16();
        let answer = read_answer(response);
        let has_id = !self.request.id.is_empty();
        if has_id && answer.id.is_some_and(|id| id != self.request.id.as_str()) {
            return Err(Error::RequestMismatch);
        }
        let refused = answer.not_run || status == 421;
        if refused && usage == Use::Again && (!has_id || answer.id.is_none()) {
            return Err(Error::Unattributed { status });
        }
        if status == 421 {
            return Err(Error::Misdirected);
        }
        self.record_notices(status, &answer);
        if answer.not_run {
            return Err(Error::Refused { status });
        }
        let success = response.status().is_success();
        if success && (!answer.signed || answer.encoded || (has_id && answer.id.is_none())) {
            return Err(Error::Unsigned);
        }
        Ok(())
    }

    /// Records the leaving and backoff notices in the response headers.
    fn record_notices(&self, status: u16, answer: &header::Answer<'_>) {
        if answer.unreadable {
            self.shared().meter.unreadable_notices.add(1);
        }
        let backoff = answer.backoff.filter(|_| status == 503);
        if !answer.leaving && backoff.is_none() {
            return;
        }
        let (now, start) = (self.shared().now(), self.target.start());
        let mut balancer = self.shared().balancer();
        if answer.leaving && balancer.record_leaving(now, start.clone()) {
            log::info!(target: "server", id:% = self.request.id, server:% = start.server,
                born = start.started_ms; "backend server announced that it is leaving");
        }
        let Some(wait) = backoff else { return };
        if balancer.record_backoff(now, start.clone(), wait) {
            log::info!(target: "server", id:% = self.request.id, server:% = start.server,
                wait_ms = wait.as_millis() as u64; "backend server requested a backoff");
        }
    }

    /// Buffers the response body, or begins to relay a stream.
    async fn receive_body(
        &mut self,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Disposition, Error> {
        if let Some(keep_alive) = read_answer(&response).keep_alive {
            connection.set_idle_limit(keep_alive);
        }
        let may_stream = self.ticket.kind.is_stream() && response.status().is_success();
        self.stream_head =
            may_stream.then(|| StreamHead::new(&response)).filter(StreamHead::is_stream);
        let (head, body) = response.into_parts();
        if self.stream_head.is_some() {
            self.source = Some(Source::new(connection, &head, body));
            return Ok(Disposition::Stream(head));
        }
        let shared = self.shared().clone();
        let mut timeout = Timeout::for_body(&shared, &self.ticket, &self.target.server)?;
        let reservation = shared.quota.reserve(RESPONSE_LIMIT);
        let body = timeout.wait_for(read_body(body, reservation)).await??;
        self.context.pool.put(connection);
        self.count_bytes(body.len());
        if head.status.is_server_error() && self.ticket.kind.is_repeatable() {
            return Ok(self.retry_or_forward(Answer { head, body }).await);
        }
        if let Some(attempt) = &mut self.attempt
            && head.status.is_success()
        {
            attempt.record_first_event();
        }
        Ok(Disposition::Complete(Answer { head, body }))
    }

    /// Retries a server error on another backend server, or forwards it unchanged
    /// if no attempt is left.
    async fn retry_or_forward(&mut self, answer: Answer) -> Disposition {
        let status = answer.head.status.as_u16();
        match self.fail_over(Error::Failed { status }).await {
            Ok(()) => Disposition::Retried,
            Err(_) => Disposition::Complete(answer),
        }
    }
}

/// Whether a connection has served other requests. What arrives on it may then belong to
/// one of these.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Use {
    First,
    Again,
}

/// How a response was processed.
enum Disposition {
    /// The stream began with this head.
    Stream(Parts),
    /// The response is complete.
    Complete(Answer),
    /// Another attempt has started.
    Retried,
}

/// Reads a body until its end.
async fn read_body(mut body: Incoming, mut reservation: Reservation) -> Result<Bytes, Error> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::Broken)?;
        if let Some(data) = frame.data_ref() {
            reservation.resize(buffer.len() + data.len())?;
            buffer.extend_from_slice(data);
        }
    }
    Ok(buffer.freeze())
}

fn read_answer(response: &Response<Incoming>) -> header::Answer<'_> {
    let headers = response.headers();
    header::Answer::read(|name| headers.get(name).and_then(|value| value.to_str().ok()))
}
