//! HTTP front end for callers.

use std::pin::Pin;
use std::rc::Rc;

use balance::config::Limits;
use balance::{Refusal, suspect};
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use http::header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER};
use http::response::Parts;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use listener::Rejection;

use crate::relay::{Context, Relay, Reply};
use crate::request::{Request, response_headers};
use crate::shared::Shared;

/// Largest part of a body that is read and discarded, so that its caller gets the
/// response instead of a reset connection, in bytes.
const DISCARD_LIMIT: usize = 64 << 20;

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
    log::info!(target: "request", status = status, error:% = rejection; "head not taken");
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
    match read_body(body, limit).await {
        Ok(body) => parsed.body = body,
        Err(413) if config.is_none() => {
            // No configuration forbids its size.
            let refusal = context.shared.balancer().refuse_unconfigured(parsed.caller_timeout);
            return refuse(&context.shared, &parsed, version, refusal);
        }
        Err(status) => {
            context.shared.meter.record_denial(status);
            log::info!(target: "request", id:% = parsed.id, status = status, limit = limit,
                config = version; "body not taken");
            return empty_response(status);
        }
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

/// Reads a body. One that exceeds `limit` is read to its end, but not kept.
///
/// # Errors
///
/// The status that tells the caller.
async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, u16> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > DISCARD_LIMIT.max(limit) {
        return Err(413);
    }
    let mut kept = BytesMut::new();
    let mut size = 0_usize;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| 400_u16)?;
        let Some(data) = frame.data_ref() else { continue };
        size += data.len();
        if size <= limit {
            kept.extend_from_slice(data);
        } else {
            kept = BytesMut::new();
        }
        if size > DISCARD_LIMIT.max(limit) {
            return Err(413);
        }
    }
    if size > limit { Err(413) } else { Ok(kept.freeze()) }
}

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
