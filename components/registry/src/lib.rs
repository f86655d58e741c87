//! Calls to the platform's store in its own dialect, over the one client.

use std::time::Duration;

use adapter::store::{self, Page};
use balance::content::Kind;
use platform::{Client, Error, Method};
use serde_json::Value;
use tables::Name;

/// Longest wait for an answer beyond what a call itself waits. The store
/// answers in a few milliseconds.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Wait before a process tries again to describe itself.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// Lists all objects of a kind, page by page.
///
/// # Errors
///
/// If a page can't be had or read.
pub async fn list(client: &Client, kind: Kind) -> Result<Page, Error> {
    list_pages(client, kind, store::list_path).await
}

/// As [`list`], of data that may be seconds old; costs the store less.
///
/// # Errors
///
/// As [`list`].
pub async fn list_stale(client: &Client, kind: Kind) -> Result<Page, Error> {
    list_pages(client, kind, store::stale_list_path).await
}

async fn list_pages(
    client: &Client,
    kind: Kind,
    path: fn(Kind, Option<&str>) -> String,
) -> Result<Page, Error> {
    let mut whole: Option<Page> = None;
    loop {
        let last = whole.as_ref().and_then(|page| page.rows.last());
        let path = path(kind, last.map(|(name, _)| name.as_str()));
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

/// Waits up to `wait` for changes of a kind after a revision.
///
/// # Errors
///
/// If no answer comes or it can't be read.
pub async fn watch(client: &Client, kind: Kind, since: u64, wait: Duration) -> Result<Page, Error> {
    let path = store::watch_path(kind, since, wait);
    let reply = client.fetch(path, wait + ANSWER_TIMEOUT).await?;
    decoded(store::decode_changes(kind, reply.accept()?))
}

fn decoded(result: Result<Page, store::Error>) -> Result<Page, Error> {
    result.map_err(|error| {
        log::warn!(target: "store", error:% = error; "unreadable answer");
        Error::Malformed { status: 200 }
    })
}

/// Enters a process into the store, once.
pub async fn register(client: Client, kind: Kind, name: Name, description: Value) {
    loop {
        match try_register(&client, kind, &name, &description).await {
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

async fn try_register(
    client: &Client,
    kind: Kind,
    name: &Name,
    description: &Value,
) -> Result<(), Error> {
    let body = store::encode_object(name, description, None);
    let reply = client.submit(Method::POST, store::list_path(kind, None), &body).await?;
    if reply.status != 409 {
        return reply.accept().map(drop);
    }
    // An earlier process of this host stands there.
    let path = store::object_path(kind, name);
    let reply = client.fetch(path.clone(), ANSWER_TIMEOUT).await?;
    let revision = store::decode_revision(reply.accept()?);
    let revision = revision.map_err(|_| Error::Malformed { status: 200 })?;
    let body = store::encode_object(name, description, Some(revision));
    client.submit(Method::PUT, path, &body).await?.accept().map(drop)
}
