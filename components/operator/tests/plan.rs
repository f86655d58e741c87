//! Planning, change files, reports and tracking of processes.
#![allow(clippy::unwrap_used)]

use miette::Diagnostic;
use operator::{Desired, Entry, Error, Outcome, Present, Process, Report, Wait, parse, plan};
use platform::{Expect, Listing, Object};
use rstest::rstest;
use serde_json::{Value, json};
use tables::{Fault, Key, Kind};

fn key(kind: Kind, name: &str) -> Key {
    Key { kind, name: name.into() }
}

fn present(rows: Vec<(Kind, &str, u64, Value)>) -> Present {
    let listing = |(kind, name, version, value): (Kind, &str, u64, Value)| {
        let object = Object { name: name.into(), version, value };
        (kind, Listing { revision: 20, objects: vec![object], more: false })
    };
    Present::new(rows.into_iter().map(listing).collect(), vec![])
}

fn valid_tables() -> Present {
    present(vec![
        (Kind::Pool, "fit", 3, json!({"kind": "model", "limit": 8})),
        (Kind::Route, "advice", 4, route("/a", "fit")),
        (Kind::Zone, "accra-1", 5, json!({"out": false})),
    ])
}

fn route(path: &str, pool: &str) -> Value {
    json!({"path": path, "pools": [pool], "idempotent": true, "timeout_ms": 900})
}

fn desired(kind: Kind, name: &str, value: Option<Value>) -> Desired {
    Desired { key: key(kind, name), value, expect: None }
}

#[test]
fn plan_expects_the_version_read() {
    let plan =
        plan(&valid_tables(), vec![desired(Kind::Zone, "accra-1", Some(json!({"out": true})))]);
    let changes = plan.unwrap().changes;
    assert_eq!((changes[0].expect, changes[0].since), (Expect::Version(5), 20));
}

#[test]
fn plan_new_row_expects_absence() {
    let rows = vec![desired(Kind::Zone, "tema", Some(json!({"out": true})))];
    assert_eq!(plan(&valid_tables(), rows).unwrap().changes[0].expect, Expect::Absent);
}

#[test]
fn plan_same_value_writes_nothing() {
    let rows = vec![desired(Kind::Zone, "accra-1", Some(json!({"out": false})))];
    let plan = plan(&valid_tables(), rows).unwrap();
    assert_eq!(plan.changes, []);
    assert_eq!(plan.unchanged, [(key(Kind::Zone, "accra-1"), 5)]);
}

#[test]
fn plan_same_value_at_other_version_is_still_written() {
    let mut row = desired(Kind::Zone, "accra-1", Some(json!({"out": false})));
    row.expect = Some(2);
    let plan = plan(&valid_tables(), vec![row]).unwrap();
    assert_eq!(plan.changes[0].expect, Expect::Version(2));
}

#[test]
fn plan_pool_before_the_route_that_names_it() {
    let rows = vec![
        desired(Kind::Route, "r", Some(route("/r", "new"))),
        desired(Kind::Pool, "new", Some(json!({"kind": "service", "limit": 1}))),
    ];
    let kinds: Vec<Kind> =
        plan(&valid_tables(), rows).unwrap().changes.iter().map(|change| change.key.kind).collect();
    assert_eq!(kinds, [Kind::Pool, Kind::Route]);
}

#[test]
fn plan_pool_deleted_after_its_route() {
    let rows = vec![desired(Kind::Pool, "fit", None), desired(Kind::Route, "advice", None)];
    let kinds: Vec<Kind> =
        plan(&valid_tables(), rows).unwrap().changes.iter().map(|change| change.key.kind).collect();
    assert_eq!(kinds, [Kind::Route, Kind::Pool]);
}

#[test]
fn plan_deletion_of_pool_in_use_is_refused() {
    let error = plan(&valid_tables(), vec![desired(Kind::Pool, "fit", None)]).unwrap_err();
    let Error::Faults { faults } = error else { panic!("{error}") };
    assert!(matches!(faults[..], [Fault::UnknownPool { .. }]));
}

#[test]
fn plan_deletion_of_absent_row_is_refused() {
    let error = plan(&valid_tables(), vec![desired(Kind::Pool, "none", None)]).unwrap_err();
    assert!(matches!(error, Error::Absent { .. }));
    assert_eq!(error.exit_code(), 2);
}

#[test]
fn plan_zone_out_despite_existing_fault() {
    let present = present(vec![
        (Kind::Route, "broken", 4, route("/a", "none")),
        (Kind::Zone, "accra-1", 5, json!({"out": false})),
    ]);
    let rows = vec![desired(Kind::Zone, "accra-1", Some(json!({"out": true})))];
    assert_eq!(plan(&present, rows).unwrap().changes.len(), 1);
}

/// The text that each fault label covers.
fn labeled_texts(text: &str, present: &Present) -> Vec<String> {
    let Err(Error::File(error)) = parse("a.json", text, present) else { panic!("no fault") };
    let mark =
        |label: miette::LabeledSpan| text[label.offset()..label.offset() + label.len()].to_owned();
    error.labels().unwrap().map(mark).collect()
}

