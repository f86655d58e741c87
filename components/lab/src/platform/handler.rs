//! The object API over HTTP.

use std::time::Duration;

use actix_web::http::header::{IF_MATCH, RETRY_AFTER};
use actix_web::web::{self, Bytes, Data, Path, Query};
use actix_web::{HttpRequest, HttpResponse, web::ServiceConfig};
use platform::{Error, Expect, VALUE_LIMIT, Version};
use serde::{Deserialize, Serialize};
use tables::{Host, Name};

use super::shared::{Refusal, Shared, State};
use super::watch::wait;
use super::{Call, Fault};

/// Bytes of a request beyond the value's limit that are still read.
const BODY_MARGIN: usize = 1 << 16;

#[derive(Deserialize)]
struct Page {
    after: Option<Name>,
}

#[derive(Deserialize)]
struct WatchQuery {
    kinds: Name,
    since: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Deserialize)]
struct HostsQuery {
    #[serde(default)]
    since: u64,
    #[serde(default)]
    wait_ms: u64,
    /// 1 asks for changes alone where they are kept.
    #[serde(default)]
    changes: u8,
}

/// Adds the routes of the object API and of the controls.
pub fn configure(config: &mut ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(VALUE_LIMIT + BODY_MARGIN))
        .route("/v1/objects/{kind}", web::get().to(list))
        .route("/v1/objects/{kind}/{name}", web::get().to(read))
        .route("/v1/objects/{kind}/{name}", web::put().to(put))
        .route("/v1/objects/{kind}/{name}", web::delete().to(delete))
        .route("/v1/watch", web::get().to(watch))
        .route("/v1/hosts", web::get().to(hosts))
        .route("/v1/hosts/{name}", web::put().to(put_host))
        .route("/v1/hosts/{name}", web::delete().to(delete_host))
        .route("/control/fault", web::post().to(set_fault))
        .route("/control/calls", web::get().to(calls));
}

async fn list(shared: Data<Shared>, kind: Path<Name>, page: Query<Page>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::List).await {
        return refuse(refusal);
    }
    let listing = shared.lock().store.list(&kind, page.after.as_deref());
    HttpResponse::Ok().json(listing)
}

async fn read(shared: Data<Shared>, path: Path<(Name, Name)>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::Get).await {
        return refuse(refusal);
    }
    match shared.lock().store.get(&path.0, &path.1) {
        Some(object) => HttpResponse::Ok().json(object),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put(
    shared: Data<Shared>,
    path: Path<(Name, Name)>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::Put).await {
        return refuse(refusal);
    }
    let Some(expect) = expectation(&request) else { return HttpResponse::BadRequest().finish() };
    let Ok(value) = serde_json::from_slice(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let result = shared.lock().store.put(&path.0, &path.1, expect, value);
    written(&shared, result)
}

async fn delete(
    shared: Data<Shared>,
    path: Path<(Name, Name)>,
    request: HttpRequest,
) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::Delete).await {
        return refuse(refusal);
    }
    let Some(expect) = expectation(&request) else { return HttpResponse::BadRequest().finish() };
    let result = shared.lock().store.delete(&path.0, &path.1, expect);
    written(&shared, result)
}

async fn watch(shared: Data<Shared>, query: Query<WatchQuery>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::Watch).await {
        return refuse(refusal);
    }
    let kinds: Vec<Name> = query.kinds.split(',').map(Name::from).collect();
    let since = query.since;
    let time = Duration::from_millis(query.wait_ms);
    let changes = wait(
        &shared,
        time,
        |state| match state.store.changes(&kinds, since) {
            Ok(changes) if changes.changes.is_empty() => None,
            result => Some(result),
        },
        |state| state.store.changes(&kinds, since),
    );
    let changes = changes.await;
    delay(&shared).await;
    match changes {
        Ok(Ok(changes)) => HttpResponse::Ok().json(changes),
        Ok(Err(_)) => HttpResponse::Gone().finish(),
        Err(refusal) => refuse(refusal),
    }
}

async fn hosts(shared: Data<Shared>, query: Query<HostsQuery>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::Hosts).await {
        return refuse(refusal);
    }
    let since = query.since;
    let time = Duration::from_millis(query.wait_ms);
    let reply = |state: &State| match query.changes {
        0 => state.store.hosts(),
        _ => state.store.host_changes(since),
    };
    let hosts = wait(
        &shared,
        time,
        |state| Some(reply(state)).filter(|hosts| since == 0 || hosts.revision > since),
        reply,
    );
    let hosts = hosts.await;
    delay(&shared).await;
    match hosts {
        Ok(hosts) => HttpResponse::Ok().json(hosts),
        Err(refusal) => refuse(refusal),
    }
}

async fn put_host(shared: Data<Shared>, host: web::Json<Host>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::PutHost).await {
        return refuse(refusal);
    }
    let version = shared.lock().store.put_host(host.into_inner());
    written(&shared, Ok(version))
}

async fn delete_host(shared: Data<Shared>, name: Path<Name>) -> HttpResponse {
    if let Err(refusal) = enter(&shared, Call::PutHost).await {
        return refuse(refusal);
    }
    let version = shared.lock().store.delete_host(&name);
    written(&shared, Ok(version))
}

async fn set_fault(shared: Data<Shared>, fault: web::Json<Fault>) -> HttpResponse {
    shared.set_fault(fault.into_inner());
    HttpResponse::NoContent().finish()
}

async fn calls(shared: Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().calls)
}

/// What each call passes first: counters, outage, rate and latency.
async fn enter(shared: &Shared, call: Call) -> Result<(), Refusal> {
    let latency = {
        let mut state = shared.lock();
        state.admit(shared.now(), call)?;
        state.fault.latency
    };
    pause(latency).await;
    Ok(())
}

async fn delay(shared: &Shared) {
    let delay = shared.lock().fault.watch_delay;
    pause(delay).await;
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn expectation(request: &HttpRequest) -> Option<Expect> {
    let version = request.headers().get(IF_MATCH)?.to_str().ok()?.parse().ok()?;
    Some(Expect::from_header(version))
}

fn written(shared: &Shared, result: Result<u64, Error>) -> HttpResponse {
    match result {
        Ok(version) => {
            shared.notify();
            if shared.lock().lose_reply() {
                return lost();
            }
            HttpResponse::Ok().json(Version { version })
        }
        Err(Error::Conflict { current }) => conflict(&current),
        Err(Error::TooLarge { .. }) => HttpResponse::PayloadTooLarge().finish(),
        Err(_) => HttpResponse::BadRequest().finish(),
    }
}

fn conflict(current: &impl Serialize) -> HttpResponse {
    HttpResponse::PreconditionFailed().json(current)
}

fn refuse(refusal: Refusal) -> HttpResponse {
    match refusal {
        Refusal::Outage => HttpResponse::ServiceUnavailable().finish(),
        Refusal::Busy(retry_after) => HttpResponse::TooManyRequests()
            .insert_header((RETRY_AFTER, retry_after.as_secs_f64().to_string()))
            .finish(),
    }
}

/// A reply that breaks off before its body: the connection is closed.
fn lost() -> HttpResponse {
    let broken = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures_util::stream::once(std::future::ready(Err::<Bytes, _>(broken)));
    HttpResponse::Ok().streaming(body)
}
