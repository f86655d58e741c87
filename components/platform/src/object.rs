//! Objects, listings and changes in the platform's JSON format.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use tables::{Host, Name};

/// Maximum size of an object's value, in bytes of its JSON text.
pub const VALUE_LIMIT: usize = 1 << 20;

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The name, unique within its kind.
    pub name: Name,
    /// The platform's revision at the last change; revisions are never reused.
    pub version: u64,
    /// The value; null if it can't be read.
    #[serde(deserialize_with = "readable_value")]
    pub value: Value,
}

/// Reads a value of which other writers decide. One that is nested too deeply or has
/// numbers out of range counts as null, so that it doesn't hide the other objects.
fn readable_value<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
    let raw = Box::<RawValue>::deserialize(deserializer)?;
    Ok(to_value(&raw))
}

/// As [`readable_value`]; a value that is absent stays so.
fn readable_change<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Value>, D::Error> {
    let raw = Option::<Box<RawValue>>::deserialize(deserializer)?;
    Ok(raw.map(|raw| to_value(&raw)))
}

fn to_value(raw: &RawValue) -> Value {
    serde_json::from_str(raw.get()).unwrap_or_default()
}

/// Reads rows one by one, so that one that can't be read doesn't hide the others. Of such a
/// row, the name is kept with a null value; a row without a readable name is left out.
fn readable_rows<'de, D, T, N>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + From<N>,
    N: DeserializeOwned,
{
    let rows = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let read = |row: &str| {
        let whole = serde_json::from_str(row).ok();
        whole.or_else(|| serde_json::from_str::<N>(row).ok().map(T::from))
    };
    Ok(rows.iter().filter_map(|row| read(row.get())).collect())
}

/// What identifies an object of which nothing else can be read.
#[derive(Deserialize)]
struct ObjectName {
    name: Name,
}

impl From<ObjectName> for Object {
    fn from(ObjectName { name }: ObjectName) -> Object {
        Object { name, version: 0, value: Value::Null }
    }
}

/// As [`ObjectName`], for a change.
#[derive(Deserialize)]
struct ChangeName {
    kind: Name,
    name: Name,
}

impl From<ChangeName> for Change {
    fn from(ChangeName { kind, name }: ChangeName) -> Change {
        Change { kind, name, version: 0, value: Some(Value::Null) }
    }
}

/// Precondition of a write: the expected state of the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(u64),
}

impl Expect {
    /// Returns the value for the `If-Match` header: the version, 0 for absent.
    ///
    /// ```
    /// assert_eq!(platform::Expect::Version(7).as_header(), 7);
    /// assert_eq!(platform::Expect::Absent.as_header(), 0);
    /// ```
    pub fn as_header(self) -> u64 {
        match self {
            Expect::Absent => 0,
            Expect::Version(version) => version,
        }
    }

    /// Converts from the value of an `If-Match` header; 0 means absent.
    ///
    /// ```
    /// assert_eq!(platform::Expect::from_header(0), platform::Expect::Absent);
    /// ```
    pub fn from_header(version: u64) -> Expect {
        match version {
            0 => Expect::Absent,
            version => Expect::Version(version),
        }
    }

    /// The precondition for a write that replaces `object`.
    ///
    /// ```
    /// assert_eq!(platform::Expect::of(None), platform::Expect::Absent);
    /// ```
    pub fn of(object: Option<&Object>) -> Expect {
        object.map_or(Expect::Absent, |object| Expect::Version(object.version))
    }
}

/// The reply to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The revision of the write.
    pub version: u64,
}

/// Objects of one kind, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision at which the listing began; a watch continues from it.
    pub revision: u64,
    /// The objects. One that can't be read has version 0 and a null value.
    #[serde(deserialize_with = "readable_rows::<_, _, ObjectName>")]
    pub objects: Vec<Object>,
    /// Whether there are more objects, on the next page.
    #[serde(default)]
    pub more: bool,
}

/// The most recent change of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The kind of the object.
    pub kind: Name,
    /// The name of the object.
    pub name: Name,
    /// The revision of the change.
    pub version: u64,
    /// The value; `None` if the object was deleted, null if it can't be read.
    #[serde(default, deserialize_with = "readable_change")]
    pub value: Option<Value>,
}

/// Changes of objects after a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision up to which the changes are complete.
    pub revision: u64,
    /// The changes, sorted by version. One that can't be read has version 0 and a null value.
    #[serde(deserialize_with = "readable_rows::<_, _, ChangeName>")]
    pub changes: Vec<Change>,
}

/// The host list, or a delta of it. It lags behind the actual state of the hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// The revision of the list's last change.
    pub revision: u64,
    /// The revision that the delta starts from; 0 for the whole list.
    #[serde(default)]
    pub since: u64,
    /// All hosts or, in a delta, the changed ones, sorted by name.
    pub hosts: Vec<Host>,
    /// Names of the hosts that were removed since then.
    #[serde(default)]
    pub gone: Vec<Name>,
}

impl Hosts {
    /// Applies the list or delta to `known`, the hosts at `revision`. Returns
    /// false and changes nothing if the delta starts after `revision`.
    ///
    /// ```
    /// let mut known = Default::default();
    /// let hosts = platform::Hosts { since: 5, ..Default::default() };
    /// assert!(!hosts.clone().apply(4, &mut known));
    /// assert!(hosts.apply(5, &mut known));
    /// ```
    pub fn apply(self, revision: u64, known: &mut BTreeMap<Name, Host>) -> bool {
        if self.since == 0 {
            known.clear();
        } else if self.since > revision {
            return false;
        }
        for name in self.gone {
            known.remove(&name);
        }
        known.extend(self.hosts.into_iter().map(|host| (host.name.clone(), host)));
        true
    }
}
