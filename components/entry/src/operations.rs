//! The entry's operations endpoints: readiness, dump and explanations.

use actix::Addr;
use actix_web::HttpResponse;
use actix_web::web::{self, Path, ServiceConfig};
use serde_json::{Value, json};
use telemetry::{Metrics, Readiness};
use wire::RequestId;

use crate::core::{Core, Dump, Explain, Ready};

/// Configures the routes of the operations address.
pub fn configure(core: Addr<Core>, metrics: Metrics) -> impl Fn(&mut ServiceConfig) + Clone + Send {
    let ready_core = core.clone();
    let dump_core = core.clone();
    let ready = move || ready(ready_core.clone());
    let dump = move || dump(dump_core.clone());
    let common = telemetry::operations(metrics, ready, dump);
    move |config| {
        common(config);
        let core = core.clone();
        let explain = move |id: Path<RequestId>| explain(core.clone(), id.into_inner());
        config.route("/explain/{id}", web::get().to(explain));
    }
}

async fn ready(core: Addr<Core>) -> Readiness {
    match core.send(Ready).await {
        Ok(true) => Readiness::Ready,
        _ => Readiness::Waiting(vec!["tables and hosts, or the process is leaving".into()]),
    }
}

async fn dump(core: Addr<Core>) -> Value {
    core.send(Dump).await.unwrap_or_default()
}

async fn explain(core: Addr<Core>, id: RequestId) -> HttpResponse {
    match core.send(Explain(id)).await {
        Ok(Some(steps)) => HttpResponse::Ok().json(json!({ "request": id, "steps": steps })),
        _ => HttpResponse::NotFound().json(json!({ "request": id })),
    }
}
