//! Health checks of the backend server: its incarnation and load.

use std::time::Duration;

use awc::Client;
use serde::Deserialize;
use tables::{Name, PoolKind};

use crate::state::Input;

/// Path of a model engine's load report.
const LOAD_PATH: &str = "/v1/load";
/// Timeout of a health check.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The fields used from a model engine's load report.
#[derive(Debug, Deserialize)]
struct Load {
    incarnation: u64,
    #[serde(default)]
    queued_prefill: u64,
}

/// Checks the backend server once.
pub async fn check(client: Client, base: Name, kind: PoolKind) -> Input {
    let result = match kind {
        PoolKind::Model => load(&client, &base).await,
        PoolKind::Service => probe(&client, &base).await,
    };
    result.unwrap_or(Input::Unreachable)
}

async fn load(client: &Client, base: &str) -> Option<Input> {
    let request = client.get(format!("{base}{LOAD_PATH}")).timeout(TIMEOUT);
    let mut response = request.send().await.ok()?;
    let load: Load = response.json().await.ok()?;
    Some(Input::Engine {
        incarnation: load.incarnation,
        prefill: load.queued_prefill.min(u32::MAX.into()) as u32,
    })
}

/// A plain service reports no incarnation; any response counts as healthy.
async fn probe(client: &Client, base: &str) -> Option<Input> {
    let request = client.request(awc::http::Method::HEAD, format!("{base}/")).timeout(TIMEOUT);
    request.send().await.ok()?;
    Some(Input::Engine { incarnation: 1, prefill: 0 })
}
