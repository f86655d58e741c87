//! Parsing and validation of settings files.

use std::ops::Range;
use std::path::Path;

use miette::{LabeledSpan, NamedSource};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::error::Error;
use crate::fault::{Check, Fault, Reason};
use crate::location::{Location, Locations};
use crate::repair::{contains_pointer, diagnose};

/// Reads and validates the settings file at `path`.
///
/// Types should have `#[serde(deny_unknown_fields)]`; otherwise, unknown fields
/// are ignored.
///
/// # Errors
///
/// [`Error::Read`] if the file cannot be read, [`Error::Syntax`] if it is not
/// valid JSON, [`Error::Faulty`] with all faults if its values are invalid.
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

/// Parses and validates the settings in `text`; `name` is the file name shown in
/// diagnostics.
///
/// # Errors
///
/// As [`load`], without [`Error::Read`].
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
        Err(cause) => return Err(syntax_error(name, text, cause)),
    };
    let locations = Locations::new(text);
    let diagnosis = diagnose::<T>(value);
    let mut faults = repeated_fields(&locations);
    faults.extend(diagnosis.faults);
    if let Some(value) = diagnosis.value {
        // Faults of placeholders are not faults of the file.
        let is_unrelated = |fault: &Fault| {
            let overlaps = |at: &String| {
                contains_pointer(at, &fault.pointer) || contains_pointer(&fault.pointer, at)
            };
            !diagnosis.placeholders.iter().any(overlaps)
        };
        faults.extend(value.faults().into_iter().filter(is_unrelated));
        if faults.is_empty() {
            return Ok(value);
        }
    }
    Err(fault_error(name, text, &locations, faults))
}

/// The faults for which `text` does not deserialize as `T`: missing and repeated
/// fields and values of the wrong type. Empty if it deserializes or is not JSON.
///
/// ```
/// let faults = settings::shape_faults::<Vec<u8>>(r#"[1, "a", -1]"#);
/// let pointers: Vec<_> = faults.iter().map(|fault| fault.pointer.as_str()).collect();
/// assert_eq!(pointers, ["/1", "/2"]);
/// ```
pub fn shape_faults<T: DeserializeOwned>(text: &str) -> Vec<Fault> {
    if serde_json::from_str::<T>(text).is_ok() {
        return Vec::new();
    }
    let Ok(value) = serde_json::from_str::<Value>(text) else { return Vec::new() };
    let mut faults = repeated_fields(&Locations::new(text));
    faults.extend(diagnose::<T>(value).faults);
    faults
}

fn syntax_error(name: &str, text: &str, cause: serde_json::Error) -> Error {
    let before = text.split_inclusive('\n').take(cause.line().saturating_sub(1));
    let line_start: usize = before.map(str::len).sum();
    let offset = (line_start + cause.column().saturating_sub(1)).min(text.len());
    let at = (offset, usize::from(offset < text.len())).into();
    let text = NamedSource::new(name, text.to_owned()).with_language("JSON");
    Error::Syntax { cause, text, at }
}

fn repeated_fields(locations: &Locations) -> Vec<Fault> {
    let field = |pointer: &str| {
        let name = pointer.rsplit('/').next().unwrap_or_default();
        name.replace("~1", "/").replace("~0", "~")
    };
    let fault =
        |pointer: &String| Fault::new(pointer.clone(), Reason::Repeated { field: field(pointer) });
    locations.repeated.iter().map(|(pointer, _)| fault(pointer)).collect()
}

fn fault_error(name: &str, text: &str, locations: &Locations, faults: Vec<Fault>) -> Error {
    let mut located: Vec<_> =
        faults.into_iter().map(|fault| (label_range(locations, &fault), fault)).collect();
    located.sort_by_key(|(range, _)| (range.start, range.end));
    let label = |(range, fault): &(Range<usize>, Fault)| {
        LabeledSpan::new_with_span(Some(fault.reason.to_string()), range.clone())
    };
    let labels = located.iter().map(label).collect();
    let faults = located.into_iter().map(|(_, fault)| fault).collect();
    let text = NamedSource::new(name, text.to_owned()).with_language("JSON");
    Error::Faulty { faults, text, labels }
}

/// The byte range to label: the key of an unknown or repeated field, the opening
/// brace of an object that lacks a field, or else the value.
fn label_range(locations: &Locations, fault: &Fault) -> Range<usize> {
    let Some(location) = locations.find(&fault.pointer) else { return 0..0 };
    let Location { key, value } = location;
    match &fault.reason {
        Reason::Unknown { .. } | Reason::Repeated { .. } => key.clone().unwrap_or(value.clone()),
        Reason::Missing { .. } => value.start..value.start + 1,
        _ => value.clone(),
    }
}
