//! HTTP routes of the operations address: metrics, liveness, readiness and state
//! dump.

use std::sync::Arc;

use actix_web::web::{self, ServiceConfig};
use actix_web::{HttpResponse, http::header::ContentType};
use serde_json::{Value, json};

use crate::dump;
use crate::metrics::Metrics;

/// Media type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Response header: whether the dump was truncated.
const TRUNCATED_HEADER: &str = "x-dump-cut";

/// Whether a process should receive new work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Ready for new work.
    Ready,
    /// Not ready; lists the unmet conditions.
    Waiting(Vec<Arc<str>>),
}

/// Returns an actix-web configuration that serves `/metrics`, `/healthz`,
/// `/readyz` and `/dump`.
///
/// - `/healthz` returns 200 while the process runs.
/// - `/readyz` returns 200 or, with the unmet conditions, 503, depending on
///   `ready`.
/// - `/dump` returns the value of `dump`, truncated to [`dump::LIMIT`] bytes (see
///   [`dump::bound`]). The header `x-dump-cut` is `true` if it was truncated.
///
/// The application may have other routes, too.
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
/// // Each worker of an HttpServer gets a clone of `configure`.
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
        let serve_metrics = move || serve_metrics(metrics.clone());
        let serve_readiness = move || serve_readiness(ready());
        let serve_dump = move || serve_dump(dump());
        config
            .route("/metrics", web::get().to(serve_metrics))
            .route("/healthz", web::get().to(serve_liveness))
            .route("/readyz", web::get().to(serve_readiness))
            .route("/dump", web::get().to(serve_dump));
    }
}

async fn serve_metrics(metrics: Metrics) -> HttpResponse {
    HttpResponse::Ok().content_type(METRICS_TYPE).body(metrics.render())
}

async fn serve_liveness() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "status": "running" }))
}

async fn serve_readiness(ready: impl Future<Output = Readiness>) -> HttpResponse {
    match ready.await {
        Readiness::Ready => HttpResponse::Ok().json(json!({ "status": "ready" })),
        Readiness::Waiting(causes) => {
            let causes: Vec<&str> = causes.iter().map(AsRef::as_ref).collect();
            let body = json!({ "status": "waiting", "causes": causes });
            HttpResponse::ServiceUnavailable().json(body)
        }
    }
}

async fn serve_dump(value: impl Future<Output = Value>) -> HttpResponse {
    let (value, truncated) = dump::bound(value.await, dump::LIMIT);
    HttpResponse::Ok()
        .insert_header((TRUNCATED_HEADER, if truncated { "true" } else { "false" }))
        .content_type(ContentType::json())
        .body(value.to_string())
}
