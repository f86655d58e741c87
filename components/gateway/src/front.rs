//! HTTP front end for callers.

use std::rc::Rc;

use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use balance::{Refusal, suspect};
use bytes::BytesMut;
use futures_util::StreamExt;
use http::response::Parts;

use crate::relay::{Context, Relay, Reply};
use crate::request::{Request, response_headers};

/// Limit on a request body until a configuration is known, in bytes.
const DEFAULT_BODY_LIMIT: usize = 4 << 20;

/// Serves a request.
pub async fn serve(context: Rc<Context>, request: HttpRequest, payload: Payload) -> HttpResponse {
    context.shared.meter.requests.add(1);
    let leaving = context.shared.is_leaving();
    let mut response = respond(context, &request, payload).await;
    if leaving {
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

async fn respond(context: Rc<Context>, request: &HttpRequest, payload: Payload) -> HttpResponse {
    let Ok(mut parsed) = Request::read(request) else {
        context.shared.meter.record_denial(400);
        log::info!(target: "request", status = 400; "malformed head");
        return HttpResponse::BadRequest().finish();
    };
    let (config, limit) = match context.shared.balancer().config() {
        Some(config) => (config.version, config.limits.body),
        None => (0, DEFAULT_BODY_LIMIT),
    };
    match read_body(payload, limit).await {
        Ok(body) => parsed.body = body,
        Err(status) => {
            context.shared.meter.record_denial(status);
            log::info!(target: "request", id:% = parsed.id, status = status, limit = limit;
                "body not taken");
            return response_builder(status).force_close().finish();
        }
    }
    let (id, parts) = (parsed.id.clone(), parsed.prompt_parts.clone());
    let relay = match Relay::begin(context.clone(), parsed).await {
        Ok(relay) => relay,
        Err(refusal) => {
            context.shared.meter.refused.add(1);
            context.shared.meter.record_denial(refusal.status);
            log::info!(target: "request", id:% = id, status = refusal.status, config = config,
                reason:% = refusal.reason, prompt:% = suspect::label(&parts),
                retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64);
                "refused");
            return refusal_response(&id, refusal);
        }
    };
    match Box::new(relay).run().await {
        Reply::Complete(answer) => response_head(&answer.head).body(answer.body),
        Reply::Stream(parts, relay) => {
            let events = futures_util::stream::unfold(relay, |mut relay| async move {
                let events = relay.next().await?;
                Some((events.map_err(Aborted), relay))
            });
            response_head(&parts).streaming(Box::pin(events))
        }
        Reply::Refused(refusal) => refusal_response(&id, refusal),
    }
}

/// A stream that cannot be completed; the caller's connection is aborted.
#[derive(Debug, thiserror::Error)]
#[error("the stream was cut: {}", .0.reason)]
struct Aborted(Refusal);

impl From<Aborted> for actix_web::Error {
    fn from(aborted: Aborted) -> actix_web::Error {
        actix_web::error::ErrorBadGateway(aborted.to_string())
    }
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<bytes::Bytes, u16> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| 400u16)?;
        if body.len() + chunk.len() > limit {
            return Err(413);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn response_head(parts: &Parts) -> HttpResponseBuilder {
    let mut builder = response_builder(parts.status.as_u16());
    for (name, value) in response_headers(&parts.headers) {
        let name = actix_web::http::header::HeaderName::from_bytes(name.as_bytes());
        let value = actix_web::http::header::HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            builder.append_header((name, value));
        }
    }
    builder
}

fn response_builder(status: u16) -> HttpResponseBuilder {
    let status = actix_web::http::StatusCode::from_u16(status);
    HttpResponseBuilder::new(status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY))
}

/// Builds the entry's own response to a refused request.
fn refusal_response(id: &str, refusal: Refusal) -> HttpResponse {
    let mut builder = response_builder(refusal.status);
    if !id.is_empty() {
        builder.insert_header((adapter::header::REQUEST_ID, id));
    }
    if let Some(wait) = refusal.retry_after {
        builder.insert_header(("retry-after", format!("{:.2}", wait.as_secs_f64())));
    }
    builder.body(refusal.reason.to_string())
}
