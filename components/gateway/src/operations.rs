//! Endpoints for operators (metrics, readiness, dump) and for the platform's
//! readiness probe.

use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::web::{self, ServiceConfig};
use telemetry::{Metrics, Readiness};

use crate::shared::Shared;

/// Configures the endpoints of the operations address.
pub fn configure(
    shared: Arc<Shared>,
    metrics: Metrics,
) -> impl Fn(&mut ServiceConfig) + Clone + Send + 'static {
    let ready = shared.clone();
    let ready = move || {
        let ready = ready.clone();
        async move { readiness(&ready) }
    };
    let dump = move || {
        let shared = shared.clone();
        async move { shared.balancer().dump(shared.now()) }
    };
    telemetry::operations(metrics, ready, dump)
}

/// Configures the platform's readiness probe, which returns 200 or 503.
pub fn configure_ready(
    shared: Arc<Shared>,
) -> impl Fn(&mut ServiceConfig) + Clone + Send + 'static {
    move |config| {
        let shared = shared.clone();
        let answer = move || {
            let ready = readiness(&shared) == Readiness::Ready;
            async move {
                if ready {
                    HttpResponse::Ok().finish()
                } else {
                    HttpResponse::ServiceUnavailable().finish()
                }
            }
        };
        config.route(adapter::header::READY_PATH, web::get().to(answer));
    }
}

fn readiness(shared: &Shared) -> Readiness {
    if shared.balancer().is_ready() {
        return Readiness::Ready;
    }
    let cause = if shared.is_leaving() { "leaving" } else { "configuration and backend servers" };
    Readiness::Waiting(vec![cause.into()])
}
