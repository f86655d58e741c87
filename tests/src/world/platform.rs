//! The simulated platform: the store of the stand-in platform, with faults in
//! simulated time.

use std::time::Duration;

use admission::suspect;
use lab::platform::{Settings, Store};
use platform::{Error, Expect};
use serde_json::Value;
use tables::{Kind, Name};

/// Reply delay without faults.
const REPLY_DELAY: Duration = Duration::from_millis(4);
/// Time after which a call without a reply fails.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The simulated platform.
pub struct Platform {
    /// The stored objects.
    pub store: Store,
    /// Whether the platform is unreachable.
    pub down: bool,
    /// Extra reply delay.
    pub extra_delay: Duration,
    /// Number of next writes whose reply is lost after the write took effect.
    pub lose_replies: u32,
    /// Extra delay until watches report a change.
    pub watch_delay: Duration,
    /// Number of writes so far.
    pub writes: u64,
}

/// A reply with its delay.
pub type Reply<T> = (Duration, T);

impl Platform {
    /// Creates a platform with the objects and hosts of the settings.
    pub fn new(settings: &Settings) -> Platform {
        Platform {
            store: Store::new(settings),
            down: false,
            extra_delay: Duration::ZERO,
            lose_replies: 0,
            watch_delay: Duration::ZERO,
            writes: 0,
        }
    }

    /// Clears all platform faults.
    pub fn clear_faults(&mut self) {
        self.down = false;
        self.extra_delay = Duration::ZERO;
        self.lose_replies = 0;
        self.watch_delay = Duration::ZERO;
    }

    /// Executes a platform call of the claim log.
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

    /// Executes a platform call of the suspect detection.
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

    /// A reply later than [`TIMEOUT`] counts as lost, although the call took effect.
    fn reply<T>(&self, reply: T, failed: T) -> Reply<T> {
        let after = REPLY_DELAY + self.extra_delay;
        if after > TIMEOUT { (TIMEOUT, failed) } else { (after, reply) }
    }

    /// All table kinds.
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
