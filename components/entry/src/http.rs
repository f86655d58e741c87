//! Callers' HTTP: a request in, the parts of its answer out.

use std::time::Duration;

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data, Payload};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use futures_util::StreamExt;
use futures_util::stream::{self, Stream};
use routing::problem::{Code, Problem};
use routing::{Part, Submission};
use serde::Deserialize;
use tables::Name;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use uuid::Uuid;
use wire::RequestId;

use crate::core::{Core, Disconnected, Request};
use crate::problem::{self, REQUEST_HEADER};

/// Path of chat completions, whose body names the model.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Header with the caller's time limit, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Header with the caller's class: `interactive` or `batch`.
const PRIORITY_HEADER: &str = "x-priority";
/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 256;
/// Most bytes of all headers that are passed on.
const HEADERS_LIMIT: usize = 32 << 10;
/// Headers that concern only one connection, or this system itself.
const OWN_HEADERS: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    TIMEOUT_HEADER,
    PRIORITY_HEADER,
];

/// What the handlers share.
pub struct Shared {
    /// The actor that decides.
    pub core: Addr<Core>,
    /// Largest body of a request, in bytes.
    pub body_limit: usize,
}

/// Ends the request at the agents when the caller hangs up.
struct Guard {
    core: Addr<Core>,
    id: RequestId,
    over: bool,
}

impl Guard {
    /// Notes that the caller has its whole answer.
    fn finish(&mut self) {
        self.over = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.over {
            self.core.do_send(Disconnected(self.id));
        }
    }
}

/// Serves any request of a caller.
pub async fn serve(request: HttpRequest, payload: Payload, shared: Data<Shared>) -> HttpResponse {
    let id = Uuid::now_v7();
    let submission = match read(id, &request, payload, shared.body_limit).await {
        Ok(submission) => submission,
        Err(code) => return problem::response(id, &Problem::before_dispatch(code)),
    };
    let (parts, receiver) = unbounded_channel();
    let guard = Guard { core: shared.core.clone(), id, over: false };
    if shared.core.send(Request { submission, parts }).await.is_err() {
        return problem::response(id, &Problem::before_dispatch(Code::Leaving));
    }
    answer(id, receiver, guard).await
}

async fn read(
    id: RequestId,
    request: &HttpRequest,
    payload: Payload,
    limit: usize,
) -> Result<Submission, Code> {
    let bearer = header(request, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::to_owned);
    // Without a key the body is not even read.
    if bearer.is_none() {
        return Err(Code::Unauthorized);
    }
    let body = read_body(payload, limit).await?;
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let model = if request.path() == CHAT_PATH { Some(model(&body)?) } else { None };
    Ok(Submission {
        id,
        bearer,
        method: request.method().as_str().into(),
        path: path.into(),
        model,
        headers: headers(request)?,
        key: key(request)?,
        class: routing::class(header(request, PRIORITY_HEADER)),
        timeout: timeout(request)?,
        body,
    })
}

async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, Code> {
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Code::Malformed)?;
        if body.len() + chunk.len() > limit {
            return Err(Code::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.into())
}

fn model(body: &[u8]) -> Result<Name, Code> {
    #[derive(Deserialize)]
    struct Chat {
        model: Name,
    }
    let chat: Chat = serde_json::from_slice(body).map_err(|_| Code::Malformed)?;
    Ok(chat.model)
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn key(request: &HttpRequest) -> Result<Option<Name>, Code> {
    let Some(value) = request.headers().get(KEY_HEADER) else { return Ok(None) };
    let key = value.to_str().map_err(|_| Code::Malformed)?;
    if key.is_empty() || key.len() > KEY_LIMIT {
        return Err(Code::Malformed);
    }
    Ok(Some(key.into()))
}

fn timeout(request: &HttpRequest) -> Result<Option<Duration>, Code> {
    let Some(value) = request.headers().get(TIMEOUT_HEADER) else { return Ok(None) };
    let value = value.to_str().map_err(|_| Code::Malformed)?;
    let milliseconds: u64 = value.parse().map_err(|_| Code::Malformed)?;
    Ok(Some(Duration::from_millis(milliseconds)))
}

fn headers(request: &HttpRequest) -> Result<Vec<(Name, Name)>, Code> {
    let mut headers = Vec::new();
    let mut size = 0;
    for (name, value) in request.headers() {
        if OWN_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let value = value.to_str().map_err(|_| Code::Malformed)?;
        size += name.as_str().len() + value.len();
        headers.push((name.as_str().into(), value.into()));
    }
    if size > HEADERS_LIMIT {
        return Err(Code::TooLarge);
    }
    Ok(headers)
}

async fn answer(
    id: RequestId,
    mut parts: UnboundedReceiver<Part>,
    mut guard: Guard,
) -> HttpResponse {
    match parts.recv().await {
        Some(Part::Head { status, headers }) => {
            let mut builder = builder(id, status, &headers);
            builder.streaming(body(id, parts, guard))
        }
        Some(Part::Problem(problem)) => {
            guard.finish();
            problem::response(id, &problem)
        }
        _ => problem::response(id, &Problem::before_dispatch(Code::Leaving)),
    }
}

fn builder(id: RequestId, status: u16, headers: &[(Name, Name)]) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in headers {
        builder.append_header((name.as_str(), value.as_str()));
    }
    builder.insert_header((REQUEST_HEADER, id.to_string()));
    builder
}

/// A body that ended before it was whole and can't say so in its own format.
#[derive(Debug, thiserror::Error)]
#[error("the answer was cut off")]
struct Cut;

fn body(
    id: RequestId,
    parts: UnboundedReceiver<Part>,
    guard: Guard,
) -> impl Stream<Item = Result<Bytes, Cut>> {
    stream::unfold((parts, guard), move |(mut parts, mut guard)| async move {
        if guard.over {
            return None;
        }
        let item = match parts.recv().await {
            Some(Part::Data(data)) => Ok(data),
            Some(Part::Problem(problem)) => {
                guard.finish();
                Ok(problem::event(id, &problem).into())
            }
            Some(Part::End) => {
                guard.finish();
                return None;
            }
            Some(Part::Head { .. }) | None => Err(Cut),
        };
        Some((item, (parts, guard)))
    })
}
