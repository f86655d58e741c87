//! How a process describes itself in the store.

use std::time::Duration;

use adapter::store;
use balance::content::Kind;
use platform::{Error, Method};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tables::Name;

use crate::{ANSWER_TIMEOUT, Store};

/// Wait before a process tries again to describe itself.
const RETRY: Duration = Duration::from_secs(1);

/// Largest wait after failures in a row: a whole fleet that starts at once
/// comes back spread out, below the store's rate.
const RETRY_MAX: Duration = Duration::from_secs(8);

/// Time over which the processes of a fleet spread what they write again after
/// a restore of the store.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);

/// What a process writes about itself.
pub struct Registration {
    kind: Kind,
    name: Name,
    description: Value,
    rng: ChaCha8Rng,
}

impl Registration {
    /// A description under a name. `seed` spreads the writes of a fleet.
    pub fn new(kind: Kind, name: Name, description: Value, seed: u64) -> Registration {
        Registration { kind, name, description, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Enters the process. Returns the era in which it stands in the store.
    pub async fn register(&mut self, store: &Store) -> u64 {
        let mut bound = RETRY;
        loop {
            let era = store.era();
            match self.try_register(store).await {
                // What was written before a restore may be lost.
                Ok(()) if era > 0 && store.era() != era => {}
                Ok(()) => {
                    let era = store.era();
                    log::info!(target: "store", name:% = self.name, era = era; "registered");
                    return era;
                }
                Err(error) => {
                    log::info!(target: "store", error:% = error; "not registered yet");
                    let wait = bound.mul_f64(self.rng.random_range(0.5..1.0));
                    actix_rt::time::sleep(wait).await;
                    bound = (bound * 2).min(RETRY_MAX);
                }
            }
        }
    }

    /// Enters the process once more after each restore that follows an era,
    /// until the future is dropped: the copy may lack it.
    pub async fn keep_registered(mut self, store: Store, mut era: u64) {
        loop {
            store.wait_for_later_era(era).await;
            let wait = RESTORE_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
            actix_rt::time::sleep(wait).await;
            era = self.register(&store).await;
        }
    }

    async fn try_register(&self, store: &Store) -> Result<(), Error> {
        let body = store::encode_object(&self.name, &self.description, None);
        let reply = store.submit(Method::POST, store::list_path(self.kind, None), &body).await?;
        if reply.status != 409 {
            return reply.accept().map(drop);
        }
        // An earlier process of this host stands there.
        let path = store::object_path(self.kind, &self.name);
        let (era, reply) = store.fetch(path.clone(), ANSWER_TIMEOUT).await?;
        let revision = store::decode_revision(reply.accept()?);
        let revision = revision.map_err(|_| Error::Malformed { status: 200 })?;
        // The revision means another object once the store was restored.
        if store.era() != era {
            return Err(Error::Outdated);
        }
        let body = store::encode_object(&self.name, &self.description, Some(revision));
        store.submit(Method::PUT, path, &body).await?.accept().map(drop)
    }
}
