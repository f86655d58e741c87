//! Objects and hosts in memory, with versions and a bounded history.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;

use platform::{Change, Changes, Error, Expect, Hosts, Listing, Object, VALUE_LIMIT};
use serde_json::Value;
use tables::{Host, Name};

use super::Settings;

/// The history no longer reaches back to the revision asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("changes since {since} are no longer kept")]
pub struct Gone {
    /// The revision asked for.
    pub since: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    kind: Name,
    name: Name,
}

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Value,
}

/// The platform's state.
///
/// ```
/// use platform::Expect;
///
/// let mut store = lab::platform::Store::new(&Default::default());
/// let version = store.put("zone", "accra-1", Expect::Absent, true.into()).unwrap();
/// assert!(store.put("zone", "accra-1", Expect::Absent, false.into()).is_err());
/// assert!(store.delete("zone", "accra-1", Expect::Version(version)).unwrap() > version);
/// ```
#[derive(Debug)]
pub struct Store {
    revision: u64,
    objects: BTreeMap<Key, Entry>,
    history: VecDeque<Change>,
    history_limit: usize,
    forgotten: u64,
    page: usize,
    hosts: BTreeMap<Name, (u64, Host)>,
    hosts_revision: u64,
    hosts_gone: VecDeque<(u64, Name)>,
    hosts_forgotten: u64,
}

impl Store {
    /// A store with the objects and hosts of the settings.
    pub fn new(settings: &Settings) -> Store {
        let mut store = Store {
            revision: 0,
            objects: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit: settings.history.max(1),
            forgotten: 0,
            page: settings.page.max(1),
            hosts: BTreeMap::new(),
            hosts_revision: 0,
            hosts_gone: VecDeque::new(),
            hosts_forgotten: 0,
        };
        for (kind, objects) in &settings.objects {
            for (name, value) in objects {
                let key = Key { kind: kind.clone(), name: name.clone() };
                store.set(key, value.clone());
            }
        }
        for host in &settings.hosts {
            store.put_host(host.clone());
        }
        store
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let key = Key { kind: kind.into(), name: name.into() };
        self.objects.get(&key).map(|entry| object(&key, entry))
    }

    /// Lists a page of a kind's objects, those after a name if one is given.
    pub fn list(&self, kind: &str, after: Option<&str>) -> Listing {
        let first = Key { kind: kind.into(), name: after.unwrap_or_default().into() };
        let from = match after {
            Some(_) => Bound::Excluded(first),
            None => Bound::Included(first),
        };
        let mut rest = self
            .objects
            .range((from, Bound::Unbounded))
            .take_while(|(key, _)| key.kind == kind)
            .map(|(key, entry)| object(key, entry));
        let objects: Vec<Object> = rest.by_ref().take(self.page).collect();
        Listing { revision: self.revision, objects, more: rest.next().is_some() }
    }

    /// Writes an object if it is as expected.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expect: Expect,
        value: Value,
    ) -> Result<u64, Error> {
        let size = value.to_string().len();
        if size > VALUE_LIMIT {
            return Err(Error::TooLarge { size });
        }
        self.check(kind, name, expect)?;
        Ok(self.set(Key { kind: kind.into(), name: name.into() }, value))
    }

    /// Deletes an object if it is as expected.
    pub fn delete(&mut self, kind: &str, name: &str, expect: Expect) -> Result<u64, Error> {
        self.check(kind, name, expect)?;
        let key = Key { kind: kind.into(), name: name.into() };
        if self.objects.remove(&key).is_none() {
            return Err(Error::Conflict { current: None });
        }
        Ok(self.record(key, None))
    }

    /// The last change of each object of `kinds` after the revision `since`.
    pub fn changes(&self, kinds: &[Name], since: u64) -> Result<Changes, Gone> {
        if since < self.forgotten || since > self.revision {
            return Err(Gone { since });
        }
        let start = self.history.partition_point(|change| change.version <= since);
        let mut last = BTreeMap::new();
        for change in self.history.range(start..) {
            if kinds.contains(&change.kind) {
                last.insert((&change.kind, &change.name), change);
            }
        }
        let mut changes: Vec<Change> = last.into_values().cloned().collect();
        changes.sort_by_key(|change| change.version);
        Ok(Changes { revision: self.revision, changes })
    }

    /// The host list.
    pub fn hosts(&self) -> Hosts {
        let hosts = self.hosts.values().map(|(_, host)| host.clone()).collect();
        Hosts { revision: self.hosts_revision, hosts, ..Hosts::default() }
    }

    /// The changes of the host list after a revision; the whole list if they
    /// are no longer kept.
    pub fn host_changes(&self, since: u64) -> Hosts {
        if since == 0 || since < self.hosts_forgotten || since > self.revision {
            return self.hosts();
        }
        let changed = self.hosts.values().filter(|(version, _)| *version > since);
        let gone = self.hosts_gone.iter().filter(|(version, _)| *version > since);
        Hosts {
            revision: self.hosts_revision,
            since,
            hosts: changed.map(|(_, host)| host.clone()).collect(),
            gone: gone.map(|(_, name)| name.clone()).collect(),
        }
    }

    /// Enters a host into the list, or changes it.
    pub fn put_host(&mut self, host: Host) -> u64 {
        let version = self.touch_hosts();
        self.hosts.insert(host.name.clone(), (version, host));
        version
    }

    /// Removes a host from the list, if it is there.
    pub fn delete_host(&mut self, name: &str) -> u64 {
        let Some((_, host)) = self.hosts.remove(name) else { return self.hosts_revision };
        let version = self.touch_hosts();
        self.hosts_gone.push_back((version, host.name));
        if self.hosts_gone.len() > self.history_limit
            && let Some((oldest, _)) = self.hosts_gone.pop_front()
        {
            self.hosts_forgotten = oldest;
        }
        version
    }

    fn touch_hosts(&mut self) -> u64 {
        self.revision += 1;
        self.hosts_revision = self.revision;
        self.revision
    }

    fn check(&self, kind: &str, name: &str, expect: Expect) -> Result<(), Error> {
        let current = self.get(kind, name);
        if Expect::of(current.as_ref()) == expect {
            Ok(())
        } else {
            Err(Error::Conflict { current })
        }
    }

    fn set(&mut self, key: Key, value: Value) -> u64 {
        let version = self.record(key.clone(), Some(value.clone()));
        self.objects.insert(key, Entry { version, value });
        version
    }

    fn record(&mut self, key: Key, value: Option<Value>) -> u64 {
        self.revision += 1;
        let Key { kind, name } = key;
        self.history.push_back(Change { kind, name, version: self.revision, value });
        if self.history.len() > self.history_limit
            && let Some(oldest) = self.history.pop_front()
        {
            self.forgotten = oldest.version;
        }
        self.revision
    }
}

fn object(key: &Key, entry: &Entry) -> Object {
    Object { name: key.name.clone(), version: entry.version, value: entry.value.clone() }
}
