//! From a file to checked settings.

use std::ops::Range;
use std::path::Path;

use miette::{LabeledSpan, NamedSource};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Error;
use crate::fault::{Check, Fault, Reason};
use crate::place::{Place, Places};
use crate::repair::{covers, search};

/// Reads and checks the settings file at `path`.
///
/// Types should carry `#[serde(deny_unknown_fields)]`, or unknown fields pass
/// unseen.
///
/// # Errors
///
/// [`Error::Read`] if there's no readable file, [`Error::Syntax`] if it isn't
/// JSON, [`Error::Faulty`] with all faults otherwise.
///
/// ```
/// use settings::{Check, Fault};
///
/// #[derive(serde::Deserialize)]
/// #[serde(deny_unknown_fields)]
/// struct Settings { port: u16 }
///
/// impl Check for Settings {
///     fn faults(&self) -> Vec<Fault> {
///         Fault::out_of_range("/port", self.port.into(), 1.0..=65535.0).into_iter().collect()
///     }
/// }
///
/// let missing = std::path::Path::new("no/such/file.json");
/// assert!(settings::load::<Settings>(missing).is_err());
/// assert_eq!(settings::parse::<Settings>("a.json", r#"{"port": 80}"#).unwrap().port, 80);
/// ```
pub fn load<T: DeserializeOwned + Check>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::Read { path: path.to_owned(), source })?;
    parse(&path.display().to_string(), &text)
}

/// Checks the settings in `text`; `name` stands for the file in diagnostics.
///
/// # Errors
///
/// As [`load`], except that nothing is read.
///
/// ```
/// # #[derive(serde::Deserialize)]
/// # struct Settings { port: u16 }
/// # impl settings::Check for Settings {
/// #     fn faults(&self) -> Vec<settings::Fault> { Vec::new() }
/// # }
/// let error = settings::parse::<Settings>("a.json", r#"{"port": "x"}"#).err().unwrap();
/// assert_eq!(error.faults()[0].pointer, "/port");
/// ```
pub fn parse<T: DeserializeOwned + Check>(name: &str, text: &str) -> Result<T, Error> {
    let value = match serde_json::from_str::<Value>(text) {
        Ok(value) => value,
        Err(cause) => return Err(syntax(name, text, cause)),
    };
    let places = Places::new(text);
    let found = search::<T>(value);
    let mut faults = repeated(&places);
    faults.extend(found.faults);
    if let Some(value) = found.value {
        let beside = |fault: &Fault| {
            let touches = |at: &String| covers(at, &fault.pointer) || covers(&fault.pointer, at);
            !found.stand_ins.iter().any(touches)
        };
        faults.extend(value.faults().into_iter().filter(beside));
        if faults.is_empty() {
            return Ok(value);
        }
    }
    Err(faulty(name, text, &places, faults))
}

fn syntax(name: &str, text: &str, cause: serde_json::Error) -> Error {
    let before = text.split_inclusive('\n').take(cause.line().saturating_sub(1));
    let line_start: usize = before.map(str::len).sum();
    let offset = (line_start + cause.column().saturating_sub(1)).min(text.len());
    let at = (offset, usize::from(offset < text.len())).into();
    let text = NamedSource::new(name, text.to_owned()).with_language("JSON");
    Error::Syntax { cause, text, at }
}

fn repeated(places: &Places) -> Vec<Fault> {
    let field = |pointer: &str| {
        let name = pointer.rsplit('/').next().unwrap_or_default();
        name.replace("~1", "/").replace("~0", "~")
    };
    let fault =
        |pointer: &String| Fault::new(pointer.clone(), Reason::Repeated { field: field(pointer) });
    places.repeated.iter().map(|(pointer, _)| fault(pointer)).collect()
}

fn faulty(name: &str, text: &str, places: &Places, faults: Vec<Fault>) -> Error {
    let mut placed: Vec<_> =
        faults.into_iter().map(|fault| (span(places, &fault), fault)).collect();
    placed.sort_by_key(|(span, _)| (span.start, span.end));
    let label = |(span, fault): &(Range<usize>, Fault)| {
        LabeledSpan::new_with_span(Some(fault.reason.to_string()), span.clone())
    };
    let labels = placed.iter().map(label).collect();
    let faults = placed.into_iter().map(|(_, fault)| fault).collect();
    let text = NamedSource::new(name, text.to_owned()).with_language("JSON");
    Error::Faulty { faults, text, labels }
}

/// The bytes to label: a key where the field itself is the fault, the opening
/// of the object that lacks a field, else the value.
fn span(places: &Places, fault: &Fault) -> Range<usize> {
    let Some(place) = places.find(&fault.pointer) else { return 0..0 };
    let Place { key, value } = place;
    match &fault.reason {
        Reason::Unknown { .. } | Reason::Repeated { .. } => key.clone().unwrap_or(value.clone()),
        Reason::Missing { .. } => value.start..value.start + 1,
        _ => value.clone(),
    }
}
