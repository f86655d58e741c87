//! Follows the platform's store, one task for each kind of object.

use std::sync::Arc;
use std::time::{Duration, Instant};

use adapter::store::Page;
use balance::Update;
use balance::content::Kind;
use balance::view::Delta;
use platform::lane::{Call, Turn};
use platform::{Client, Error, Lane};

use crate::shared::Shared;

/// Longest wait of a watch. A connection that went silent is found that much
/// later, within the time in which a configuration has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1900);

/// Least time between two calls for the same kind: changes that come meanwhile
/// arrive together.
const PACE: Duration = Duration::from_millis(250);

/// Time between two looks whether this entry has to follow the store.
const LOOK: Duration = Duration::from_millis(100);

/// Time between two listings of the entries, of data that may be old.
const PEERS_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps one kind up to date until the future is dropped.
pub async fn follow(shared: Arc<Shared>, client: Client, kind: Kind, seed: u64) {
    let mut lane = Lane::new(seed);
    loop {
        let now = shared.now();
        if !shared.balancer().follows_store(now) {
            actix_rt::time::sleep(LOOK).await;
            continue;
        }
        let call = lane.call();
        let begun = Instant::now();
        match make(&client, kind, call).await {
            Ok(page) => {
                let revision = page.revision;
                let now = shared.now();
                shared.balancer().note_store(now);
                if lane.succeed(revision) == Turn::Regained {
                    // Before the page: servers may be missing from it that only lapsed.
                    shared.balancer().note_return(now);
                    log::info!(target: "store", kind:? = kind, revision = revision; "regained");
                }
                take(&shared, kind, call, page);
                actix_rt::time::sleep(PACE.saturating_sub(begun.elapsed())).await;
            }
            Err(error) => {
                shared.meter.store_failures.add(1);
                let (turn, wait) = lane.fail(&error);
                if turn == Turn::Lost {
                    log::warn!(target: "store", kind:? = kind, error:% = error; "lost");
                }
                actix_rt::time::sleep(wait).await;
            }
        }
        if lane.call() == Call::List && call != Call::List {
            log::info!(target: "store", kind:? = kind; "history gone, listing anew");
        }
    }
}

async fn make(client: &Client, kind: Kind, call: Call) -> Result<Page, Error> {
    match call {
        Call::List => registry::list(client, kind).await,
        Call::Watch(since) => registry::watch(client, kind, since, WATCH_WAIT).await,
    }
}

fn take(shared: &Arc<Shared>, kind: Kind, call: Call, page: Page) {
    if page.malformed > 0 {
        shared.meter.malformed.add(page.malformed as u64);
        log::warn!(target: "store", kind:? = kind, count = page.malformed; "unreadable objects");
    }
    let revision = page.revision;
    let rows = page.rows.len();
    let update = match call {
        Call::List => Update::Listing { kind, revision, rows: page.rows },
        Call::Watch(since) => {
            Update::Changes { kind, delta: Delta { since, revision, rows: page.rows } }
        }
    };
    let now = shared.now();
    let mut balancer = shared.balancer();
    let was_ready = balancer.is_ready();
    let changed = balancer.learn(now, update);
    let ready = balancer.is_ready();
    let version = balancer.config().map_or(0, |config| config.version);
    drop(balancer);
    if changed && rows > 0 {
        log::info!(target: "store", kind:? = kind, revision = revision, rows = rows,
            config = version; "learned");
    }
    if ready != was_ready {
        log::info!(target: "entry", ready = ready; "readiness changed");
    }
}

/// Keeps up which other entries there are, from data that may be old: what
/// they say themselves is newer.
pub async fn follow_peers(shared: Arc<Shared>, client: Client) {
    loop {
        match registry::list_stale(&client, Kind::Peer).await {
            Ok(page) => take(&shared, Kind::Peer, Call::List, page),
            Err(error) => {
                shared.meter.store_failures.add(1);
                log::info!(target: "store", error:% = error; "entries not listed");
            }
        }
        actix_rt::time::sleep(PEERS_INTERVAL).await;
    }
}
