//! Follows the platform's store, one task for each kind of object.

use std::sync::Arc;
use std::time::Duration;

use adapter::store::{self, Page};
use balance::Update;
use balance::content::{Kind, Peer};
use balance::view::Delta;
use platform::lane::{Call, Turn};
use platform::{Client, Error, Lane, Method};
use tables::Name;

use crate::shared::Shared;

/// Longest wait for an answer beyond what a call itself waits. The store
/// answers in a few milliseconds.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest wait of a watch. A connection that went silent is found that much
/// later, within the time in which a configuration has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Wait before an entry tries again to describe itself.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// Keeps one kind up to date until the future is dropped.
pub async fn follow(shared: Arc<Shared>, client: Client, kind: Kind, seed: u64) {
    let mut lane = Lane::new(seed);
    loop {
        let call = lane.call();
        match make(&client, kind, call).await {
            Ok(page) => {
                let revision = page.revision;
                take(&shared, kind, call, page);
                if lane.succeed(revision) == Turn::Regained {
                    log::info!(target: "store", kind:? = kind, revision = revision; "regained");
                }
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
        Call::List => list(client, kind).await,
        Call::Watch(since) => {
            let path = store::watch_path(kind, since, WATCH_WAIT);
            let reply = client.fetch(path, WATCH_WAIT + ANSWER_TIMEOUT).await?;
            decoded(store::decode_changes(kind, reply.accept()?))
        }
    }
}

async fn list(client: &Client, kind: Kind) -> Result<Page, Error> {
    let mut whole: Option<Page> = None;
    loop {
        let last = whole.as_ref().and_then(|page| page.rows.last());
        let path = store::list_path(kind, last.map(|(name, _)| name.as_str()));
        let reply = client.fetch(path, ANSWER_TIMEOUT).await?;
        let page = decoded(store::decode_listing(kind, reply.accept()?))?;
        let more = page.more && !page.rows.is_empty();
        match &mut whole {
            // Later pages may be newer; a watch from the first one's revision
            // brings what lies between.
            Some(whole) => {
                whole.rows.extend(page.rows);
                whole.malformed += page.malformed;
            }
            None => whole = Some(page),
        }
        if !more {
            return Ok(whole.unwrap_or_default());
        }
    }
}

fn decoded(result: Result<Page, store::Error>) -> Result<Page, Error> {
    result.map_err(|error| {
        log::warn!(target: "store", error:% = error; "unreadable answer");
        Error::Malformed { status: 200 }
    })
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

/// Enters this entry into the store, once.
pub async fn register(client: Client, name: Name, peer: Peer) {
    loop {
        match try_register(&client, &name, &peer).await {
            Ok(()) => {
                log::info!(target: "store", name:% = name; "registered");
                return;
            }
            Err(error) => {
                log::info!(target: "store", error:% = error; "not registered yet");
                actix_rt::time::sleep(REGISTER_RETRY).await;
            }
        }
    }
}

async fn try_register(client: &Client, name: &Name, peer: &Peer) -> Result<(), Error> {
    let path = store::list_path(Kind::Peer, None);
    let body = store::encode_peer(name, peer, None);
    let reply = client.submit(Method::POST, path, &body).await?;
    if reply.status != 409 {
        return reply.accept().map(drop);
    }
    // An earlier process of this host stands there.
    let path = store::object_path(Kind::Peer, name);
    let reply = client.fetch(path.clone(), ANSWER_TIMEOUT).await?;
    let revision = store::decode_revision(reply.accept()?);
    let revision = revision.map_err(|_| Error::Malformed { status: 200 })?;
    let body = store::encode_peer(name, peer, Some(revision));
    client.submit(Method::PUT, path, &body).await?.accept().map(drop)
}
