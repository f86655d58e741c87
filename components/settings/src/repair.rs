//! Collects all faults of a JSON value against a type.
//!
//! A deserializer stops at the first fault. So each fault is noted, its spot in
//! a copy of the value repaired (an unknown field removed, a missing or wrong
//! value replaced by a stand-in), and the copy deserialized again.

use std::collections::HashMap;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::fault::{Fault, Reason};
use crate::place::{Places, child};

/// Attempts before the search for further faults ends.
const ATTEMPTS: usize = 2_000;

/// Beginnings of serde's own errors, whose places are right.
const PLACED: [&str; 6] = [
    "missing field `",
    "unknown field `",
    "unknown variant `",
    "invalid type: ",
    "invalid length ",
    "expected ",
];

/// The outcome of a search.
pub struct Search<T> {
    /// The value, made with stand-ins where there were faults; none if no
    /// stand-in fits somewhere.
    pub value: Option<T>,
    /// The faults found.
    pub faults: Vec<Fault>,
    /// Pointers of stand-ins.
    pub stand_ins: Vec<String>,
}

/// Deserializes `value`, collecting every fault on the way.
pub fn search<T: DeserializeOwned>(mut value: Value) -> Search<T> {
    let mut faults = Vec::new();
    let mut tried: HashMap<String, usize> = HashMap::new();
    let mut made = None;
    for _ in 0..ATTEMPTS {
        let text = value.to_string();
        let error = match serde_json::from_str(&text) {
            Ok(done) => {
                made = Some(done);
                break;
            }
            Err(error) => error,
        };
        let places = Places::new(&text);
        let at = places.stopped(error.column()).unwrap_or_default();
        let within = culprit::<T>(&value, at, &error);
        let fault = describe(&error, within.unwrap_or_else(|| at.to_owned()));
        if !tried.keys().any(|known| covers(known, &fault.pointer)) {
            faults.push(fault.clone());
        }
        if !repair(&mut value, &fault, &mut tried) {
            break;
        }
    }
    Search { value: made, faults, stand_ins: tried.into_keys().collect() }
}

/// Whether the value at `outer` is or holds the one at `inner`.
pub fn covers(outer: &str, inner: &str) -> bool {
    let rest = inner.strip_prefix(outer);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The field or item at fault when a value was refused after it was read, as
/// unit adapters do: then the error's place is the object around it, or the
/// next item of the list.
fn culprit<T: DeserializeOwned>(
    value: &Value,
    at: &str,
    error: &serde_json::Error,
) -> Option<String> {
    let refused = detail(error);
    if PLACED.iter().any(|start| refused.starts_with(start)) {
        return None;
    }
    let list = at.rsplit_once('/').map(|(parent, _)| parent);
    let list = list.filter(|parent| value.pointer(parent).is_some_and(Value::is_array));
    alone::<T>(value, at, &refused).or_else(|| alone::<T>(value, list?, &refused))
}

/// The field or item of the value at `at` that, alone in it, is refused alike.
fn alone<T: DeserializeOwned>(value: &Value, at: &str, refused: &str) -> Option<String> {
    let alike = |alone: Value| {
        let mut copy = value.clone();
        let Some(slot) = copy.pointer_mut(at) else { return false };
        *slot = alone;
        let text = copy.to_string();
        let Some(other) = serde_json::from_str::<T>(&text).err() else { return false };
        // The same error further on has another cause.
        let end = Places::new(&text).find(at).map(|place| place.value.end);
        detail(&other) == refused && end.is_some_and(|end| other.column() <= end)
    };
    let name = match value.pointer(at)? {
        Value::Object(fields) => {
            fields.iter().find(|(name, field)| alike(json!({ *name: field })))?.0.clone()
        }
        Value::Array(items) => items.iter().position(|item| alike(json!([item])))?.to_string(),
        _ => return None,
    };
    Some(child(at, &name))
}

/// What an error says, without its place.
fn detail(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.rsplit_once(" at line ").map_or(text.as_str(), |(detail, _)| detail).to_owned()
}

/// Types an error by the wording of serde, the only place that tells the kind.
fn describe(error: &serde_json::Error, at: String) -> Fault {
    let detail = detail(error);
    let field = detail.split('`').nth(1).unwrap_or_default().to_owned();
    if detail.starts_with("unknown field `") {
        let named = at.rsplit('/').next() == child("", &field).get(1..);
        let pointer = if named { at } else { child(&at, &field) };
        return Fault::new(pointer, Reason::Unknown { field });
    }
    if detail.starts_with("missing field `") {
        return Fault::new(child(&at, &field), Reason::Missing { field });
    }
    Fault::new(at, Reason::Shape { detail })
}

/// Repairs one spot; false if nothing is left to try there.
fn repair(value: &mut Value, fault: &Fault, tried: &mut HashMap<String, usize>) -> bool {
    let Some((parent, name)) = fault.pointer.rsplit_once('/') else {
        return replace(Some(value), fault, tried);
    };
    let name = name.replace("~1", "/").replace("~0", "~");
    let Some(parent) = value.pointer_mut(parent) else { return false };
    match (&fault.reason, parent) {
        (Reason::Unknown { .. }, Value::Object(fields)) => fields.remove(&name).is_some(),
        (Reason::Missing { .. }, Value::Object(fields)) => {
            let slot = fields.entry(name).or_insert(Value::Null);
            replace(Some(slot), fault, tried)
        }
        (_, Value::Object(fields)) => replace(fields.get_mut(&name), fault, tried),
        (_, Value::Array(items)) => {
            let slot = name.parse().ok().and_then(|index: usize| items.get_mut(index));
            replace(slot, fault, tried)
        }
        _ => false,
    }
}

/// Puts the next stand-in into `slot`.
fn replace(slot: Option<&mut Value>, fault: &Fault, tried: &mut HashMap<String, usize>) -> bool {
    let Some(slot) = slot else { return false };
    let turn = tried.entry(fault.pointer.clone()).or_default();
    if let Some(variant) = variant(&fault.reason)
        && *slot != json!(variant)
    {
        *slot = json!(variant);
        return true;
    }
    let Some(stand_in) = stand_ins().into_iter().nth(*turn) else { return false };
    *turn += 1;
    *slot = stand_in;
    true
}

/// The first variant that an error on an enumeration names as fitting.
fn variant(reason: &Reason) -> Option<&str> {
    let Reason::Shape { detail } = reason else { return None };
    let (_, expected) = detail.strip_prefix("unknown variant `")?.split_once("expected")?;
    expected.split('`').nth(1)
}

/// Values of all types that settings have, the plainest first.
fn stand_ins() -> [Value; 11] {
    [
        Value::Null,
        json!(0),
        json!(1),
        json!(""),
        json!("a"),
        json!("127.0.0.1"),
        json!("127.0.0.1:1"),
        json!("http://127.0.0.1"),
        json!(false),
        json!([]),
        json!({}),
    ]
}
