//! A store that loses recent writes in a restore and receives them again.

use std::collections::BTreeMap;
use std::time::Duration;

use balance::content::{Content, Kind};
use platform::Error;
use platform::poller::Call;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tables::{Name, Position, Row};

pub type Objects = BTreeMap<(Kind, Name), Row<Content>>;

/// Time without a heartbeat after which the store removes a server.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(3600);

/// Longest time until operators and servers have repeated lost writes.
const MAX_REWRITE_DELAY: Duration = Duration::from_millis(2000);

#[derive(Clone)]
struct Snapshot {
    taken_at: Duration,
    revision: u64,
    objects: Objects,
}

/// Response to a call.
#[derive(Clone, Debug)]
pub struct Response {
    pub position: Position,
    pub rows: Vec<(Name, Row<Content>)>,
}

#[derive(Default)]
pub struct Store {
    pub era: u64,
    pub up: bool,
    revision: u64,
    pub objects: Objects,
    history: Vec<(Kind, Name, Row<Content>)>,
    snapshots: Vec<Snapshot>,
    /// Ground truth, whether or not the store has it.
    pub truth: BTreeMap<(Kind, Name), Content>,
    /// Objects to be written again, each with its due time.
    pending: Vec<(Duration, (Kind, Name))>,
    pub restores: u32,
}

impl Store {
    pub fn new() -> Store {
        Store { era: 1, up: true, revision: 1, ..Store::default() }
    }

    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    /// Writes an object for an operator or server. The store must be up.
    pub fn write(&mut self, kind: Kind, name: &Name, content: Option<Content>) {
        let key = (kind, name.clone());
        match &content {
            Some(content) => drop(self.truth.insert(key.clone(), content.clone())),
            None => drop(self.truth.remove(&key)),
        }
        self.set(key, content);
    }

    fn set(&mut self, key: (Kind, Name), content: Option<Content>) {
        // A write that changes nothing creates no revision.
        if self.objects.get(&key).and_then(|row| row.body.as_ref()) == content.as_ref() {
            return;
        }
        self.revision += 1;
        let row = Row { version: self.revision, body: content };
        self.history.push((key.0, key.1.clone(), row.clone()));
        match row.body {
            Some(_) => drop(self.objects.insert(key, row)),
            None => drop(self.objects.remove(&key)),
        }
    }

    pub fn take_snapshot(&mut self, now: Duration) {
        self.snapshots.push(Snapshot {
            taken_at: now,
            revision: self.revision,
            objects: self.objects.clone(),
        });
    }

    /// Restores the latest snapshot that is at least `age` old, if there is one.
    pub fn restore(&mut self, now: Duration, age: Duration, rng: &mut ChaCha8Rng) {
        let Some(index) =
            self.snapshots.iter().rposition(|snapshot| snapshot.taken_at + age <= now)
        else {
            return;
        };
        self.snapshots.truncate(index + 1);
        let snapshot = self.snapshots[index].clone();
        self.era += 1;
        self.restores += 1;
        self.revision = snapshot.revision;
        self.objects = snapshot.objects;
        self.history.retain(|(_, _, row)| row.version <= snapshot.revision);
        self.pending.clear();
        let keys = self.truth.keys().chain(self.objects.keys()).cloned();
        let keys: std::collections::BTreeSet<_> = keys.collect();
        for key in keys {
            let expired = key.0 == Kind::Server && !self.truth.contains_key(&key);
            let delay = if expired {
                REGISTRATION_TIMEOUT
            } else {
                MAX_REWRITE_DELAY.mul_f64(rng.random_range(0.0..1.0))
            };
            self.pending.push((now + delay, key));
        }
    }

    /// Repeats the lost writes that are due.
    pub fn rewrite(&mut self, now: Duration) {
        if !self.up {
            return;
        }
        let (due, later) = std::mem::take(&mut self.pending).into_iter().partition(|p| p.0 <= now);
        self.pending = later;
        let due: Vec<(Duration, (Kind, Name))> = due;
        for (_, key) in due {
            let content = self.truth.get(&key).cloned();
            self.set(key, content);
        }
    }

    pub fn serve(&self, kind: Kind, call: Call) -> Result<Response, Error> {
        if !self.up {
            return Err(Error::Unreachable);
        }
        let position = self.position();
        match call {
            Call::List => {
                let rows = self.objects.iter().filter(|((k, _), _)| *k == kind);
                let rows = rows.map(|((_, name), row)| (name.clone(), row.clone())).collect();
                Ok(Response { position, rows })
            }
            Call::Watch(since) if since.revision > self.revision => Err(Error::Gone),
            Call::Watch(since) => {
                let newer = self
                    .history
                    .iter()
                    .filter(|(k, _, row)| *k == kind && row.version > since.revision);
                let rows = newer.map(|(_, name, row)| (name.clone(), row.clone())).collect();
                Ok(Response { position, rows })
            }
        }
    }
}
