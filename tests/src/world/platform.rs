//! The fake of the platform: the stand-in's store, with faults in fake time.

use std::time::Duration;

use admission::suspect;
use lab::platform::{Settings, Store};
use platform::{Error, Expect};
use serde_json::Value;
use tables::{Kind, Name};

/// Time until a reply comes.
const REPLY: Duration = Duration::from_millis(4);
/// Time after which a call without a reply has failed.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The platform.
pub struct Platform {
    /// The objects.
    pub store: Store,
    /// Whether it answers nothing.
    pub down: bool,
    /// Extra time until a reply comes.
    pub slow: Duration,
    /// Replies to writes that will be lost after their effect.
    pub lose_replies: u32,
    /// Extra time until watches tell of a change.
    pub watch_delay: Duration,
    /// Writes so far.
    pub writes: u64,
}

/// A reply: after how long, and what.
pub type Reply<T> = (Duration, T);

impl Platform {
    /// A platform that holds these objects and hosts.
    pub fn new(settings: &Settings) -> Platform {
        Platform {
            store: Store::new(settings),
            down: false,
            slow: Duration::ZERO,
            lose_replies: 0,
            watch_delay: Duration::ZERO,
            writes: 0,
        }
    }

    /// Mends all.
    pub fn mend(&mut self) {
        self.down = false;
        self.slow = Duration::ZERO;
        self.lose_replies = 0;
        self.watch_delay = Duration::ZERO;
    }

    /// Carries out a call for a claim.
    pub fn claim(&mut self, pool: &str, output: claims::Output) -> Option<Reply<claims::Input>> {
        use claims::{Input, Output};
        let kind = claims::kind(pool);
        match output {
            Output::Load { call, partition } => {
                let object = self.store.get(&kind, &claims::head_name(partition));
                let object = object.map(|object| claims::Object {
                    version: object.version,
                    value: text(object.value),
                });
                let loaded = Input::Loaded { call, partition, object };
                Some(self.read(loaded, Input::Failed { call, partition }))
            }
            Output::LoadSegment { call, partition, name } => {
                let value = self.store.get(&kind, &name).map(|object| text(object.value));
                let loaded = Input::SegmentLoaded { call, partition, value };
                Some(self.read(loaded, Input::Failed { call, partition }))
            }
            Output::Store { call, partition, expect, value } => {
                let expect = expect.map_or(Expect::Absent, Expect::Version);
                let stored = |result| match result {
                    Ok(version) => Input::Stored { call, partition, version },
                    Err(Error::Conflict { .. }) => Input::Conflict { call, partition },
                    Err(_) => Input::Failed { call, partition },
                };
                let name = claims::head_name(partition);
                let failed = Input::Failed { call, partition };
                Some(self.write(&kind, &name, expect, Value::String(value), stored, failed))
            }
            Output::StoreSegment { call, partition, name, value } => {
                let stored = |result: Result<u64, Error>| match result {
                    Ok(_) => Input::SegmentStored { call, partition },
                    Err(_) => Input::Failed { call, partition },
                };
                let failed = Input::Failed { call, partition };
                Some(self.write(&kind, &name, Expect::Absent, Value::String(value), stored, failed))
            }
            Output::DeleteSegment { .. } | Output::Grant { .. } | Output::Deny { .. } => None,
        }
    }

    /// Carries out a call for a suspect.
    pub fn suspect(&mut self, output: suspect::Output) -> Option<Reply<suspect::Input>> {
        use suspect::{Input, Output};
        let kind = Kind::Suspect.as_str();
        match output {
            Output::Load(fingerprint) => {
                let object = self.store.get(kind, &suspect::row_name(fingerprint));
                let row = object.map(|object| {
                    (object.version, serde_json::from_value(object.value).unwrap_or_default())
                });
                Some(self.read(Input::Loaded(fingerprint, row), Input::Failed(fingerprint)))
            }
            Output::Store(fingerprint, version, row) => {
                let expect = version.map_or(Expect::Absent, Expect::Version);
                let value = serde_json::to_value(row).unwrap_or_default();
                let stored = |result| match result {
                    Ok(_) => Input::Stored(fingerprint),
                    Err(Error::Conflict { .. }) => Input::Conflict(fingerprint),
                    Err(_) => Input::Failed(fingerprint),
                };
                let name = suspect::row_name(fingerprint);
                Some(self.write(kind, &name, expect, value, stored, Input::Failed(fingerprint)))
            }
            Output::Verdict(..) => None,
        }
    }

    fn read<T>(&self, loaded: T, failed: T) -> Reply<T> {
        if self.down { (TIMEOUT, failed) } else { self.reply(loaded, failed) }
    }

    fn write<T>(
        &mut self,
        kind: &str,
        name: &str,
        expect: Expect,
        value: Value,
        stored: impl Fn(Result<u64, Error>) -> T,
        failed: T,
    ) -> Reply<T> {
        if self.down {
            return (TIMEOUT, failed);
        }
        self.writes += 1;
        let result = stored(self.store.put(kind, name, expect, value));
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            return (TIMEOUT, failed);
        }
        self.reply(result, failed)
    }

    /// A reply that takes too long counts as lost, although it has had its effect.
    fn reply<T>(&self, reply: T, failed: T) -> Reply<T> {
        let after = REPLY + self.slow;
        if after > TIMEOUT { (TIMEOUT, failed) } else { (after, reply) }
    }

    /// The kinds of the tables.
    pub fn kinds() -> Vec<Name> {
        Kind::ALL.into_iter().map(|kind| kind.as_str().into()).collect()
    }
}

fn text(value: Value) -> String {
    match value {
        Value::String(text) => text,
        other => other.to_string(),
    }
}
