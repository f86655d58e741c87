//! Change files: `{"route": {NAME: {...}}, "pool": {...}, ...}`.

use std::collections::BTreeMap;
use std::ops::Range;

use miette::{LabeledSpan, NamedSource};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use settings::{Check, Fault, Reason};
use tables::{Account, Body, Content, Key, Kind, Name, Pool, Route, Server, Zone};

use crate::plan::new_faults;
use crate::{Desired, Error, Present};

/// The schema of a change file. Its fields are deserialized only to find faults.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Schema {
    #[serde(default)]
    route: BTreeMap<Name, Route>,
    #[serde(default)]
    pool: BTreeMap<Name, Pool>,
    #[serde(default)]
    zone: BTreeMap<Name, Zone>,
    #[serde(default)]
    server: BTreeMap<Name, Server>,
    #[serde(default)]
    account: BTreeMap<Name, Account>,
}

impl Check for Schema {
    fn faults(&self) -> Vec<Fault> {
        Vec::new()
    }
}

/// Parses a change file and validates it against the current tables.
///
/// All faults are reported at once, each with its position in the text: wrong,
/// unknown, missing and repeated fields, and faults that the rows would
/// introduce into the tables.
///
/// ```
/// let text = r#"{"route": {"fit": {"path": "/x", "pools": ["none"], "idempotent": true, "timeout_ms": 9}}}"#;
/// let error = operator::parse("a.json", text, &Default::default()).unwrap_err();
/// assert_eq!(error.exit_code(), 2);
/// ```
pub fn parse(name: &str, text: &str, present: &Present) -> Result<Vec<Desired>, Error> {
    let mut labeled = match settings::parse::<Schema>(name, text) {
        Ok(_) => Vec::new(),
        Err(settings::Error::Faulty { faults, labels, .. }) => {
            labels.into_iter().zip(faults).collect()
        }
        Err(error) => return Err(Error::File(Box::new(error))),
    };
    let desired = rows(text);
    labeled.extend(table_faults(&desired, present).into_iter().map(|fault| label(text, fault)));
    if labeled.is_empty() {
        return Ok(desired);
    }
    Err(Error::File(Box::new(file_error(name, text, labeled))))
}

/// All rows of a change file, including rows that cannot be decoded.
fn rows(text: &str) -> Vec<Desired> {
    let file: BTreeMap<String, Value> = serde_json::from_str(text).unwrap_or_default();
    let mut desired = Vec::new();
    for kind in Kind::ALL {
        let Some(Value::Object(rows)) = file.get(kind.as_str()) else { continue };
        for (name, value) in rows {
            let key = Key { kind, name: name.as_str().into() };
            desired.push(Desired { key, value: Some(value.clone()), expect: None });
        }
    }
    desired
}

/// Faults that the rows would introduce into the tables. Rows that cannot be
/// decoded are reported by the schema check; references to them count as valid.
fn table_faults(desired: &[Desired], present: &Present) -> Vec<Fault> {
    let before = present.content();
    let mut after: Content = before.clone();
    let mut undecodable = Vec::new();
    for Desired { key, value, .. } in desired {
        let value = value.clone().unwrap_or_default();
        match Body::from_value(key.kind, value) {
            Ok(body) => {
                after.insert(key.clone(), body);
            }
            Err(_) => undecodable.push(key),
        }
    }
    let is_unrelated = |fault: &tables::Fault| match fault {
        tables::Fault::UnknownPool { pool, .. } => {
            !undecodable.iter().any(|key| key.kind == Kind::Pool && key.name == *pool)
        }
        _ => true,
    };
    new_faults(&before, &after).into_iter().filter(is_unrelated).map(to_file_fault).collect()
}

fn to_file_fault(fault: tables::Fault) -> Fault {
    let key = fault.key();
    let mut pointer = format!("/{}/{}", key.kind.as_str(), escape_pointer(&key.name));
    if let Some(field) = fault.field() {
        pointer.push('/');
        pointer.push_str(field);
    }
    Fault::new(pointer, Reason::Other(std::sync::Arc::new(fault)))
}

fn escape_pointer(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

fn label(text: &str, fault: Fault) -> (LabeledSpan, Fault) {
    let range = locate(text, &fault.pointer);
    (LabeledSpan::new_with_span(Some(fault.reason.to_string()), range), fault)
}

fn file_error(name: &str, text: &str, mut labeled: Vec<(LabeledSpan, Fault)>) -> settings::Error {
    labeled.sort_by_key(|(label, _)| (label.offset(), label.len()));
    let (labels, faults) = labeled.into_iter().unzip();
    let text = NamedSource::new(name, text.to_owned()).with_language("JSON");
    settings::Error::Faulty { faults, text, labels }
}

/// The byte range of the value at a JSON pointer, or of the innermost existing
/// value that encloses it.
fn locate(text: &str, pointer: &str) -> Range<usize> {
    let mut slice = text.trim();
    for name in pointer.split('/').skip(1) {
        let name = name.replace("~1", "/").replace("~0", "~");
        let Some(inner) = field(slice, &name) else { break };
        slice = inner;
    }
    // Every slice borrows from `text`, so the address difference is its offset.
    let start = slice.as_ptr() as usize - text.as_ptr() as usize;
    start..start + slice.len()
}

fn field<'a>(slice: &'a str, name: &str) -> Option<&'a str> {
    if let Ok(index) = name.parse::<usize>()
        && let Ok(items) = serde_json::from_str::<Vec<&RawValue>>(slice)
    {
        return items.get(index).map(|item| item.get());
    }
    let fields: BTreeMap<String, &'a RawValue> = serde_json::from_str(slice).ok()?;
    fields.get(name).map(|value| value.get())
}
