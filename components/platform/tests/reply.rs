//! Conversion of replies to results.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use platform::{Changes, Error, Listing, Object, Reply};
use rstest::rstest;
use serde_json::{Value, json};

fn reply(status: u16, body: &str) -> Reply {
    Reply { status, retry_after: None, era: None, body: body.to_owned().into() }
}

#[rstest]
#[case::accepted(200, r#"{"version": 4}"#, Ok(4))]
#[case::garbled(200, "{", Err(Error::Unknown))]
#[case::absent(412, "null", Err(Error::Conflict { current: None }))]
#[case::garbled_conflict(412, "{", Err(Error::Malformed { status: 412 }))]
#[case::bad(400, "", Err(Error::Malformed { status: 400 }))]
#[case::large(413, "", Err(Error::TooLarge { size: 0 }))]
#[case::busy(429, "", Err(Error::Busy { retry_after: Duration::from_secs(1) }))]
#[case::server_error(500, "", Err(Error::Unknown))]
#[case::unavailable(503, "", Err(Error::Unknown))]
#[case::gateway_timeout(504, "", Err(Error::Unknown))]
fn written_status(#[case] status: u16, #[case] body: &str, #[case] result: Result<u64, Error>) {
    assert_eq!(reply(status, body).written(), result);
}

#[test]
fn written_conflict_returns_current_object() {
    let body = r#"{"name": "a", "version": 9, "value": {"out": true}}"#;
    let current = Object { name: "a".into(), version: 9, value: json!({"out": true}) };
    assert_eq!(reply(412, body).written(), Err(Error::Conflict { current: Some(current) }));
}

#[rstest]
#[case::absent(404, "", Ok(false))]
#[case::present(200, r#"{"name": "a", "version": 9, "value": 1}"#, Ok(true))]
#[case::garbled(200, "{", Err(Error::Malformed { status: 200 }))]
#[case::unavailable(503, "", Err(Error::Unreachable))]
#[case::gone(410, "", Err(Error::Gone))]
fn object_status(#[case] status: u16, #[case] body: &str, #[case] result: Result<bool, Error>) {
    assert_eq!(reply(status, body).object().map(|object| object.is_some()), result);
}

/// A value of another writer that can't be read doesn't hide the other objects.
#[rstest]
#[case::nested(format!("{}{}", "[".repeat(300), "]".repeat(300)))]
#[case::digits("9".repeat(400))]
#[case::exponent("1e99999".to_owned())]
fn read_beside_odd_value(#[case] odd: String) {
    let object = |name: &str, value: &str| {
        format!(r#"{{"name": "{name}", "kind": "zone", "version": 3, "value": {value}}}"#)
    };
    let objects = [object("a", "1"), object("b", &odd), object("c", "null")].join(",");
    let listed = reply(200, &format!(r#"{{"revision": 7, "objects": [{objects}]}}"#));
    let values: Vec<Value> =
        listed.read::<Listing>().unwrap().objects.into_iter().map(|object| object.value).collect();
    assert_eq!(values, [json!(1), Value::Null, Value::Null]);
    let watched = reply(200, &format!(r#"{{"revision": 7, "changes": [{objects}]}}"#));
    let changes = watched.read::<Changes>().unwrap().changes;
    let values: Vec<Option<Value>> = changes.into_iter().map(|change| change.value).collect();
    // Not taken for a deletion.
    assert_eq!(values, [Some(json!(1)), Some(Value::Null), None]);
}

/// A row whose version can't be read doesn't hide the others, and still exists.
#[rstest]
#[case::version(r#"{"name": "b", "kind": "zone", "version": -3, "value": 1}"#, true)]
#[case::no_value(r#"{"name": "b", "kind": "zone", "version": 3}"#, false)]
fn read_beside_odd_row(#[case] odd: &str, #[case] odd_change: bool) {
    let row = r#"{"name": "a", "kind": "zone", "version": 3, "value": 1}"#;
    let rows = [row, odd, "7", row].join(",");
    let listed = reply(200, &format!(r#"{{"revision": 7, "objects": [{rows}]}}"#));
    let objects = listed.read::<Listing>().unwrap().objects;
    let found: Vec<(&str, u64)> =
        objects.iter().map(|object| (object.name.as_str(), object.version)).collect();
    assert_eq!(found, [("a", 3), ("b", 0), ("a", 3)]);
    assert_eq!(objects[1].value, Value::Null);
    let watched = reply(200, &format!(r#"{{"revision": 7, "changes": [{rows}]}}"#));
    let changes = watched.read::<Changes>().unwrap().changes;
    // Without a value it is a deletion.
    assert_eq!(changes.len(), 3);
    assert_eq!(changes[1].value, odd_change.then_some(Value::Null));
}
