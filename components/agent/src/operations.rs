//! The agent's operations endpoints: readiness and dump.

use actix::Addr;
use actix_web::web::ServiceConfig;
use serde_json::Value;
use telemetry::{Metrics, Readiness};

use crate::core::{Core, Dump, Ready};

/// Configures the routes of the operations address.
pub fn configure(core: Addr<Core>, metrics: Metrics) -> impl Fn(&mut ServiceConfig) + Clone + Send {
    let ready_core = core.clone();
    let ready = move || ready(ready_core.clone());
    let dump = move || dump(core.clone());
    telemetry::operations(metrics, ready, dump)
}

async fn ready(core: Addr<Core>) -> Readiness {
    match core.send(Ready).await {
        Ok(true) => Readiness::Ready,
        _ => Readiness::Waiting(vec!["tables from an entry".into()]),
    }
}

async fn dump(core: Addr<Core>) -> Value {
    core.send(Dump).await.unwrap_or_default()
}
