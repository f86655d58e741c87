//! Collects all faults of a JSON value with respect to a type.
//!
//! A deserializer stops at the first fault. Therefore each fault is recorded,
//! repaired in a copy of the value (an unknown field is removed, a missing or
//! wrong value is replaced by a placeholder), and the copy deserialized again.

use std::collections::HashMap;

use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::fault::{Fault, Reason};
use crate::location::{Locations, child_pointer};

/// Maximum number of deserializations per settings file.
const MAX_ATTEMPTS: usize = 2_000;

/// Prefixes of serde's built-in errors, whose positions are exact.
const EXACT_ERROR_PREFIXES: [&str; 6] = [
    "missing field `",
    "unknown field `",
    "unknown variant `",
    "invalid type: ",
    "invalid length ",
    "expected ",
];

/// The result of [`diagnose`].
pub struct Diagnosis<T> {
    /// The value, with placeholders at the faults; `None` if not all faults could
    /// be repaired.
    pub value: Option<T>,
    /// All faults found.
    pub faults: Vec<Fault>,
    /// JSON pointers of the placeholders.
    pub placeholders: Vec<String>,
}

/// Deserializes `value` and collects all faults.
pub fn diagnose<T: DeserializeOwned>(mut value: Value) -> Diagnosis<T> {
    let mut faults = Vec::new();
    let mut tried: HashMap<String, usize> = HashMap::new();
    let mut decoded = None;
    for _ in 0..MAX_ATTEMPTS {
        let text = value.to_string();
        let error = match serde_json::from_str(&text) {
            Ok(repaired) => {
                decoded = Some(repaired);
                break;
            }
            Err(error) => error,
        };
        let locations = Locations::new(&text);
        let at = locations.stop_pointer(error.column()).unwrap_or_default();
        let rejected = find_rejected::<T>(&value, at, &error);
        let fault = classify(&error, rejected.unwrap_or_else(|| at.to_owned()));
        if !tried.keys().any(|pointer| contains_pointer(pointer, &fault.pointer)) {
            faults.push(fault.clone());
        }
        if !repair(&mut value, &fault, &mut tried) {
            break;
        }
    }
    Diagnosis { value: decoded, faults, placeholders: tried.into_keys().collect() }
}

/// Whether `inner` points to the value at `outer` or to a value within it.
pub fn contains_pointer(outer: &str, inner: &str) -> bool {
    let rest = inner.strip_prefix(outer);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Finds the field or item that a custom deserializer (such as a unit adapter)
/// rejected after reading it. The position of such an error is the enclosing
/// object or the next item of the array.
fn find_rejected<T: DeserializeOwned>(
    value: &Value,
    at: &str,
    error: &serde_json::Error,
) -> Option<String> {
    let message = error_message(error);
    if EXACT_ERROR_PREFIXES.iter().any(|prefix| message.starts_with(prefix)) {
        return None;
    }
    let parent = at.rsplit_once('/').map(|(parent, _)| parent);
    let array = parent.filter(|parent| value.pointer(parent).is_some_and(Value::is_array));
    find_failing_child::<T>(value, at, &message)
        .or_else(|| find_failing_child::<T>(value, array?, &message))
}

/// Finds the field or item of the value at `at` that fails with the same error
/// when it is the only one there.
fn find_failing_child<T: DeserializeOwned>(
    value: &Value,
    at: &str,
    message: &str,
) -> Option<String> {
    let has_same_error = |only: Value| {
        let mut copy = value.clone();
        let Some(slot) = copy.pointer_mut(at) else { return false };
        *slot = only;
        let text = copy.to_string();
        let Some(other) = serde_json::from_str::<T>(&text).err() else { return false };
        // The same error after this value has another cause.
        let end = Locations::new(&text).find(at).map(|location| location.value.end);
        error_message(&other) == message && end.is_some_and(|end| other.column() <= end)
    };
    let name = match value.pointer(at)? {
        Value::Object(fields) => {
            fields.iter().find(|(name, field)| has_same_error(json!({ *name: field })))?.0.clone()
        }
        Value::Array(items) => {
            items.iter().position(|item| has_same_error(json!([item])))?.to_string()
        }
        _ => return None,
    };
    Some(child_pointer(at, &name))
}

/// The error message without its position.
fn error_message(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.rsplit_once(" at line ").map_or(text.as_str(), |(detail, _)| detail).to_owned()
}

/// Classifies an error by its message; serde does not expose the kind otherwise.
fn classify(error: &serde_json::Error, at: String) -> Fault {
    let detail = error_message(error);
    let field = detail.split('`').nth(1).unwrap_or_default().to_owned();
    if detail.starts_with("unknown field `") {
        let is_field = at.rsplit('/').next() == child_pointer("", &field).get(1..);
        let pointer = if is_field { at } else { child_pointer(&at, &field) };
        return Fault::new(pointer, Reason::Unknown { field });
    }
    if detail.starts_with("missing field `") {
        return Fault::new(child_pointer(&at, &field), Reason::Missing { field });
    }
    Fault::new(at, Reason::Shape { detail })
}

/// Repairs the value at a fault; false if no untried repair is left.
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

/// Replaces the value in `slot` by the next placeholder; false if none is left.
fn replace(slot: Option<&mut Value>, fault: &Fault, tried: &mut HashMap<String, usize>) -> bool {
    let Some(slot) = slot else { return false };
    let attempt = tried.entry(fault.pointer.clone()).or_default();
    if let Some(variant) = first_variant(&fault.reason)
        && *slot != json!(variant)
    {
        *slot = json!(variant);
        return true;
    }
    let Some(placeholder) = placeholders().into_iter().nth(*attempt) else { return false };
    *attempt += 1;
    *slot = placeholder;
    true
}

/// The first expected variant that an "unknown variant" error lists.
fn first_variant(reason: &Reason) -> Option<&str> {
    let Reason::Shape { detail } = reason else { return None };
    let (_, expected) = detail.strip_prefix("unknown variant `")?.split_once("expected")?;
    expected.split('`').nth(1)
}

/// Placeholders for the types that occur in settings, simplest first.
fn placeholders() -> [Value; 11] {
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
