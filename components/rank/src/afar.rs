//! Where ranks are reached whose agents are silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use balance::content::{Content, Kind};
use platform::Client;

/// Addresses of a group's ranks as the store names them. They answer even if
/// the host of the agent stands still. Empty if the store does not answer.
pub async fn addresses(client: &Client, group: &str) -> BTreeMap<u32, SocketAddr> {
    let page = match registry::list_stale(client, Kind::Server).await {
        Ok(page) => page,
        Err(error) => {
            log::info!(target: "store", error:% = error; "backend servers not listed");
            return BTreeMap::new();
        }
    };
    let bodies = page.rows.into_iter().filter_map(|(_, row)| row.body);
    let ranks = bodies.filter_map(|content| match content {
        Content::Server(server) => {
            let place = server.group.filter(|place| place.name == group)?;
            Some((place.rank, server.address))
        }
        _ => None,
    });
    ranks.collect()
}
