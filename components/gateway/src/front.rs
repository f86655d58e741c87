//! HTTP front end for callers.

use std::pin::Pin;
use std::rc::Rc;

use balance::config::Limits;
use balance::{Refusal, suspect};
use bytes::Bytes;
use futures_util::Stream;
use http::header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER};
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use listener::Rejection;

use crate::intake;
use crate::relay::{Context, Relay, Reply};
use crate::request::{Request, response_headers};
use crate::shared::Shared;

/// Body of a response to a caller.
pub type Body = Either<Full<Bytes>, StreamBody<Events>>;

/// Events of a stream.
pub type Events = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Aborted>>>>;

/// The limits on requests in force.
pub fn limits(shared: &Shared) -> listener::Limits {
    let limits = shared.balancer().config().map_or_else(Limits::default, |config| config.limits);
    let Limits { head, head_time, idle_time, .. } = limits;
    listener::Limits { head, head_time, idle_time }
}

/// Records a request that the listener rejected.
pub fn record_rejection(shared: &Shared, rejection: &Rejection) {
    let status = rejection.status();
    shared.meter.requests.add(1);
    shared.meter.record_denial(status);
    shared.meter.record_rejection(rejection);
    if shared.lines.take(shared.now()) {
        log::info!(target: "request", status = status, error:% = rejection; "head not taken");
    }
}

/// Serves a request.
pub async fn serve(context: Rc<Context>, request: http::Request<Incoming>) -> Response<Body> {
    context.shared.meter.requests.add(1);
    let leaving = context.shared.is_leaving();
    let mut response = respond(context, request).await;
    if leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn respond(context: Rc<Context>, request: http::Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Ok(mut parsed) = Request::read(&head) else {
        context.shared.meter.record_denial(400);
        log::info!(target: "request", status = 400; "malformed head");
        let mut response = empty_response(400);
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        return response;
    };
    let config = context.shared.balancer().config().map(|config| (config.version, config.limits));
    let (version, limits) = config.unwrap_or_default();
    let limit = limits.body;
    match context.shared.intake.read(body, limit).await {
        Ok(body) => parsed.body = body,
        Err(intake::Error::Large) if config.is_none() => {
            // No configuration forbids its size.
            let refusal = context.shared.balancer().refuse_unconfigured(parsed.caller_timeout);
            return refuse(&context.shared, &parsed, version, refusal);
        }
        Err(error) => return deny_body(&context.shared, &parsed.id, version, limit, error),
    }
    let id = parsed.id.clone();
    let relay = match Relay::begin(context.clone(), parsed).await {
        Ok(relay) => relay,
        Err((refusal, request)) => return refuse(&context.shared, &request, version, refusal),
    };
    match Box::new(relay).run().await {
        Reply::Complete(answer) => {
            relayed_response(&answer.head, Either::Left(Full::new(answer.body)))
        }
        Reply::Stream(parts, relay) => {
            let events: Events =
                Box::pin(futures_util::stream::unfold(relay, |mut relay| async move {
                    let events = relay.next().await?;
                    Some((events.map(Frame::data).map_err(Aborted), relay))
                }));
            relayed_response(&parts, Either::Right(StreamBody::new(events)))
        }
        Reply::Refused(refusal) => refusal_response(&id, refusal),
    }
}

/// Records that a body is not taken, and returns the response.
fn deny_body(
    shared: &Shared,
    id: &str,
    version: u64,
    limit: usize,
    error: intake::Error,
) -> Response<Body> {
    let status = error.status();
    shared.meter.record_denial(status);
    let is_exhausted = error == intake::Error::Exhausted;
    if is_exhausted {
        shared.meter.refused.add(1);
        shared.meter.evicted_bodies.add(1);
    }
    if !is_exhausted || shared.lines.take(shared.now()) {
        let (charged, resident) = shared.intake.usage();
        log::info!(target: "request", id:% = id, status = status, limit = limit, error:%,
            charged = charged, resident = resident, config = version; "body not taken");
    }
    let mut response = empty_response(status);
    if is_exhausted {
        // The rest of the body is not read.
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Records that a request is not admitted, and returns the response.
fn refuse(shared: &Shared, request: &Request, version: u64, refusal: Refusal) -> Response<Body> {
    shared.meter.refused.add(1);
    shared.meter.record_denial(refusal.status);
    log::info!(target: "request", id:% = request.id, status = refusal.status, config = version,
        reason:% = refusal.reason, prompt:% = suspect::label(&request.prompt_parts),
        retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64);
        "refused");
    refusal_response(&request.id, refusal)
}

/// A stream that cannot be completed; the caller's connection is aborted.
#[derive(Debug, thiserror::Error)]
#[error("the stream was cut: {}", .0.reason)]
pub struct Aborted(Refusal);

/// The response of a backend server.
fn relayed_response(parts: &Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    for (name, value) in response_headers(&parts.headers) {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}

/// The entry's own response without a body.
fn empty_response(status: u16) -> Response<Body> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::new())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
}

/// The entry's own response to a refused request.
fn refusal_response(id: &str, refusal: Refusal) -> Response<Body> {
    let mut response = empty_response(refusal.status);
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id)
        && !id.is_empty()
    {
        headers.insert(HeaderName::from_static(adapter::header::REQUEST_ID), id);
    }
    if let Some(wait) = refusal.retry_after
        && let Ok(seconds) = HeaderValue::from_str(&format!("{:.2}", wait.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, seconds);
    }
    *response.body_mut() = Either::Left(Full::new(refusal.reason.to_string().into()));
    response
}
