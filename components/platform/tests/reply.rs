//! Conversion of replies to results.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use platform::{Error, Object, Reply};
use rstest::rstest;
use serde_json::json;

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
