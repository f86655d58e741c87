//! Settings of the daemons on the users' platform, with unused ports.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::port;

/// Settings of a gateway in availability zone `a`.
pub fn gateway(name: &str, store: SocketAddr, link: SocketAddr, seeds: &[SocketAddr]) -> Value {
    json!({
        "name": name, "zone": "a", "listen": port::free(), "ready": port::free(),
        "operations": port::free(), "link": link, "seeds": seeds, "store": store,
        "limits": { "retry_ratio": 0.2, "retry_slack": 80.0, "retry_window_ms": 10_000 },
        "grace_ms": 8000
    })
}

/// Settings of an agent for a rank of the pool `models`.
pub fn rank(name: &str, rank: SocketAddr, store: SocketAddr) -> Value {
    json!({
        "name": name, "rank": rank, "pool": "models", "link": port::free(),
        "operations": port::free(), "store": store, "link_mbit": 100.0
    })
}
