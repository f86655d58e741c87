//! Problems in answers to callers: problem+json (RFC 9457) or an SSE event.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use routing::problem::{Code, Problem};
use serde::Serialize;
use wire::{Execution, RequestId};

/// Media type of a problem.
const PROBLEM_TYPE: &str = "application/problem+json";
/// Header with the request's identifier, the argument of `wisteria explain`.
pub const REQUEST_HEADER: &str = "x-request-id";

/// The JSON body of a problem.
#[derive(Debug, Serialize)]
struct Body {
    title: String,
    status: u16,
    code: Code,
    ran: Execution,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request: RequestId,
}

fn body(id: RequestId, problem: &Problem) -> Body {
    Body {
        title: title(problem.code).to_owned(),
        status: problem.status(),
        code: problem.code,
        ran: problem.execution,
        retry_after_ms: problem.retry_after.map(|wait| wait.as_millis() as u64),
        request: id,
    }
}

/// Returns the HTTP response for a problem.
pub fn response(id: RequestId, problem: &Problem) -> HttpResponse {
    let status =
        StatusCode::from_u16(problem.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    builder.content_type(PROBLEM_TYPE);
    builder.insert_header((REQUEST_HEADER, id.to_string()));
    if let Some(wait) = problem.retry_after {
        // The header is in whole seconds; the time is rounded up, to at least 1.
        let seconds = wait.as_millis().div_ceil(1000).max(1);
        builder.insert_header(("retry-after", seconds.to_string()));
    }
    builder.json(body(id, problem))
}

/// Returns the last event of a stream that can't be completed.
pub fn event(id: RequestId, problem: &Problem) -> String {
    let json = serde_json::to_string(&body(id, problem)).unwrap_or_default();
    format!("event: error\ndata: {json}\n\n")
}

fn title(code: Code) -> &'static str {
    match code {
        Code::Unauthorized => "no client account has this key",
        Code::NoRoute => "no route takes this request",
        Code::Malformed => "the request is malformed",
        Code::TooLarge => "the request is too large",
        Code::Slow => "the body arrived too slowly",
        Code::Deadline => "the deadline has passed",
        Code::Overloaded => "too many requests are open",
        Code::Leaving => "this entry is leaving",
        Code::Refused(_) => "no backend server gave an answer",
    }
}
