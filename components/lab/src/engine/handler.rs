//! The engine behind HTTP.

use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::web::{self, Bytes, Data, Json, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use futures_util::{Stream, stream};
use serde::Deserialize;
use serde_json::{Value, json};

use super::message::{Chat, Prepare, Steps};
use super::model::{Input, Model, Request};
use super::rank::Refusal;
use super::settings::Settings;
use super::shared::{Answer, Piece, Shared};
use super::text::count;
use crate::server::{self, Handle, ServeError};

/// Request header: tokens that the caller has already.
pub const RESUME_HEADER: &str = "x-resume-tokens";
/// Request header: the priority, higher ones first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Response header: the incarnation that answers.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// Field of an expert map: milliseconds that engines take to load it, by the
/// engine's model name. Engines that aren't named take no time.
const LOAD_FIELD: &str = "load_ms";
/// Most bytes of a request body.
const BODY_LIMIT: usize = 4 << 20;
/// Type of a body of server-sent events.
const EVENTS: &str = "text/event-stream";

/// What the handlers share.
#[derive(Clone)]
struct Engine {
    shared: Shared,
    settings: Settings,
}

/// From where a record is asked for.
#[derive(Debug, Deserialize)]
struct Since {
    #[serde(default)]
    since: u64,
}

/// Starts an engine on `settings.listen`.
///
/// # Errors
///
/// If the address can't be listened on.
///
/// ```
/// let handle = lab::engine::serve(Default::default()).unwrap();
/// assert_ne!(handle.address.port(), 0);
/// handle.stop();
/// ```
pub fn serve(settings: Settings) -> Result<Handle, ServeError> {
    // Incarnations of a process that starts again must be higher.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since_epoch.as_micros().try_into().unwrap_or(u64::MAX / 2);
    let shared = Shared::new(Model::new(settings.clone(), incarnation));
    let listen = settings.listen;
    let engine = Engine { shared: shared.clone(), settings };
    server::start(listen, move |config| configure(config, engine.clone()), shared.drive())
}

fn configure(config: &mut ServiceConfig, engine: Engine) {
    config
        .app_data(Data::new(engine))
        .app_data(web::JsonConfig::default().limit(BODY_LIMIT))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/load", web::get().to(load))
        .route("/v1/cache", web::get().to(cache))
        .route("/v1/group/prepare", web::post().to(prepare))
        .route("/v1/group/steps", web::post().to(run))
        .route("/v1/group/steps", web::get().to(steps))
        .route("/control/crash", web::post().to(crash))
        .route("/control/cold", web::post().to(chill));
}

async fn load(engine: Data<Engine>) -> HttpResponse {
    HttpResponse::Ok().json(engine.shared.with(|model, now| model.load(now)))
}

async fn cache(engine: Data<Engine>, query: Query<Since>) -> HttpResponse {
    let events = engine.shared.with(|model, now| model.cache_events(now, query.since));
    HttpResponse::Ok().json(events)
}

async fn prepare(engine: Data<Engine>, order: Json<Prepare>) -> HttpResponse {
    let load = order.content[LOAD_FIELD][engine.settings.model.as_str()].as_u64();
    if let Some(load) = load {
        actix_rt::time::sleep(Duration::from_millis(load)).await;
    }
    order_response(engine.shared.with(|model, _| model.prepare(&order)))
}

async fn run(engine: Data<Engine>, order: Json<Steps>) -> HttpResponse {
    order_response(engine.shared.with(|model, now| model.run(now, *order)))
}

async fn steps(engine: Data<Engine>, query: Query<Since>) -> HttpResponse {
    HttpResponse::Ok().json(engine.shared.with(|model, now| model.steps(now, query.since)))
}

async fn crash(engine: Data<Engine>) -> HttpResponse {
    engine.shared.step(Input::Crash);
    HttpResponse::NoContent().finish()
}

async fn chill(engine: Data<Engine>) -> HttpResponse {
    engine.shared.step(Input::Chill);
    HttpResponse::NoContent().finish()
}

fn order_response(result: Result<(), Refusal>) -> HttpResponse {
    match result {
        Ok(()) => HttpResponse::Ok().json(json!({ "accepted": true })),
        Err(refusal) => HttpResponse::Conflict().json(refusal),
    }
}

async fn chat(engine: Data<Engine>, request: HttpRequest, body: Json<Chat>) -> HttpResponse {
    let chat = body.into_inner();
    let request = Request {
        id: 0,
        prompt: chat.to_prompt().into(),
        tokens: chat.max_tokens.unwrap_or(engine.settings.default_tokens),
        resume: number(&request, RESUME_HEADER).unwrap_or(0),
        priority: number(&request, PRIORITY_HEADER).unwrap_or(0),
    };
    let usage = usage(&request);
    let incarnation = engine.shared.with(|model, _| model.incarnation());
    let mut answer = engine.shared.ask(request);
    let first = answer.next().await;
    let mut builder = HttpResponse::Ok();
    builder.insert_header((INCARNATION_HEADER, incarnation));
    match first {
        None => cut(),
        Some(Piece::Unavailable) => {
            HttpResponse::ServiceUnavailable().json(json!({ "error": "starting" }))
        }
        Some(first) if chat.stream => {
            builder.content_type(EVENTS).streaming(events(first, answer, engine))
        }
        Some(first) => match collect(first, answer).await {
            None => cut(),
            Some(text) => builder.json(whole(&engine.settings, text, usage)),
        },
    }
}

fn number<T: std::str::FromStr>(request: &HttpRequest, name: &str) -> Option<T> {
    request.headers().get(name)?.to_str().ok()?.trim().parse().ok()
}

fn usage(request: &Request) -> Value {
    let prompt = count(&request.prompt);
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": request.tokens,
        "total_tokens": prompt.saturating_add(request.tokens),
    })
}

