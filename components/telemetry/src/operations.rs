//! The operations address: metrics, health, readiness and the dump.

use std::sync::Arc;

use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, http::header::ContentType};
use serde_json::{Value, json};

use crate::dump;
use crate::metrics::Metrics;

/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Header that says whether a dump was cut.
const CUT_HEADER: &str = "x-dump-cut";

/// Whether a process should get new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It should.
    Ready,
    /// It shouldn't, and these conditions are what it waits for.
    Waiting(Vec<Arc<str>>),
}

/// Configures an actix-web application to serve `/metrics`, `/healthz`,
/// `/readyz` and `/dump`.
///
/// `/healthz` answers 200 while the process runs; `/readyz` 200 or 503 with
/// what is waited for, as `ready` says; `/dump` what `dump` returns, cut to
/// [`dump::LIMIT`] bytes (see [`dump::bound`]) with `x-dump-cut: true` if
/// something was left out. Callers add routes of their own beside it.
///
/// ```
/// use actix_web::App;
/// use telemetry::{Metrics, Readiness, operations};
///
/// let metrics = Metrics::new().unwrap();
/// let configure = operations(
///     metrics,
///     || async { Readiness::Ready },
///     || async { serde_json::json!({"open": 0}) },
/// );
/// // `configure` is cloned into each worker of an HttpServer.
/// let app = App::new().configure(configure.clone());
/// # drop(app);
/// ```
pub fn operations<R, D>(
    metrics: Metrics,
    ready: impl Fn() -> R + Clone + Send + 'static,
    dump: impl Fn() -> D + Clone + Send + 'static,
) -> impl Fn(&mut ServiceConfig) + Clone + Send + 'static
where
    R: Future<Output = Readiness> + 'static,
    D: Future<Output = Value> + 'static,
{
    move |config| {
        let metrics = metrics.clone();
        let ready = ready.clone();
        let dump = dump.clone();
        let show_metrics = move || show_metrics(metrics.clone());
        let show_ready = move || show_ready(ready());
        let show_dump = move || show_dump(dump());
        config
            .route("/metrics", web::get().to(show_metrics))
            .route("/healthz", web::get().to(show_health))
            .route("/readyz", web::get().to(show_ready))
            .route("/dump", web::get().to(show_dump));
    }
}

async fn show_metrics(metrics: Metrics) -> HttpResponse {
    HttpResponse::Ok().content_type(METRICS_TYPE).body(metrics.render())
}

async fn show_health() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "status": "running" }))
}

async fn show_ready(ready: impl Future<Output = Readiness>) -> HttpResponse {
    match ready.await {
        Readiness::Ready => HttpResponse::Ok().json(json!({ "status": "ready" })),
        Readiness::Waiting(causes) => {
            let causes: Vec<&str> = causes.iter().map(AsRef::as_ref).collect();
            let body = json!({ "status": "waiting", "causes": causes });
            HttpResponse::ServiceUnavailable().json(body)
        }
    }
}

async fn show_dump(value: impl Future<Output = Value>) -> HttpResponse {
    let (value, cut) = dump::bound(value.await, dump::LIMIT);
    HttpResponse::Ok()
        .insert_header((CUT_HEADER, if cut { "true" } else { "false" }))
        .content_type(ContentType::json())
        .body(value.to_string())
}
