//! Calls to the platform's store in its own dialect, over the one client.

mod register;

use std::rc::Rc;
use std::time::Duration;

use adapter::store::{self, Page};
use balance::content::Kind;
use platform::{Client, Error, Method, Reply};
use serde_json::Value;
use tables::Position;
use tokio::sync::watch;

pub use register::Registration;

/// Longest wait for an answer beyond what a call itself waits. The store
/// answers in a few milliseconds.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest body of an answer, in bytes. The store sends pages of about 1 MB; the
/// answer to a watch may hold the changes of some seconds.
const BODY_LIMIT: usize = 8 << 20;

/// Objects of a kind as of one position in the store's history.
#[derive(Clone, Debug, Default)]
pub struct Listed {
    /// The position: a watch goes on from there.
    pub position: Position,
    /// What came.
    pub page: Page,
}

/// The platform's store as one process knows it. Cheap to clone; stays on its
/// thread.
///
/// The store numbers its restores from older copies, its eras. An answer of an
/// earlier era than one already known is refused here, whatever was called.
#[derive(Clone)]
pub struct Store {
    client: Client,
    era: Rc<watch::Sender<u64>>,
}

impl Store {
    /// The store at an address, `HOST:PORT`.
    pub fn new(address: impl std::fmt::Display) -> Store {
        let urls = vec![format!("http://{address}").into()];
        let client = Client::new(urls, ANSWER_TIMEOUT)
            .with_era_header(store::ERA_HEADER)
            .with_body_limit(BODY_LIMIT);
        Store { client, era: Rc::new(watch::Sender::new(0)) }
    }

    /// The latest era that is known; 0 before any.
    pub fn era(&self) -> u64 {
        *self.era.borrow()
    }

    /// Another process knows of an era. Returns whether it is news.
    pub fn observe_era(&self, era: u64) -> bool {
        self.era.send_if_modified(|known| {
            let news = era > *known;
            *known = era.max(*known);
            news
        })
    }

    /// Waits for a later era than `era`.
    pub async fn wait_for_later_era(&self, era: u64) -> u64 {
        let mut eras = self.era.subscribe();
        match eras.wait_for(|known| *known > era).await {
            Ok(known) => *known,
            // The sender lives as long as this store.
            Err(_) => std::future::pending().await,
        }
    }

    /// Lists all objects of a kind, page by page.
    ///
    /// # Errors
    ///
    /// If a page can't be had or read.
    pub async fn list(&self, kind: Kind) -> Result<Listed, Error> {
        self.list_pages(kind, store::list_path).await
    }

    /// As [`Store::list`], of data that may be seconds old; costs the store less.
    ///
    /// # Errors
    ///
    /// As [`Store::list`].
    pub async fn list_stale(&self, kind: Kind) -> Result<Listed, Error> {
        self.list_pages(kind, store::stale_list_path).await
    }

    async fn list_pages(
        &self,
        kind: Kind,
        path: fn(Kind, Option<&str>) -> String,
    ) -> Result<Listed, Error> {
        let mut whole: Option<Listed> = None;
        loop {
            let last = whole.as_ref().and_then(|listed| listed.page.rows.last());
            let path = path(kind, last.map(|(name, _)| name.as_str()));
            let (era, reply) = self.fetch(path, ANSWER_TIMEOUT).await?;
            let page = decoded(store::decode_listing(kind, reply.accept()?))?;
            let more = page.more && !page.rows.is_empty();
            match &mut whole {
                // Pages of two eras are no listing of either.
                Some(whole) if whole.position.era != era => return Err(Error::Gone),
                // Later pages may be newer; a watch from the first one's revision
                // brings what lies between.
                Some(whole) => {
                    whole.page.rows.extend(page.rows);
                    whole.page.malformed += page.malformed;
                }
                None => whole = Some(Listed { position: page.position(era), page }),
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
    pub async fn watch(&self, kind: Kind, since: u64, wait: Duration) -> Result<Listed, Error> {
        let path = store::watch_path(kind, since, wait);
        let (era, reply) = self.fetch(path, wait + ANSWER_TIMEOUT).await?;
        let page = decoded(store::decode_changes(kind, reply.accept()?))?;
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

    /// The era of an answer. One that states none is of the latest era.
    fn check_era(&self, reply: &Reply) -> Result<u64, Error> {
        let known = self.era();
        let stated = reply.era.as_deref().map(store::decode_era);
        let era = match stated {
            None => known,
            Some(Some(era)) => era,
            Some(None) => {
                log::warn!(target: "store", known = known; "unreadable era");
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

fn decoded(result: Result<Page, store::Error>) -> Result<Page, Error> {
    result.map_err(|error| {
        log::warn!(target: "store", error:% = error; "unreadable answer");
        Error::Malformed { status: 200 }
    })
}
