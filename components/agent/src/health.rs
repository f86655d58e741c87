//! Health checks of the backend server: its incarnation and load.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use tables::PoolKind;

use crate::client::Client;
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
pub async fn check(client: Client, kind: PoolKind) -> Input {
    let result = match kind {
        PoolKind::Model => load(&client).await,
        PoolKind::Service => probe(&client).await,
    };
    result.unwrap_or(Input::Unreachable)
}

async fn load(client: &Client) -> Option<Input> {
    let reply = client.call(Method::GET, LOAD_PATH, Bytes::new(), TIMEOUT).await.ok()?;
    let load: Load = serde_json::from_slice(&reply.body).ok()?;
    Some(Input::Engine {
        incarnation: load.incarnation,
        prefill: load.queued_prefill.min(u32::MAX.into()) as u32,
    })
}

/// A plain service reports no incarnation; any response counts as healthy.
async fn probe(client: &Client) -> Option<Input> {
    client.call(Method::HEAD, "/", Bytes::new(), TIMEOUT).await.ok()?;
    Some(Input::Engine { incarnation: 1, prefill: 0 })
}
