//! Files of changes: `{"route": {NAME: {...}}, "pool": {...}, ...}`.

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

/// The shape of a file; the fields are read for their faults alone.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Shape {
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

impl Check for Shape {
    fn faults(&self) -> Vec<Fault> {
        Vec::new()
    }
}

/// Reads a file of changes and checks it against what is there.
///
/// All faults are reported at once, each with its place: wrong, unknown,
/// missing and repeated fields, and what the tables would lack.
///
/// ```
/// let text = r#"{"route": {"fit": {"path": "/x", "pools": ["none"], "idempotent": true, "timeout_ms": 9}}}"#;
/// let error = operator::parse("a.json", text, &Default::default()).unwrap_err();
/// assert_eq!(error.exit_code(), 2);
/// ```
pub fn parse(name: &str, text: &str, present: &Present) -> Result<Vec<Desired>, Error> {
    let mut placed = match settings::parse::<Shape>(name, text) {
        Ok(_) => Vec::new(),
        Err(settings::Error::Faulty { faults, labels, .. }) => {
            labels.into_iter().zip(faults).collect()
        }
        Err(error) => return Err(Error::File(Box::new(error))),
    };
    let wanted = rows(text);
    placed.extend(table_faults(&wanted, present).into_iter().map(|fault| label(text, fault)));
    if placed.is_empty() {
        return Ok(wanted);
    }
    Err(Error::File(Box::new(faulty(name, text, placed))))
}

/// The rows of a text, whether or not they can be decoded.
fn rows(text: &str) -> Vec<Desired> {
    let file: BTreeMap<String, Value> = serde_json::from_str(text).unwrap_or_default();
    let mut wanted = Vec::new();
    for kind in Kind::ALL {
        let Some(Value::Object(rows)) = file.get(kind.as_str()) else { continue };
        for (name, value) in rows {
            let key = Key { kind, name: name.as_str().into() };
            wanted.push(Desired { key, value: Some(value.clone()), expect: None });
        }
    }
    wanted
}

/// Faults of the tables with the rows in them. Rows that can't be decoded have
/// their own faults; here they count as there.
fn table_faults(wanted: &[Desired], present: &Present) -> Vec<Fault> {
    let before = present.content();
    let mut after: Content = before.clone();
    let mut broken = Vec::new();
    for Desired { key, value, .. } in wanted {
        let value = value.clone().unwrap_or_default();
        match Body::from_value(key.kind, value) {
            Ok(body) => {
                after.insert(key.clone(), body);
            }
            Err(_) => broken.push(key),
        }
    }
    let founded = |fault: &tables::Fault| match fault {
        tables::Fault::UnknownPool { pool, .. } => {
            !broken.iter().any(|key| key.kind == Kind::Pool && key.name == *pool)
        }
        _ => true,
    };
    new_faults(&before, &after).into_iter().filter(founded).map(place).collect()
}

fn place(fault: tables::Fault) -> Fault {
    let key = fault.key();
    let mut pointer = format!("/{}/{}", key.kind.as_str(), escape(&key.name));
    if let Some(field) = fault.field() {
        pointer.push('/');
        pointer.push_str(field);
    }
    Fault::new(pointer, Reason::Other(std::sync::Arc::new(fault)))
}

fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

fn label(text: &str, fault: Fault) -> (LabeledSpan, Fault) {
    let range = locate(text, &fault.pointer);
    (LabeledSpan::new_with_span(Some(fault.reason.to_string()), range), fault)
}

fn faulty(name: &str, text: &str, mut placed: Vec<(LabeledSpan, Fault)>) -> settings::Error {
    placed.sort_by_key(|(label, _)| (label.offset(), label.len()));
    let (labels, faults) = placed.into_iter().unzip();
    let text = NamedSource::new(name, text.to_owned()).with_language("JSON");
    settings::Error::Faulty { faults, text, labels }
}

/// The bytes of the value at a JSON pointer, or of the nearest one around it.
fn locate(text: &str, pointer: &str) -> Range<usize> {
    let mut slice = text.trim();
    for name in pointer.split('/').skip(1) {
        let name = name.replace("~1", "/").replace("~0", "~");
        let Some(inner) = field(slice, &name) else { break };
        slice = inner;
    }
    // Each slice is borrowed from the text, so the distance is its offset.
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
