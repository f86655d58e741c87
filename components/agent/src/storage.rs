//! Platform calls for claims and suspects.

use std::time::Duration;

use admission::suspect;
use claims::{Input, Object, Output};
use platform::{Client, Error, Expect};
use serde_json::Value;
use tables::{Kind, Name, Suspect};

/// Makes one platform call for a claim and returns the ledger's input, if any.
pub async fn claim(client: Client, pool: Name, output: Output) -> Option<Input> {
    let kind = claims::kind(&pool);
    match output {
        Output::Load { call, partition } => {
            let loaded = client.get(&kind, &claims::head_name(partition)).await;
            Some(load(call, partition, loaded))
        }
        Output::LoadSegment { call, partition, name } => {
            let loaded = client.get(&kind, &name).await;
            Some(load_segment(call, partition, loaded))
        }
        Output::Store { call, partition, expect, value } => {
            let expect = expect.map_or(Expect::Absent, Expect::Version);
            let name = claims::head_name(partition);
            let stored = client.put(&kind, &name, expect, &Value::String(value)).await;
            Some(store(call, partition, stored))
        }
        Output::StoreSegment { call, partition, name, value } => {
            let stored = client.put(&kind, &name, Expect::Absent, &Value::String(value)).await;
            Some(match stored {
                Ok(_) => Input::SegmentStored { call, partition },
                Err(error) => failed(call, partition, error),
            })
        }
        Output::DeleteSegment { name, .. } => {
            delete(&client, &kind, &name).await;
            None
        }
        Output::Grant { .. } | Output::Deny { .. } => None,
    }
}

fn load(call: u64, partition: u32, loaded: Result<Option<platform::Object>, Error>) -> Input {
    match loaded {
        Ok(object) => {
            let object =
                object.map(|object| Object { version: object.version, value: text(object.value) });
            Input::Loaded { call, partition, object }
        }
        Err(error) => failed(call, partition, error),
    }
}

fn load_segment(
    call: u64,
    partition: u32,
    loaded: Result<Option<platform::Object>, Error>,
) -> Input {
    match loaded {
        Ok(object) => {
            let value = object.map(|object| text(object.value));
            Input::SegmentLoaded { call, partition, value }
        }
        Err(error) => failed(call, partition, error),
    }
}

fn store(call: u64, partition: u32, stored: Result<u64, Error>) -> Input {
    match stored {
        Ok(version) => Input::Stored { call, partition, version },
        Err(Error::Conflict { .. }) => Input::Conflict { call, partition },
        Err(error) => failed(call, partition, error),
    }
}

fn failed(call: u64, partition: u32, error: Error) -> Input {
    match error {
        Error::Busy { retry_after, .. } => Input::Busy { call, partition, retry_after },
        _ => Input::Failed { call, partition },
    }
}

fn text(value: Value) -> String {
    match value {
        Value::String(text) => text,
        other => other.to_string(),
    }
}

/// Timeout of a deletion; after it the segment remains stored.
const DELETE_TIMEOUT: Duration = Duration::from_secs(5);

async fn delete(client: &Client, kind: &str, name: &str) {
    let deletion = async {
        let object = client.get(kind, name).await.ok().flatten()?;
        client.delete(kind, name, Expect::Version(object.version)).await.ok()
    };
    let _ = actix_rt::time::timeout(DELETE_TIMEOUT, deletion).await;
}

/// Makes one platform call for a suspect and returns the register's input, if any.
pub async fn suspect(client: Client, output: suspect::Output) -> Option<suspect::Input> {
    let kind = Kind::Suspect.as_str();
    match output {
        suspect::Output::Load(fingerprint) => {
            let loaded = client.get(kind, &suspect::row_name(fingerprint)).await;
            Some(loaded.map_or(suspect::Input::Failed(fingerprint), |object| {
                suspect::Input::Loaded(fingerprint, object.map(row))
            }))
        }
        suspect::Output::Store(fingerprint, version, row) => {
            let expect = version.map_or(Expect::Absent, Expect::Version);
            let value = serde_json::to_value(row).unwrap_or_default();
            let stored = client.put(kind, &suspect::row_name(fingerprint), expect, &value).await;
            Some(match stored {
                Ok(_) => suspect::Input::Stored(fingerprint),
                Err(Error::Conflict { .. }) => suspect::Input::Conflict(fingerprint),
                Err(_) => suspect::Input::Failed(fingerprint),
            })
        }
        suspect::Output::Verdict(..) => None,
    }
}

/// A row that can't be decoded is treated as one without evidence.
fn row(object: platform::Object) -> (u64, Suspect) {
    (object.version, serde_json::from_value(object.value).unwrap_or_default())
}
