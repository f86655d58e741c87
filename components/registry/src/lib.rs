//! Client for the platform's store, built on the shared platform client.

mod register;

use std::rc::Rc;
use std::time::Duration;

use adapter::store::{self, Page};
use balance::content::Kind;
use platform::{Client, Error, Method, Pages, Reply};
use serde_json::Value;
use tables::{Name, Position};
use tokio::sync::watch;

pub use register::Registration;

/// Timeout of a call, in addition to the wait that a watch requests. The store
/// responds within a few milliseconds.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest response body, in bytes. The store sends pages of about 1 MB; the
/// response to a watch may contain the changes of several seconds.
const BODY_LIMIT: usize = 8 << 20;

/// Largest size of all rows of a listing, in bytes. Objects of other writers that can't be
/// decoded count with their names only, so that they don't end a listing.
const LISTING_LIMIT: usize = 32 << 20;

/// Objects of a kind, with their position in the store's history.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    /// The position from which a watch continues.
    pub position: Position,
    /// The objects or changes.
    pub page: Page,
}

/// Client of the platform's store. Cheap to clone, but not `Send`.
///
/// Each restore of the store from an older copy starts a new era. Responses from
/// an era earlier than the latest known one are rejected.
#[derive(Clone)]
pub struct Store {
    client: Client,
    era: Rc<watch::Sender<u64>>,
}

impl Store {
    /// Creates a client of the store at an address, `HOST:PORT`.
    pub fn new(address: impl std::fmt::Display) -> Store {
        let urls = vec![format!("http://{address}").into()];
        let client = Client::new(urls, CALL_TIMEOUT)
            .with_era_header(store::ERA_HEADER)
            .with_body_limit(BODY_LIMIT);
        Store { client, era: Rc::new(watch::Sender::new(0)) }
    }

    /// The latest known era, 0 if none is known.
    pub fn era(&self) -> u64 {
        *self.era.borrow()
    }

    /// Applies an era reported by a response or by another process. Returns whether
    /// it is later than the latest known one.
    pub fn observe_era(&self, era: u64) -> bool {
        self.era.send_if_modified(|known| {
            let later = era > *known;
            *known = era.max(*known);
            later
        })
    }

    /// Waits for an era later than `era` and returns it.
    pub async fn wait_for_later_era(&self, era: u64) -> u64 {
        let mut eras = self.era.subscribe();
        match eras.wait_for(|known| *known > era).await {
            Ok(known) => *known,
            // Unreachable: `self` holds the sender.
            Err(_) => std::future::pending().await,
        }
    }

    /// Lists all objects of a kind, page by page.
    ///
    /// # Errors
    ///
    /// If a page can't be fetched or decoded.
    pub async fn list(&self, kind: Kind) -> Result<Listed, Error> {
        self.list_pages(kind, store::list_path).await
    }

    /// Like [`Store::list`], but the data may be seconds old, which is cheaper for
    /// the store.
    ///
    /// # Errors
    ///
    /// See [`Store::list`].
    pub async fn list_stale(&self, kind: Kind) -> Result<Listed, Error> {
        self.list_pages(kind, store::stale_list_path).await
    }

    async fn list_pages(
        &self,
        kind: Kind,
        path: fn(Kind, Option<&str>) -> String,
    ) -> Result<Listed, Error> {
        let mut listing: Option<Listed> = None;
        let mut pages = Pages::new(LISTING_LIMIT);
        let mut last: Option<Name> = None;
        loop {
            let path = path(kind, last.as_deref());
            let (era, reply) = self.fetch(path, CALL_TIMEOUT).await?;
            let page = log_malformed(store::decode_listing(kind, reply.accept()?))?;
            last = pages.advance(page.size, page.more, page.last.clone())?;
            match &mut listing {
                // Pages from different eras don't form a consistent listing.
                Some(listing) if listing.position.era != era => return Err(Error::Gone),
                // Later pages may be newer. A watch from the first page's revision
                // delivers the changes in between.
                Some(listing) => {
                    listing.page.rows.extend(page.rows);
                    listing.page.malformed += page.malformed;
                }
                None => listing = Some(Listed { position: page.position(era), page }),
            }
            if last.is_none() {
                return Ok(listing.unwrap_or_default());
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after the revision `since`. The response
    /// must arrive within `limit`, and at most a call's time after the wait.
    ///
    /// # Errors
    ///
    /// If no response arrives or it can't be decoded.
    pub async fn watch(
        &self,
        kind: Kind,
        since: u64,
        wait: Duration,
        limit: Duration,
    ) -> Result<Listed, Error> {
        let path = store::watch_path(kind, since, wait);
        let (era, reply) = self.fetch(path, limit.min(wait + CALL_TIMEOUT)).await?;
        let page = log_malformed(store::decode_changes(kind, reply.accept()?))?;
        Ok(Listed { position: page.position(era), page })
    }

    async fn fetch(&self, path: String, timeout: Duration) -> Result<(u64, Reply), Error> {
        let reply = self.client.fetch(path, timeout).await?;
        Ok((self.check_era(&reply)?, reply))
    }

    async fn submit(&self, method: Method, path: String, body: &Value) -> Result<Reply, Error> {
        let reply = self.client.submit(method, path, body).await?;
        self.check_era(&reply)?;
        Ok(reply)
    }

    /// Returns the era of a response and applies it. A response without an era
    /// counts as one of the latest known era.
    ///
    /// # Errors
    ///
    /// [`Error::Outdated`] if the era is earlier than the latest known one.
    fn check_era(&self, reply: &Reply) -> Result<u64, Error> {
        let known = self.era();
        let stated = reply.era.as_deref().map(store::decode_era);
        let era = match stated {
            None => known,
            Some(Some(era)) => era,
            Some(None) => {
                log::warn!(target: "store", known = known; "malformed era header; using the latest known era");
                known
            }
        };
        if era < known {
            log::warn!(target: "store", era = era, known = known; "answer of an earlier era");
            return Err(Error::Outdated);
        }
        if self.observe_era(era) {
            if known == 0 {
                log::info!(target: "store", era = era; "era of the store");
            } else {
                log::warn!(target: "store", era = era, before = known; "restored from a copy");
            }
        }
        Ok(era)
    }
}

fn log_malformed(result: Result<Page, store::Error>) -> Result<Page, Error> {
    result.map_err(|error| {
        log::warn!(target: "store", error:% = error; "malformed response of the store");
        Error::Malformed { status: 200 }
    })
}
