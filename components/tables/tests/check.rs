//! Validation of a whole set of tables.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use serde_json::{Value, json};
use tables::{Body, Content, Fault, Key, Kind, check};

const HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Valid content in which one row is added or replaced.
fn content(kind: Kind, name: &str, value: Value) -> Content {
    let rows = [
        (Kind::Pool, "fit", json!({"kind": "model", "limit": 8})),
        (Kind::Pool, "bookings", json!({"kind": "service", "limit": 4})),
        (Kind::Route, "advice", route(json!({"path": "/v1/chat/completions", "model": "fit-1"}))),
        (Kind::Account, "tema", json!({"key_sha256": HASH, "weight": 1})),
        (Kind::Zone, "accra-1", json!({"out": false})),
        (kind, name, value),
    ];
    let row = |(kind, name, value): (Kind, &str, Value)| {
        (Key { kind, name: name.into() }, Body::from_value(kind, value).unwrap())
    };
    rows.into_iter().map(row).collect()
}

fn route(changes: Value) -> Value {
    let mut route = json!({"path": "/x", "pools": ["fit"], "idempotent": true, "timeout_ms": 900});
    for (field, value) in changes.as_object().unwrap() {
        route[field] = value.clone();
    }
    route
}

fn faults(content: &Content) -> Vec<Fault> {
    check(content).err().map(|error| error.faults).unwrap_or_default()
}

#[rstest]
#[case::route(Kind::Route, "r", route(json!({})))]
#[case::service_route(Kind::Route, "r", route(json!({"pools": ["bookings"]})))]
#[case::longest_name(Kind::Server, &"s".repeat(128), json!({"out": true}))]
#[case::most_partitions(Kind::Pool, "p", json!({"kind": "service", "limit": 1, "partitions": 1024}))]
fn check_accepts_valid_content(#[case] kind: Kind, #[case] name: &str, #[case] value: Value) {
    assert_eq!(faults(&content(kind, name, value)), []);
}

#[rstest]
#[case::unknown_pool(Kind::Route, "r", route(json!({"pools": ["none"]})), "pools")]
#[case::no_pool(Kind::Route, "r", route(json!({"pools": []})), "pools")]
#[case::duplicate_pool(Kind::Route, "r", route(json!({"pools": ["fit", "fit"]})), "pools")]
#[case::mixed_pools(Kind::Route, "r", route(json!({"pools": ["fit", "bookings"]})), "pools")]
#[case::model_on_service(Kind::Route, "r", route(json!({"model": "m", "pools": ["bookings"]})), "pools")]
#[case::relative_path(Kind::Route, "r", route(json!({"path": "x"})), "path")]
#[case::zero_timeout(Kind::Route, "r", route(json!({"timeout_ms": 0})), "timeout_ms")]
#[case::duplicate_match(Kind::Route, "r", route(json!({"path": "/v1/chat/completions", "model": "fit-1"})), "path")]
#[case::zero_limit(Kind::Pool, "p", json!({"kind": "model", "limit": 0}), "limit")]
#[case::zero_partitions(Kind::Pool, "p", json!({"kind": "model", "limit": 1, "partitions": 0}), "partitions")]
#[case::too_many_partitions(Kind::Pool, "p", json!({"kind": "model", "limit": 1, "partitions": 1025}), "partitions")]
#[case::zero_weight(Kind::Account, "a", json!({"key_sha256": "f".repeat(64), "weight": 0}), "weight")]
#[case::short_hash(Kind::Account, "a", json!({"key_sha256": "ff", "weight": 1}), "key_sha256")]
#[case::upper_case_hash(Kind::Account, "a", json!({"key_sha256": "F".repeat(64), "weight": 1}), "key_sha256")]
#[case::duplicate_key(Kind::Account, "u", json!({"key_sha256": HASH, "weight": 1}), "key_sha256")]
fn check_reports_fault(
    #[case] kind: Kind,
    #[case] name: &str,
    #[case] value: Value,
    #[case] field: &str,
) {
    let reported = faults(&content(kind, name, value));
    assert_eq!(reported.len(), 1, "{reported:?}");
    assert_eq!(reported[0].field(), Some(field));
    assert_eq!(reported[0].key(), Key { kind, name: name.into() });
}

#[rstest]
#[case::empty("")]
#[case::too_long(&"x".repeat(129))]
#[case::slash("a/b")]
#[case::space("a b")]
#[case::non_ascii_letter("é")]
fn check_rejects_invalid_name(#[case] name: &str) {
    let reported = faults(&content(Kind::Zone, name, json!({"out": true})));
    assert_eq!(reported, [Fault::InvalidName { kind: Kind::Zone, name: name.into() }]);
}

#[test]
fn check_rejects_too_large_value() {
    let path = format!("/{}", "x".repeat(1 << 20));
    let reported = faults(&content(Kind::Route, "r", route(json!({"path": path}))));
    assert!(matches!(reported[..], [Fault::TooLarge { .. }]));
}

#[test]
fn check_reports_all_faults_at_once() {
    let value = route(json!({"path": "x", "timeout_ms": 0, "pools": ["none", "gone"]}));
    assert_eq!(faults(&content(Kind::Route, "r", value)).len(), 4);
}

#[rstest]
#[case::unknown_field(Kind::Zone, json!({"out": true, "why": "storm"}))]
#[case::wrong_type(Kind::Zone, json!({"out": "yes"}))]
#[case::unknown_kind_of_pool(Kind::Pool, json!({"kind": "disk", "limit": 1}))]
#[case::negative_timeout(Kind::Route, route(json!({"timeout_ms": -1})))]
fn from_value_rejects(#[case] kind: Kind, #[case] value: Value) {
    assert!(Body::from_value(kind, value).is_err());
}
