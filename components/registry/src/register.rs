//! Registration of a process in the store.

use std::time::Duration;

use adapter::store;
use balance::content::Kind;
use platform::{Error, Method};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tables::Name;

use crate::{CALL_TIMEOUT, Store};

/// Initial delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Largest retry delay. It spreads the retries of a fleet that starts all at once,
/// so that they stay below the store's rate limit.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Time over which the processes of a fleet spread their new registrations after
/// a restore of the store.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);

/// The registration of a process.
pub struct Registration {
    kind: Kind,
    name: Name,
    description: Value,
    rng: ChaCha8Rng,
}

impl Registration {
    /// Creates a registration of `description` under a name. `seed` sets the jitter
    /// that spreads the writes of a fleet.
    pub fn new(kind: Kind, name: Name, description: Value, seed: u64) -> Registration {
        Registration { kind, name, description, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Registers the process, retrying until it succeeds. Returns the era of the
    /// store in which the process is registered.
    pub async fn register(&mut self, store: &Store) -> u64 {
        let mut max_delay = RETRY_DELAY;
        loop {
            let era = store.era();
            match self.try_register(store).await {
                // A restore during the call may have discarded the write.
                Ok(()) if era > 0 && store.era() != era => {}
                Ok(()) => {
                    let era = store.era();
                    log::info!(target: "store", name:% = self.name, era = era; "registered");
                    return era;
                }
                Err(error) => {
                    log::info!(target: "store", error:% = error; "registration failed; retrying");
                    let delay = max_delay.mul_f64(self.rng.random_range(0.5..1.0));
                    actix_rt::time::sleep(delay).await;
                    max_delay = (max_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Registers the process again after each restore later than `era`, because the
    /// restored copy may lack it. Runs until the future is dropped.
    pub async fn keep_registered(mut self, store: Store, mut era: u64) {
        loop {
            store.wait_for_later_era(era).await;
            let delay = RESTORE_SPREAD.mul_f64(self.rng.random_range(0.0..1.0));
            actix_rt::time::sleep(delay).await;
            era = self.register(&store).await;
        }
    }

    async fn try_register(&self, store: &Store) -> Result<(), Error> {
        let body = store::encode_object(&self.name, &self.description, None);
        let reply = store.submit(Method::POST, store::list_path(self.kind, None), &body).await?;
        if reply.status != 409 {
            return reply.accept().map(drop);
        }
        // The object exists: an earlier process of this host registered it.
        let path = store::object_path(self.kind, &self.name);
        let (era, reply) = store.fetch(path.clone(), CALL_TIMEOUT).await?;
        let revision = store::decode_revision(reply.accept()?);
        let revision = revision.map_err(|_| Error::Malformed { status: 200 })?;
        // Revisions of different eras aren't comparable.
        if store.era() != era {
            return Err(Error::Outdated);
        }
        let body = store::encode_object(&self.name, &self.description, Some(revision));
        store.submit(Method::PUT, path, &body).await?.accept().map(drop)
    }
}
