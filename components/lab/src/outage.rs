//! Takes an availability zone out and back while a load runs.

use std::time::Duration;

use ::platform::{Client, Expect};
use serde_json::json;
use tables::Name;

use crate::fleet::Fleet;

/// Longest wait for the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// When a zone leaves and returns, since the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// When it is taken out.
    pub out_at: Duration,
    /// Time after that from which it must get no new work.
    pub settle: Duration,
    /// When it is returned.
    pub back_at: Duration,
}

/// Takes a zone out and back, and counts what began there meanwhile, from the
/// moment on after which nothing may.
pub async fn run(fleet: &Fleet, zone: &Name, times: Times) -> u64 {
    let client = Client::new(vec![fleet.platform.url()], PLATFORM_TIMEOUT);
    actix_rt::time::sleep(times.out_at).await;
    set_out(&client, zone, true).await;
    actix_rt::time::sleep(times.settle).await;
    let before = fleet.begun(zone).await;
    actix_rt::time::sleep(times.back_at.saturating_sub(times.out_at + times.settle)).await;
    let after = fleet.begun(zone).await;
    set_out(&client, zone, false).await;
    after.saturating_sub(before)
}

async fn set_out(client: &Client, zone: &Name, out: bool) {
    let known = client.get("zone", zone).await.ok().flatten();
    let expect = Expect::of(known.as_ref());
    if let Err(error) = client.put("zone", zone, expect, &json!({ "out": out })).await {
        log::error!("zone {zone}: {error}");
    }
}
