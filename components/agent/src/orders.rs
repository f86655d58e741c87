//! Calls of a rank to its engine and to the platform.

use std::time::Duration;

use awc::Client;
use group::{Lease, Object, Order};
use platform::{Error, Expect};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::rank::{Input, Map, ORDER_TIMEOUT, Reply};

/// Kind of the objects that store a group's lease with its fencing number.
const GROUP_KIND: &str = "group";
/// Kind of the objects that store expert maps.
const MAP_KIND: &str = "map";
/// Timeout of a status request to the engine.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection to the engine isn't reused. It is shorter
/// than that of common servers: an order sent on a closing connection may or
/// may not have been accepted, and the rank then loses its session.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

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

/// A client for orders to the engine.
pub fn client() -> Client {
    let connector = awc::Connector::new().timeout(ORDER_TIMEOUT).conn_keep_alive(KEEP_ALIVE);
    Client::builder().connector(connector).disable_redirects().finish()
}

/// Sends an order to the engine.
pub async fn send_order(client: Client, base: impl AsRef<str>, order: Order) -> Input {
    let base = base.as_ref();
    let accepted = match order {
        Order::Prepare { fence, map } => {
            // Content that isn't JSON is sent as null and left for the engine to judge.
            let content = serde_json::from_slice(&map.content).unwrap_or_default();
            let body = Prepare { fence: fence.to_u64(), map: map.version, content };
            post(&client, format!("{base}/v1/group/prepare"), &body).await
        }
        Order::Run { fence, block } => {
            let (from, to, map) = (block.from, block.to, block.map);
            let body = Steps { fence: fence.to_u64(), from, to, map };
            post(&client, format!("{base}/v1/group/steps"), &body).await
        }
    };
    Input::Reply(if accepted { Reply::Accepted } else { Reply::Failed })
}

async fn post(client: &Client, url: String, body: &impl Serialize) -> bool {
    let call = client.post(url).timeout(ORDER_TIMEOUT).send_json(body);
    // A timeout drops the call and closes its connection, so that the
    // order can't be sent afterwards.
    let replied = actix_rt::time::timeout(ORDER_TIMEOUT, call).await;
    matches!(replied, Ok(Ok(response)) if response.status().is_success())
}

/// Reads the engine's incarnation and next step.
pub async fn fetch_status(client: Client, base: impl AsRef<str>) -> Input {
    // No step is that high, so the response omits the record of steps.
    let url = format!("{}/v1/group/steps?since={}", base.as_ref(), u64::MAX);
    let call = async {
        let mut response = client.get(url).send().await.ok()?;
        let status: Status = response.json().await.ok()?;
        Some((status.incarnation, status.next))
    };
    Input::Status(actix_rt::time::timeout(STATUS_TIMEOUT, call).await.ok().flatten())
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
