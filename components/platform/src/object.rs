//! Objects, listings and changes, as the platform's JSON shows them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tables::{Host, Name};

/// Largest value of an object, in bytes of its JSON text.
pub const VALUE_LIMIT: usize = 1 << 20;

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// The name, unique within its kind.
    pub name: Name,
    /// The platform's revision at the last change, never used twice.
    pub version: u64,
    /// The value.
    pub value: Value,
}

/// The state that a write expects of the object it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(u64),
}

impl Expect {
    /// The value of the `If-Match` header: the version, 0 for absent.
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

    /// Reads the value of an `If-Match` header.
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

    /// What a write over `object` has to expect.
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

/// Objects of one kind, in order of their names.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision at which the listing began: a watch goes on from there.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
    /// Whether more objects follow the last one.
    #[serde(default)]
    pub more: bool,
}

/// The last change of an object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The kind of the object.
    pub kind: Name,
    /// The name of the object.
    pub name: Name,
    /// The revision of the change.
    pub version: u64,
    /// The value, or nothing once the object is deleted.
    pub value: Option<Value>,
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// The revision up to which the changes are complete.
    pub revision: u64,
    /// The changes, in order of their versions.
    pub changes: Vec<Change>,
}

/// The host list, or what changed in it. It lags behind reality.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    /// The revision of the list's last change.
    pub revision: u64,
    /// The revision after which these are the changes; 0 for the whole list.
    #[serde(default)]
    pub since: u64,
    /// The hosts in order of their names, or those that changed.
    pub hosts: Vec<Host>,
    /// Names of the hosts that are gone since then.
    #[serde(default)]
    pub gone: Vec<Name>,
}

impl Hosts {
    /// Takes the reply into what was known at `revision`. Returns whether it
    /// fits there; if not, nothing is changed.
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
