//! From what is wanted to conditional changes, all checked before any is made.

use platform::Expect;
use serde_json::Value;
use tables::{Body, Content, Fault, Key, Kind, check};

use crate::{Error, Present};

/// A row as it should be.
#[derive(Clone, Debug, PartialEq)]
pub struct Desired {
    /// The row.
    pub key: Key,
    /// Its value, or nothing if it should be deleted.
    pub value: Option<Value>,
    /// The version that it must be at, 0 for absent; without one, the version
    /// that is read when the change is planned.
    pub expect: Option<u64>,
}

/// A conditional change of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The row.
    pub key: Key,
    /// The state that it replaces.
    pub expect: Expect,
    /// The new value, or nothing to delete the row.
    pub value: Option<Value>,
    /// The revision at which the row was read: later changes count as other
    /// operators' or as this one.
    pub since: u64,
}

/// What has to be done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The changes in the order in which they are made.
    pub changes: Vec<Change>,
    /// Rows that are as wanted already, with their versions.
    pub unchanged: Vec<(Key, u64)>,
}

/// Plans the changes that bring the wanted rows about.
///
/// Refused as a whole if the tables would have a fault that they don't have
/// already: a fault that another left there must not keep an operator from
/// taking an availability zone out.
///
/// ```
/// use operator::{Present, Desired, plan};
/// use tables::{Key, Kind};
///
/// let key = Key { kind: Kind::Server, name: "bench-1".into() };
/// let value = Some(serde_json::json!({"out": true}));
/// let plan = plan(&Present::default(), vec![Desired { key, value, expect: Some(0) }]).unwrap();
/// assert_eq!(plan.changes.len(), 1);
/// ```
pub fn plan(present: &Present, wanted: Vec<Desired>) -> Result<Plan, Error> {
    let before = present.content();
    let mut after = before.clone();
    for row in &wanted {
        enter(&mut after, row)?;
    }
    let faults = new_faults(&before, &after);
    if !faults.is_empty() {
        return Err(Error::Faults { faults });
    }
    let mut plan = Plan::default();
    for row in wanted {
        add(&mut plan, present, row)?;
    }
    plan.changes.sort_by_key(|change| order(change.key.kind, change.value.is_none()));
    Ok(plan)
}

/// The faults after a change that were not there before it.
pub(crate) fn new_faults(before: &Content, after: &Content) -> Vec<Fault> {
    let faults = |content| check(content).err().map(|error| error.faults).unwrap_or_default();
    let known = faults(before);
    faults(after).into_iter().filter(|fault| !known.contains(fault)).collect()
}

fn enter(content: &mut Content, row: &Desired) -> Result<(), Error> {
    let key = row.key.clone();
    let Some(value) = &row.value else {
        content.remove(&key);
        return Ok(());
    };
    match Body::from_value(key.kind, value.clone()) {
        Ok(body) => content.insert(key, body),
        Err(source) => return Err(Error::Value { key, source }),
    };
    Ok(())
}

fn add(plan: &mut Plan, present: &Present, row: Desired) -> Result<(), Error> {
    let Desired { key, value, expect } = row;
    let current = present.rows.get(&key);
    if value.is_none() && current.is_none() {
        return Err(Error::Absent { key });
    }
    let read = Expect::of(current);
    let expect = expect.map_or(read, Expect::from_header);
    let same = current.filter(|object| expect == read && value.as_ref() == Some(&object.value));
    match same {
        Some(object) => plan.unchanged.push((key, object.version)),
        None => plan.changes.push(Change { key, expect, value, since: present.revision }),
    }
    Ok(())
}

/// Pools come before the routes that name them, and go after them.
fn order(kind: Kind, deleted: bool) -> u8 {
    match (kind, deleted) {
        (Kind::Route, false) => 1,
        (Kind::Route, true) => 2,
        (_, false) => 0,
        (_, true) => 3,
    }
}