/// A response that breaks off, as that of a process that dies.
pub(crate) fn cut() -> HttpResponse {
    let broken = stream::once(async { Err::<Bytes, _>(crashed()) });
    HttpResponse::Ok().no_chunking(1).streaming(broken)
}

fn crashed() -> io::Error {
    io::ErrorKind::ConnectionReset.into()
}

async fn collect(first: Piece, mut answer: Answer) -> Option<String> {
    let mut text = String::new();
    let mut piece = first;
    while let Piece::Token(token) = piece {
        text.push_str(&token);
        piece = answer.next().await?;
    }
    Some(text)
}

fn whole(settings: &Settings, text: String, usage: Value) -> Value {
    json!({
        "id": "chat",
        "object": "chat.completion",
        "model": settings.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": usage,
    })
}

/// The answer as server-sent events; an error breaks the connection.
fn events(
    first: Piece,
    answer: Answer,
    engine: Data<Engine>,
) -> impl Stream<Item = Result<Bytes, io::Error>> {
    let state = Some((Some(first), answer));
    stream::unfold(state, move |state| {
        let engine = engine.clone();
        async move {
            let (first, mut answer) = state?;
            let piece = match first {
                Some(first) => Some(first),
                None => answer.next().await,
            };
            match piece {
                Some(Piece::Token(text)) => {
                    let event = event(&engine.settings, json!({ "content": text }), None);
                    Some((Ok(event.into()), Some((None, answer))))
                }
                Some(Piece::End) => {
                    let last = event(&engine.settings, json!({}), Some("stop"));
                    Some((Ok((last + "data: [DONE]\n\n").into()), None))
                }
                Some(Piece::Unavailable) | None => Some((Err(crashed()), None)),
            }
        }
    })
}

fn event(settings: &Settings, delta: Value, finish: Option<&str>) -> String {
    let chunk = json!({
        "id": "chat",
        "object": "chat.completion.chunk",
        "model": settings.model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
    });
    format!("data: {chunk}\n\n")
}
