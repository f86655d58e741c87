//! Calls of a rank to its engine and to the platform.

use std::time::Duration;

use bytes::Bytes;
use group::{Lease, Object, Order};
use http::Method;
use platform::{Error, Expect};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::client::Client;
use crate::rank::{Input, Map, ORDER_TIMEOUT, Reply};

/// Kind of the objects that store a group's lease with its fencing number.
const GROUP_KIND: &str = "group";
/// Kind of the objects that store expert maps.
const MAP_KIND: &str = "map";
/// Timeout of a status request to the engine.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Body of `POST /v1/group/prepare`.
#[derive(Serialize)]
struct Prepare {
    fence: u64,
    map: u64,
    content: Value,
}

/// Body of `POST /v1/group/steps`.
#[derive(Serialize)]
struct Steps {
    fence: u64,
    from: u64,
    to: u64,
    map: u64,
}

/// The fields used from the response of `GET /v1/group/steps`.
#[derive(Deserialize)]
struct Status {
    incarnation: u64,
    next: u64,
}

/// Sends an order to the engine.
pub async fn send_order(client: Client, order: Order) -> Input {
    let accepted = match order {
        Order::Prepare { fence, map } => {
            // Content that isn't JSON is sent as null and left for the engine to judge.
            let content = serde_json::from_slice(&map.content).unwrap_or_default();
            let body = Prepare { fence: fence.to_u64(), map: map.version, content };
            post(&client, "/v1/group/prepare", &body).await
        }
        Order::Run { fence, block } => {
            let (from, to, map) = (block.from, block.to, block.map);
            let body = Steps { fence: fence.to_u64(), from, to, map };
            post(&client, "/v1/group/steps", &body).await
        }
    };
    Input::Reply(if accepted { Reply::Accepted } else { Reply::Failed })
}

async fn post(client: &Client, path: &str, body: &impl Serialize) -> bool {
    let body = serde_json::to_vec(body).unwrap_or_default();
    // A timeout drops the call and closes its connection, so that the
    // order can't be sent afterwards.
    let reply = client.call(Method::POST, path, body.into(), ORDER_TIMEOUT).await;
    reply.is_ok_and(|reply| (200..300).contains(&reply.status))
}

/// Reads the engine's incarnation and next step.
pub async fn fetch_status(client: Client) -> Input {
    // No step is that high, so the response omits the record of steps.
    let path = format!("/v1/group/steps?since={}", u64::MAX);
    let reply = client.call(Method::GET, &path, Bytes::new(), STATUS_TIMEOUT).await;
    let status = reply.ok().and_then(|reply| serde_json::from_slice::<Status>(&reply.body).ok());
    Input::Status(status.map(|status| (status.incarnation, status.next)))
}

/// Reads the group's lease.
pub async fn load_lease(client: platform::Client, name: impl AsRef<str>) -> Input {
    let loaded = client.get(GROUP_KIND, name.as_ref()).await;
    Input::Lease(match loaded.map(|object| object.map(lease)) {
        Ok(None) => group::Input::Loaded(None),
        Ok(Some(Some(object))) => group::Input::Loaded(Some(object)),
        Ok(Some(None)) | Err(_) => group::Input::Failed,
    })
}

fn lease(object: platform::Object) -> Option<Object> {
    let lease: Lease = serde_json::from_value(object.value).ok()?;
    Some(Object { version: object.version, lease })
}

/// Writes the group's lease if its version is `expect`.
pub async fn store_lease(
    client: platform::Client,
    name: impl AsRef<str>,
    expect: Option<u64>,
    lease: Lease,
) -> Input {
    let expect = expect.map_or(Expect::Absent, Expect::Version);
    let value = serde_json::to_value(lease).unwrap_or_default();
    let stored = client.put(GROUP_KIND, name.as_ref(), expect, &value).await;
    Input::Lease(match stored {
        Ok(_) => group::Input::Stored,
        Err(Error::Conflict { .. }) => group::Input::Conflict,
        Err(_) => group::Input::Failed,
    })
}

/// Reads the group's expert map.
pub async fn load_map(client: platform::Client, name: impl AsRef<str>) -> Input {
    let read = client.get(MAP_KIND, name.as_ref()).await;
    let map = |object: platform::Object| Map { version: object.version, content: object.value };
    Input::Map(read.ok().map(|object| object.map(map)))
}
