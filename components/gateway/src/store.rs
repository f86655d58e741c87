//! Follows the platform's store, one task for each kind of object.

use std::sync::Arc;
use std::time::{Duration, Instant};

use balance::Update;
use balance::content::Kind;
use balance::view::Delta;
use platform::poller::{Call, Transition};
use platform::{Error, Poller};
use registry::{Listed, Store};

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
pub async fn follow(shared: Arc<Shared>, store: Store, kind: Kind, seed: u64) {
    let mut poller = Poller::new(seed);
    loop {
        let now = shared.now();
        if !shared.balancer().follows_store(now) {
            actix_rt::time::sleep(LOOK).await;
            continue;
        }
        let era = store.era();
        poller.observe_era(era);
        let call = poller.call();
        let begun = Instant::now();
        let result = tokio::select! {
            result = make(&store, kind, call) => result,
            // A watch that waits in an earlier era brings nothing.
            _ = store.wait_for_later_era(era), if call != Call::List => continue,
        };
        match result {
            Ok(listed) => {
                note_success(&shared, &mut poller, kind, call, listed);
                actix_rt::time::sleep(PACE.saturating_sub(begun.elapsed())).await;
            }
            Err(error) => {
                shared.meter.store_failures.add(1);
                let (transition, wait) = poller.fail(&error);
                if transition == Transition::Lost {
                    log::warn!(target: "store", kind:? = kind, error:% = error; "lost");
                }
                actix_rt::time::sleep(wait).await;
            }
        }
        if poller.call() == Call::List && call != Call::List {
            log::info!(target: "store", kind:? = kind; "history gone, listing anew");
        }
    }
}

async fn make(store: &Store, kind: Kind, call: Call) -> Result<Listed, Error> {
    match call {
        Call::List => store.list(kind).await,
        Call::Watch(since) => store.watch(kind, since.revision, WATCH_WAIT).await,
    }
}

fn note_success(shared: &Arc<Shared>, poller: &mut Poller, kind: Kind, call: Call, listed: Listed) {
    let now = shared.now();
    let position = listed.position;
    match poller.succeed(call, position) {
        Transition::Restored => {
            log::warn!(target: "store", kind:? = kind, position:% = position; "restored");
            return;
        }
        Transition::Recovered => {
            // Before the page: servers may be missing from it that only lapsed.
            shared.balancer().record_reconnect(now);
            log::info!(target: "store", kind:? = kind, position:% = position; "regained");
        }
        Transition::None | Transition::Lost => {}
    }
    shared.balancer().record_store_reply(now);
    take(shared, kind, call, listed);
}

fn take(shared: &Arc<Shared>, kind: Kind, call: Call, listed: Listed) {
    let Listed { position, page } = listed;
    if page.malformed > 0 {
        shared.meter.malformed_objects.add(page.malformed as u64);
        log::warn!(target: "store", kind:? = kind, count = page.malformed; "unreadable objects");
    }
    let rows = page.rows.len();
    let update = match call {
        Call::List => Update::Listing { kind, position, rows: page.rows },
        Call::Watch(since) => {
            let since = since.revision;
            let delta = Delta { since, revision: position.revision, rows: page.rows };
            Update::Changes { kind, era: position.era, delta }
        }
    };
    let now = shared.now();
    let mut balancer = shared.balancer();
    let was_ready = balancer.is_ready();
    let changed = balancer.apply(now, update);
    let ready = balancer.is_ready();
    let version = balancer.config().map_or(0, |config| config.version);
    drop(balancer);
    if changed && rows > 0 {
        log::info!(target: "store", kind:? = kind, position:% = position, rows = rows,
            config = version; "learned");
    }
    if ready != was_ready {
        log::info!(target: "entry", ready = ready; "readiness changed");
    }
}

/// Keeps up which other entries there are, from data that may be old: what
/// they say themselves is newer.
pub async fn follow_peers(shared: Arc<Shared>, store: Store) {
    loop {
        match store.list_stale(Kind::Peer).await {
            Ok(listed) => take(&shared, Kind::Peer, Call::List, listed),
            Err(error) => {
                shared.meter.store_failures.add(1);
                log::info!(target: "store", error:% = error; "entries not listed");
            }
        }
        actix_rt::time::sleep(PEERS_INTERVAL).await;
    }
}
