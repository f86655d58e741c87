//! One request at backend servers: attempts and whole answers.

mod stream;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use adapter::header;
use balance::config::Kind;
use balance::{Decision, Refusal, Target, Ticket};
use bytes::{Bytes, BytesMut};
use connection::{Connection, Pool};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;

use crate::Error;
use crate::events::Splitter;
use crate::quota::{EVENT_LIMIT, RESPONSE_LIMIT, Reservation};
use crate::request::Request;
use crate::shared::{Open, Shared};
use crate::timeout::{Timeout, remaining_time};

/// Age of an idle connection up to which work that must not be repeated uses
/// it: a backend server that closes it meanwhile would leave its fate open.
const ONCE_IDLE_LIMIT: Duration = Duration::from_millis(500);

/// What every request on a thread uses.
pub struct Context {
    /// State of the process.
    pub shared: Arc<Shared>,
    /// Connections of the thread.
    pub pool: Pool,
}

/// A whole answer of a backend server.
pub struct Answer {
    /// Status, headers; the body is beside it.
    pub head: http::response::Parts,
    /// Body.
    pub body: Bytes,
}

/// What comes of a request.
pub enum Reply {
    /// A whole answer.
    Whole(Answer),
    /// A stream whose head has come.
    Stream(http::response::Parts, Box<Relay>),
    /// No backend server answers.
    Refused(Refusal),
}

/// Counts an attempt at a backend server until it is dropped.
struct Attempt {
    shared: Arc<Shared>,
    server: tables::Name,
    prompt_tokens: u32,
    first: bool,
}

impl Attempt {
    fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.first, true) {
            self.shared.balancer().record_first_event(&self.server, self.prompt_tokens);
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.record_first_event();
        self.shared.balancer().release(&self.server);
    }
}

/// A request on its way.
pub struct Relay {
    context: Rc<Context>,
    request: Request,
    ticket: Ticket,
    target: Target,
    // Dropped before the connection, so that the count never lags behind.
    attempt: Option<Attempt>,
    source: Option<(Connection, Incoming)>,
    events: Splitter,
    /// Memory of an unfinished event.
    reservation: Reservation,
    /// When the last events of the present attempt came.
    heard: Option<Duration>,
    finished: bool,
    _open: Open,
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
    /// Admits a request and sends it to its first backend server.
    ///
    /// # Errors
    ///
    /// The final answer, if there is no backend server for it.
    pub fn begin(context: Rc<Context>, request: Request) -> Result<Relay, Refusal> {
        let shared = context.shared.clone();
        let now = shared.now();
        let mut balancer = shared.balancer();
        let submission = balance::Submission {
            host: &request.host,
            path: request.target.path(),
            key: request.key.as_deref(),
            caller_timeout: request.caller_timeout,
            prompt_tokens: request.prompt_tokens,
            fingerprint: request.fingerprint(),
        };
        let mut ticket = balancer.admit(now, &submission)?;
        let target = balancer.choose(now, &mut ticket)?;
        drop(balancer);
        let events = Splitter::new(request.last_event.unwrap_or_default());
        let open = shared.enter();
        let reservation = shared.quota.reserve(EVENT_LIMIT);
        let mut relay = Relay {
            context,
            request,
            ticket,
            target,
            attempt: None,
            source: None,
            events,
            reservation,
            heard: None,
            finished: false,
            _open: open,
        };
        relay.begin_attempt();
        Ok(relay)
    }

    fn shared(&self) -> &Arc<Shared> {
        &self.context.shared
    }

    /// Counts and logs the attempt at the present target.
    fn begin_attempt(&mut self) {
        self.attempt = Some(Attempt {
            shared: self.shared().clone(),
            server: self.target.server.clone(),
            prompt_tokens: self.ticket.prompt_tokens,
            first: false,
        });
        let config = self.shared().balancer().config().map_or(0, |config| config.version);
        log::info!(target: "request", id:% = self.request.id, route:% = self.ticket.route,
            server:% = self.target.server, open = self.target.open, cold = self.target.cold,
            attempt = self.ticket.tried.len(), config = config; "dispatched");
    }

    /// Tries backend servers until one answers or none is left.
    pub async fn run(mut self: Box<Relay>) -> Reply {
        loop {
            let error = match self.exchange().await {
                Ok((connection, response)) => match self.take(connection, response).await {
                    Ok(Taken::Stream(head)) => return Reply::Stream(head, self),
                    Ok(Taken::Whole(answer)) => {
                        self.succeed();
                        return Reply::Whole(answer);
                    }
                    Ok(Taken::Again) => continue,
                    Err(error) => error,
                },
                Err(error) => error,
            };
            if let Err(refusal) = self.go_on(error) {
                self.finish("refused", Some(refusal));
                return Reply::Refused(refusal);
            }
        }
    }

