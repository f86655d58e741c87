//! The HTTP interface for callers.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data, Payload};
use actix_web::{HttpRequest, HttpResponse, HttpResponseBuilder};
use futures_util::stream::{self, Stream};
use routing::problem::{Code, Problem};
use routing::{Part, Submission};
use serde::Deserialize;
use tables::Name;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use uuid::Uuid;
use wire::RequestId;

use crate::core::{Core, Disconnected, Request};
use crate::intake::{Intake, Reservation};
use crate::problem::{self, REQUEST_HEADER};

/// Path of chat completions. The body of these requests names the model.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Header with the request's class: `interactive` or `batch`.
const PRIORITY_HEADER: &str = "x-priority";
/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const KEY_MAX_BYTES: usize = 256;
/// Maximum size of all forwarded headers together.
const HEADERS_MAX_BYTES: usize = 32 << 10;
/// Headers that apply to the connection or to this system and aren't forwarded.
const RESERVED_HEADERS: [&str; 13] = [
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

/// State shared by the handlers.
pub struct Shared {
    /// The entry's actor.
    pub core: Addr<Core>,
    /// Reads the bodies of requests.
    pub intake: Arc<Intake>,
}

/// Cancels the request when it is dropped before the answer is finished, which
/// happens if the caller disconnects.
struct Guard {
    core: Addr<Core>,
    id: RequestId,
    finished: bool,
    /// The router keeps the body until the request is answered.
    _reservation: Reservation,
}

impl Guard {
    /// Marks the answer as finished.
    fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.finished {
            self.core.do_send(Disconnected(self.id));
        }
    }
}

/// Handles a request of a caller.
pub async fn serve(
    request: HttpRequest,
    mut payload: Payload,
    shared: Data<Shared>,
) -> HttpResponse {
    let id = Uuid::now_v7();
    let read = read_submission(id, &request, &mut payload, &shared.intake).await;
    let (submission, reservation) = match read {
        Ok(read) => read,
        Err(code) => {
            let response = problem::response(id, &Problem::before_dispatch(code));
            return daemon::close_after(response, payload);
        }
    };
    let (parts, receiver) = unbounded_channel();
    let core = shared.core.clone();
    let guard = Guard { core, id, finished: false, _reservation: reservation };
    if shared.core.send(Request { submission, parts }).await.is_err() {
        return problem::response(id, &Problem::before_dispatch(Code::Leaving));
    }
    answer(id, receiver, guard).await
}

async fn read_submission(
    id: RequestId,
    request: &HttpRequest,
    payload: &mut Payload,
    intake: &Arc<Intake>,
) -> Result<(Submission, Reservation), Code> {
    let bearer = header(request, "authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::to_owned);
    // A request without a key is rejected before its body is read.
    if bearer.is_none() {
        return Err(Code::Unauthorized);
    }
    let length = header(request, "content-length").and_then(|length| length.parse().ok());
    let (body, reservation) = intake.read(payload, length).await?;
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let model = if request.path() == CHAT_PATH { Some(model(&body)?) } else { None };
    let submission = Submission {
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
    };
    Ok((submission, reservation))
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
    if key.is_empty() || key.len() > KEY_MAX_BYTES {
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
        if RESERVED_HEADERS.contains(&name.as_str()) {
            continue;
        }
        let value = value.to_str().map_err(|_| Code::Malformed)?;
        size += name.as_str().len() + value.len();
        headers.push((name.as_str().into(), value.into()));
    }
    if size > HEADERS_MAX_BYTES {
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
            let mut builder = response_builder(id, status, &headers);
            builder.streaming(body(id, parts, guard))
        }
        Some(Part::Problem(problem)) => {
            guard.finish();
            problem::response(id, &problem)
        }
        _ => problem::response(id, &Problem::before_dispatch(Code::Leaving)),
    }
}

fn response_builder(id: RequestId, status: u16, headers: &[(Name, Name)]) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in headers {
        builder.append_header((name.as_str(), value.as_str()));
    }
    builder.insert_header((REQUEST_HEADER, id.to_string()));
    builder
}

/// Error of a body that ended early and whose format can't express a problem.
#[derive(Debug, thiserror::Error)]
#[error("the answer was truncated")]
struct Truncated;

fn body(
    id: RequestId,
    parts: UnboundedReceiver<Part>,
    guard: Guard,
) -> impl Stream<Item = Result<Bytes, Truncated>> {
    stream::unfold((parts, guard), move |(mut parts, mut guard)| async move {
        if guard.finished {
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
            Some(Part::Head { .. }) | None => Err(Truncated),
        };
        Some((item, (parts, guard)))
    })
}