#[test]
fn parse_valid_file() {
    let text = r#"{"route": {"r": {"path": "/r", "pools": ["new"], "idempotent": false, "timeout_ms": 5}},
        "pool": {"new": {"kind": "service", "limit": 2}}}"#;
    assert_eq!(parse("a.json", text, &valid_tables()).unwrap().len(), 2);
}

#[rstest]
#[case::unknown_pool(r#"{"route": {"r": {"path": "/r", "pools": ["none"], "idempotent": true, "timeout_ms": 5}}}"#, &[r#"["none"]"#])]
#[case::unknown_field(r#"{"zone": {"a": {"out": true, "why": 1}}}"#, &[r#""why""#])]
#[case::unknown_kind(r#"{"zones": {}}"#, &[r#""zones""#])]
#[case::range(r#"{"pool": {"p": {"kind": "model", "limit": 0}}}"#, &["0"])]
#[case::name_with_slash(r#"{"zone": {"a/b": {"out": true}}}"#, &[r#"{"out": true}"#])]
#[case::path_of_existing_route(r#"{"route": {"r": {"path": "/a", "pools": ["fit"], "idempotent": true, "timeout_ms": 5}}}"#, &[r#""/a""#])]
#[case::undecodable_pool_counts_as_existing(
    r#"{"pool": {"new": {"kind": "disk", "limit": 1}}, "route": {"r": {"path": "/r", "pools": ["new"], "idempotent": true, "timeout_ms": 5}}}"#,
    &[r#""disk""#],
)]
#[case::all_at_once(
    r#"{"zone": {"a": {"out": 3}}, "pool": {"p": {"kind": "model", "limit": 0}}, "route": {"r": {"path": "/r", "pools": ["none"], "idempotent": true, "timeout_ms": 0}}}"#,
    &["3", "0", r#"["none"]"#, "0"],
)]
fn parse_faults_with_positions(#[case] text: &str, #[case] expected: &[&str]) {
    assert_eq!(labeled_texts(text, &valid_tables()), expected);
}

#[test]
fn parse_invalid_json() {
    let error = parse("a.json", "{", &valid_tables()).unwrap_err();
    assert_eq!(error.exit_code(), 2);
}

fn report(outcomes: Vec<Outcome>) -> Report {
    let rows = vec![desired(Kind::Zone, "accra-1", Some(json!({"out": true})))];
    let change = plan(&valid_tables(), rows).unwrap().changes.remove(0);
    let changes = outcomes.into_iter().map(|outcome| Entry::new(&change, outcome)).collect();
    Report { changes, pending: None }
}

fn other_value() -> Option<Object> {
    Some(Object { name: "accra-1".into(), version: 9, value: json!({"out": false}) })
}

#[rstest]
#[case::accepted(vec![Outcome::Accepted { version: 7, read_back: false }], 0, &["accepted", "version 7"])]
#[case::read_back(vec![Outcome::Accepted { version: 7, read_back: true }], 0, &["accepted", "reply lost"])]
#[case::unchanged(vec![Outcome::Unchanged { version: 7 }], 0, &["unchanged", "version 7"])]
#[case::conflict(vec![Outcome::Conflict { current: other_value() }], 3, &["conflict", r#"version 5: {"out":true}"#, r#"version 9: {"out":false}"#])]
#[case::conflict_deleted(vec![Outcome::Conflict { current: None }], 3, &["theirs: deleted"])]
#[case::unknown(vec![Outcome::Unknown { current: None }], 4, &["unknown", "outcome cannot be determined"])]
#[case::unknown_changed(vec![Outcome::Unknown { current: other_value() }], 4, &["unknown", "version 9"])]
#[case::refused(vec![Outcome::Refused { error: platform::Error::Unreachable }], 1, &["refused", "nothing was written"])]
#[case::not_tried(vec![Outcome::Conflict { current: None }, Outcome::NotTried], 3, &["not tried"])]
#[case::unknown_before_conflict(vec![Outcome::Conflict { current: None }, Outcome::Unknown { current: None }], 4, &[])]
fn report_text_and_exit_code(
    #[case] outcomes: Vec<Outcome>,
    #[case] code: i32,
    #[case] texts: &[&str],
) {
    let report = report(outcomes);
    assert_eq!(report.exit_code(), code);
    for text in texts {
        assert!(report.to_string().contains(text), "{report}");
    }
    assert!(serde_json::to_value(&report).unwrap()["changes"][0]["outcome"].is_string());
}

#[test]
fn report_not_in_force_in_time() {
    let mut report = report(vec![Outcome::Accepted { version: 7, read_back: false }]);
    report.pending = Some(vec![Process { address: "127.0.0.1:9".into(), revision: Some(6) }]);
    assert_eq!(report.exit_code(), 5);
    assert!(report.to_string().contains("127.0.0.1:9 is at revision 6"));
    report.pending = Some(vec![]);
    assert_eq!(report.exit_code(), 0);
}

#[test]
fn wait_lists_lagging_processes() {
    let mut wait = Wait::new(7, &["a".into(), "b".into(), "c".into()]);
    wait.observe("a", Some(7));
    wait.observe("b", Some(6));
    wait.observe("b", None);
    wait.observe("stranger", Some(1));
    assert!(!wait.is_complete());
    let lagging = |address: &str, revision| Process { address: address.into(), revision };
    assert_eq!(wait.pending(), [lagging("b", Some(6)), lagging("c", None)]);
}