    /// The answer is whole: the end of the request.
    fn succeed(&mut self) {
        self.shared().balancer().succeed(&self.ticket);
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
            last_event = self.events.last_id(); "{outcome}");
    }

    /// After a failed attempt: the next one, or the final answer.
    fn go_on(&mut self, error: Error) -> Result<(), Refusal> {
        self.attempt = None;
        self.source = None;
        if matches!(error, Error::Oversized { .. } | Error::Unreadable) {
            self.shared().meter.unusable_answers.add(1);
        }
        let now = self.shared().now();
        let next = self.context.shared.balancer().fail(now, &mut self.ticket, error.outcome());
        log::info!(target: "request", id:% = self.request.id, server:% = self.target.server,
            error:% = error, may_have_run = self.ticket.may_have_run,
            next = matches!(next, Decision::Retry(_)); "attempt failed");
        match next {
            Decision::Retry(target) => {
                self.go_to(target);
                Ok(())
            }
            Decision::Stop(refusal) => Err(refusal),
        }
    }

    fn go_to(&mut self, target: Target) {
        self.shared().meter.retries.add(1);
        self.target = target;
        self.begin_attempt();
    }

    /// Sends the request and waits for the head of the answer.
    async fn exchange(&mut self) -> Result<(Connection, Response<Incoming>), Error> {
        let address = self.target.address;
        let age = match self.ticket.kind {
            Kind::Once | Kind::Stream { resumable: false } => ONCE_IDLE_LIMIT,
            _ => Duration::MAX,
        };
        if let Some(connection) = self.context.pool.take(address, age) {
            match self.send(connection).await {
                Err(Error::ConnectFailed) => {}
                Err(Error::Broken) => return Err(Error::StaleConnection),
                result => return result,
            }
        }
        self.shared().meter.connections.add(1);
        let connection = connection::connect(address).await?;
        self.send(connection).await
    }

    async fn send(
        &self,
        mut connection: Connection,
    ) -> Result<(Connection, Response<Incoming>), Error> {
        let left = self.left()?;
        let resumed = self.events.last_id();
        let last_event = (resumed > 0).then_some(resumed);
        let request = self.request.to_backend(&self.ticket, &self.target, left, last_event);
        let mut timeout = Timeout::new(self.shared(), &self.ticket, &self.target.server)?;
        let response = timeout.wait_for(connection.send(request)).await??;
        self.check(&response)?;
        Ok((connection, response))
    }

    fn left(&self) -> Result<Duration, Error> {
        remaining_time(self.shared().now(), &self.ticket)
    }

    /// Whether the head belongs to the request and is the server's own.
    fn check(&self, response: &Response<Incoming>) -> Result<(), Error> {
        let status = response.status().as_u16();
        let answer = read_answer(response);
        if status == 421 {
            return Err(Error::Misdirected);
        }
        self.note_notices(status, &answer);
        let known = !self.request.id.is_empty();
        if known && answer.id.is_some_and(|id| id != self.request.id.as_str()) {
            return Err(Error::RequestMismatch);
        }
        if answer.not_run {
            return Err(Error::Refused { status });
        }
        let success = response.status().is_success();
        if success && (!answer.signed || answer.encoded || (known && answer.id.is_none())) {
            return Err(Error::Unsigned);
        }
        Ok(())
    }

    /// Notes what the server says of itself besides its answer.
    fn note_notices(&self, status: u16, answer: &header::Answer<'_>) {
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
                born = start.started_ms; "leaving, as it says itself");
        }
        let Some(wait) = backoff else { return };
        if balancer.record_backoff(now, start.clone(), wait) {
            log::info!(target: "server", id:% = self.request.id, server:% = start.server,
                wait_ms = wait.as_millis() as u64; "wants no requests for a while");
        }
    }

    /// Takes the answer's body, or begins to pass on a stream.
    async fn take(
        &mut self,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Taken, Error> {
        if let Some(stated) = read_answer(&response).keep_alive {
            connection.set_idle_limit(stated);
        }
        let (head, body) = response.into_parts();
        if self.ticket.kind.is_stream() && head.status.is_success() {
            self.source = Some((connection, body));
            return Ok(Taken::Stream(head));
        }
        let shared = self.shared().clone();
        let mut timeout = Timeout::for_body(&shared, &self.ticket, &self.target.server)?;
        let reservation = shared.quota.reserve(RESPONSE_LIMIT);
        let body = timeout.wait_for(read_whole(body, reservation)).await??;
        self.context.pool.put(connection);
        if head.status.is_server_error() && self.ticket.kind.is_repeatable() {
            return Ok(self.try_elsewhere(Answer { head, body }));
        }
        Ok(Taken::Whole(Answer { head, body }))
    }

    /// A backend server's own failure: another one is tried, and if there is
    /// none, the failure is passed on as it is.
    fn try_elsewhere(&mut self, answer: Answer) -> Taken {
        let status = answer.head.status.as_u16();
        match self.go_on(Error::Failed { status }) {
            Ok(()) => Taken::Again,
            Err(_) => Taken::Whole(answer),
        }
    }
}

/// What became of an answer's body.
enum Taken {
    /// The head of a stream.
    Stream(http::response::Parts),
    /// A whole answer.
    Whole(Answer),
    /// Another backend server is tried.
    Again,
}

/// Reads a whole body.
async fn read_whole(mut body: Incoming, mut reservation: Reservation) -> Result<Bytes, Error> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::Broken)?;
        if let Some(data) = frame.data_ref() {
            reservation.resize(whole.len() + data.len())?;
            whole.extend_from_slice(data);
        }
    }
    Ok(whole.freeze())
}

fn read_answer(response: &Response<Incoming>) -> header::Answer<'_> {
    let headers = response.headers();
    header::Answer::read(|name| headers.get(name).and_then(|value| value.to_str().ok()))
}
