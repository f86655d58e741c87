//! Plans conditional changes from desired rows and validates them as a whole.

use platform::Expect;
use serde_json::Value;
use tables::{Body, Content, Fault, Key, Kind, check};

use crate::{Error, Present};

/// The desired state of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Desired {
    /// The row.
    pub key: Key,
    /// The desired value; `None` to delete the row.
    pub value: Option<Value>,
    /// The version that the change requires, 0 for absent; `None` for the
    /// version read during planning.
    pub expect: Option<u64>,
}

/// A conditional change of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The row.
    pub key: Key,
    /// The state that the change replaces.
    pub expect: Expect,
    /// The new value; `None` to delete the row.
    pub value: Option<Value>,
    /// The platform revision at which the row was read. A later change of the
    /// row is either this one or another operator's.
    pub since: u64,
}

/// The changes that a command has to make.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The changes in execution order.
    pub changes: Vec<Change>,
    /// Rows that already have the desired value, with their versions.
    pub unchanged: Vec<(Key, u64)>,
}

/// Plans the changes that lead from the current to the desired rows.
///
/// The whole plan is rejected if it would introduce a fault into the tables.
/// Faults that exist already are ignored, so that they cannot block an operator
/// from taking an availability zone out.
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
pub fn plan(present: &Present, desired: Vec<Desired>) -> Result<Plan, Error> {
    let before = present.content();
    let mut after = before.clone();
    for row in &desired {
        apply_row(&mut after, row)?;
    }
    let faults = new_faults(&before, &after);
    if !faults.is_empty() {
        return Err(Error::Faults { faults });
    }
    let mut plan = Plan::default();
    for row in desired {
        plan_row(&mut plan, present, row)?;
    }
    plan.changes.sort_by_key(|change| execution_order(change.key.kind, change.value.is_none()));
    Ok(plan)
}

/// The faults in `after` that are not in `before`.
pub(crate) fn new_faults(before: &Content, after: &Content) -> Vec<Fault> {
    let faults = |content| check(content).err().map(|error| error.faults).unwrap_or_default();
    let existing = faults(before);
    faults(after).into_iter().filter(|fault| !existing.contains(fault)).collect()
}

fn apply_row(content: &mut Content, row: &Desired) -> Result<(), Error> {
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

fn plan_row(plan: &mut Plan, present: &Present, row: Desired) -> Result<(), Error> {
    let Desired { key, value, expect } = row;
    let current = present.rows.get(&key);
    if value.is_none() && current.is_none() {
        return Err(Error::Absent { key });
    }
    let current_state = Expect::of(current);
    let expect = expect.map_or(current_state, Expect::from_header);
    let already_set =
        current.filter(|object| expect == current_state && value.as_ref() == Some(&object.value));
    match already_set {
        Some(object) => plan.unchanged.push((key, object.version)),
        None => plan.changes.push(Change { key, expect, value, since: present.revision }),
    }
    Ok(())
}

/// Position in the execution order: pools are created before the routes that
/// refer to them and deleted after them.
fn execution_order(kind: Kind, deleted: bool) -> u8 {
    match (kind, deleted) {
        (Kind::Route, false) => 1,
        (Kind::Route, true) => 2,
        (_, false) => 0,
        (_, true) => 3,
    }
}
