//! Follows the platform's store with one task per kind of object.

use std::sync::Arc;
use std::time::{Duration, Instant};

use balance::Update;
use balance::content::Kind;
use balance::freshness::Bounds;
use balance::view::Delta;
use platform::poller::{Call, Transition};
use platform::{Error, Poller};
use registry::{Listed, Store};

use crate::shared::Shared;

/// Minimum interval between calls for the same kind, which batches changes.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks whether this entry has to follow the store itself.
const FOLLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between listings of the entries, which may return stale data.
const PEERS_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the objects of one kind up to date until the future is dropped.
pub async fn follow(shared: Arc<Shared>, store: Store, kind: Kind, seed: u64) {
    let mut poller = Poller::new(seed);
    let mut followed = None;
    loop {
        let follows = follows_store(&shared, kind);
        if followed.replace(follows) != Some(follows) {
            log_source(&shared, kind, follows);
        }
        if !follows {
            actix_rt::time::sleep(FOLLOW_CHECK_INTERVAL).await;
            continue;
        }
        let era = store.era();
        poller.observe_era(era);
        let call = poller.call();
        let started = Instant::now();
        let freshness = shared.balancer().freshness();
        let result = tokio::select! {
            result = call_store(&store, kind, call, freshness) => result,
            // A watch of an earlier era never returns changes.
            _ = store.wait_for_later_era(era), if call != Call::List => continue,
        };
        match result {
            Ok(listed) => {
                handle_success(&shared, &mut poller, kind, call, listed);
                actix_rt::time::sleep(MIN_CALL_INTERVAL.saturating_sub(started.elapsed())).await;
            }
            Err(error) => {
                shared.meter.store_failures.add(1);
                let wait = handle_failure(&mut poller, kind, call, &error);
                actix_rt::time::sleep(wait).await;
            }
        }
    }
}

/// Records a failed call. Returns the wait before the next one.
fn handle_failure(poller: &mut Poller, kind: Kind, call: Call, error: &Error) -> Duration {
    let (transition, wait) = poller.fail(error);
    if poller.call() == Call::List && call != Call::List {
        log::info!(target: "store", kind:? = kind, error:% = error; "watch ended, listing again");
    }
    if transition == Transition::Lost {
        log::warn!(target: "store", kind:? = kind, error:% = error; "lost");
    }
    wait
}

/// Whether the entry has to follow a kind itself. Records the age of its copy.
fn follows_store(shared: &Shared, kind: Kind) -> bool {
    let now = shared.now();
    let balancer = shared.balancer();
    if let Some(age) = balancer.synced_age(now, kind) {
        shared.meter.record_synced_age(kind, age);
    }
    balancer.follows_store(now, kind)
}

/// Logs where changes of a kind come from from now on.
fn log_source(shared: &Shared, kind: Kind, follows: bool) {
    let balancer = shared.balancer();
    let age = balancer.synced_age(shared.now(), kind);
    let source = if follows { "the store" } else { "other entries" };
    log::info!(target: "store", kind:? = kind, source = source,
        position:% = balancer.position(kind), synced_ms:? = age.map(|age| age.as_millis());
        "source of changes");
}

async fn call_store(
    store: &Store,
    kind: Kind,
    call: Call,
    freshness: Bounds,
) -> Result<Listed, Error> {
    match call {
        Call::List => store.list(kind).await,
        Call::Watch(since) => {
            let (wait, limit) = (freshness.watch_timeout(kind), freshness.max_age(kind));
            store.watch(kind, since.revision, wait, limit).await
        }
    }
}

fn handle_success(
    shared: &Arc<Shared>,
    poller: &mut Poller,
    kind: Kind,
    call: Call,
    listed: Listed,
) {
    let now = shared.now();
    let position = listed.position;
    match poller.succeed(call, position) {
        Transition::Restored => {
            log::warn!(target: "store", kind:? = kind, position:% = position; "restored");
            return;
        }
        Transition::Recovered => {
            // Before the page is applied: it may lack servers whose registration
            // only expired during the outage.
            shared.balancer().record_reconnect(now);
            log::info!(target: "store", kind:? = kind, position:% = position; "regained");
        }
        Transition::None | Transition::Lost => {}
    }
    let mut balancer = shared.balancer();
    // An answer older than the copy doesn't show that the copy is current.
    if position >= balancer.position(kind) {
        balancer.record_store_reply(now, kind);
    }
    drop(balancer);
    apply_page(shared, kind, call, listed);
}

fn apply_page(shared: &Arc<Shared>, kind: Kind, call: Call, listed: Listed) {
    let Listed { position, page } = listed;
    if page.malformed > 0 {
        shared.meter.malformed_objects.add(page.malformed as u64);
        log::warn!(target: "store", kind:? = kind, count = page.malformed;
            "objects could not be decoded");
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

/// Keeps the list of other entries up to date. Stale reads are enough, since the
/// entries' own messages are newer.
pub async fn follow_peers(shared: Arc<Shared>, store: Store) {
    loop {
        match store.list_stale(Kind::Peer).await {
            Ok(listed) => apply_page(&shared, Kind::Peer, Call::List, listed),
            Err(error) => {
                shared.meter.store_failures.add(1);
                log::info!(target: "store", error:% = error; "listing the entries failed");
            }
        }
        actix_rt::time::sleep(PEERS_INTERVAL).await;
    }
}
