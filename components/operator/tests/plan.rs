//! Planning, files of changes, reports and waiting.
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

fn sound() -> Present {
    present(vec![
        (Kind::Pool, "fit", 3, json!({"kind": "model", "limit": 8})),
        (Kind::Route, "advice", 4, route("/a", "fit")),
        (Kind::Zone, "accra-1", 5, json!({"out": false})),
    ])
}

fn route(path: &str, pool: &str) -> Value {
    json!({"path": path, "pools": [pool], "idempotent": true, "timeout_ms": 900})
}

fn wanted(kind: Kind, name: &str, value: Option<Value>) -> Desired {
    Desired { key: key(kind, name), value, expect: None }
}

#[test]
fn plan_expects_the_version_read() {
    let plan = plan(&sound(), vec![wanted(Kind::Zone, "accra-1", Some(json!({"out": true})))]);
    let changes = plan.unwrap().changes;
    assert_eq!((changes[0].expect, changes[0].since), (Expect::Version(5), 20));
}

#[test]
fn plan_new_row_expects_absence() {
    let rows = vec![wanted(Kind::Zone, "tema", Some(json!({"out": true})))];
    assert_eq!(plan(&sound(), rows).unwrap().changes[0].expect, Expect::Absent);
}

#[test]
fn plan_same_value_writes_nothing() {
    let rows = vec![wanted(Kind::Zone, "accra-1", Some(json!({"out": false})))];
    let plan = plan(&sound(), rows).unwrap();
    assert_eq!(plan.changes, []);
    assert_eq!(plan.unchanged, [(key(Kind::Zone, "accra-1"), 5)]);
}

#[test]
fn plan_same_value_at_other_version_still_asks() {
    let mut row = wanted(Kind::Zone, "accra-1", Some(json!({"out": false})));
    row.expect = Some(2);
    let plan = plan(&sound(), vec![row]).unwrap();
    assert_eq!(plan.changes[0].expect, Expect::Version(2));
}

#[test]
fn plan_pool_before_the_route_that_names_it() {
    let rows = vec![
        wanted(Kind::Route, "r", Some(route("/r", "new"))),
        wanted(Kind::Pool, "new", Some(json!({"kind": "service", "limit": 1}))),
    ];
    let kinds: Vec<Kind> =
        plan(&sound(), rows).unwrap().changes.iter().map(|change| change.key.kind).collect();
    assert_eq!(kinds, [Kind::Pool, Kind::Route]);
}

#[test]
fn plan_pool_deleted_after_its_route() {
    let rows = vec![wanted(Kind::Pool, "fit", None), wanted(Kind::Route, "advice", None)];
    let kinds: Vec<Kind> =
        plan(&sound(), rows).unwrap().changes.iter().map(|change| change.key.kind).collect();
    assert_eq!(kinds, [Kind::Route, Kind::Pool]);
}

#[test]
fn plan_deletion_of_pool_in_use_is_refused() {
    let error = plan(&sound(), vec![wanted(Kind::Pool, "fit", None)]).unwrap_err();
    let Error::Faults { faults } = error else { panic!("{error}") };
    assert!(matches!(faults[..], [Fault::UnknownPool { .. }]));
}

#[test]
fn plan_deletion_of_absent_row_is_refused() {
    let error = plan(&sound(), vec![wanted(Kind::Pool, "none", None)]).unwrap_err();
    assert!(matches!(error, Error::Absent { .. }));
    assert_eq!(error.exit_code(), 2);
}

#[test]
fn plan_zone_out_despite_fault_of_another() {
    let present = present(vec![
        (Kind::Route, "broken", 4, route("/a", "none")),
        (Kind::Zone, "accra-1", 5, json!({"out": false})),
    ]);
    let rows = vec![wanted(Kind::Zone, "accra-1", Some(json!({"out": true})))];
    assert_eq!(plan(&present, rows).unwrap().changes.len(), 1);
}

/// The text under each label of the faults in a file.
fn marks(text: &str, present: &Present) -> Vec<String> {
    let Err(Error::File(error)) = parse("a.json", text, present) else { panic!("no fault") };
    let mark =
        |label: miette::LabeledSpan| text[label.offset()..label.offset() + label.len()].to_owned();
    error.labels().unwrap().map(mark).collect()
}

#[test]
fn parse_sound_file() {
    let text = r#"{"route": {"r": {"path": "/r", "pools": ["new"], "idempotent": false, "timeout_ms": 5}},
        "pool": {"new": {"kind": "service", "limit": 2}}}"#;
    assert_eq!(parse("a.json", text, &sound()).unwrap().len(), 2);
}

#[rstest]
#[case::unknown_pool(r#"{"route": {"r": {"path": "/r", "pools": ["none"], "idempotent": true, "timeout_ms": 5}}}"#, &[r#"["none"]"#])]
#[case::unknown_field(r#"{"zone": {"a": {"out": true, "why": 1}}}"#, &[r#""why""#])]
#[case::unknown_kind(r#"{"zones": {}}"#, &[r#""zones""#])]
#[case::range(r#"{"pool": {"p": {"kind": "model", "limit": 0}}}"#, &["0"])]
#[case::name_with_slash(r#"{"zone": {"a/b": {"out": true}}}"#, &[r#"{"out": true}"#])]
#[case::clash_with_what_is_there(r#"{"route": {"r": {"path": "/a", "pools": ["fit"], "idempotent": true, "timeout_ms": 5}}}"#, &[r#""/a""#])]
#[case::pool_at_fault_counts_as_there(
    r#"{"pool": {"new": {"kind": "disk", "limit": 1}}, "route": {"r": {"path": "/r", "pools": ["new"], "idempotent": true, "timeout_ms": 5}}}"#,
    &[r#""disk""#],
)]
#[case::all_at_once(
    r#"{"zone": {"a": {"out": 3}}, "pool": {"p": {"kind": "model", "limit": 0}}, "route": {"r": {"path": "/r", "pools": ["none"], "idempotent": true, "timeout_ms": 0}}}"#,
    &["3", "0", r#"["none"]"#, "0"],
)]
fn parse_faults_with_places(#[case] text: &str, #[case] expected: &[&str]) {
    assert_eq!(marks(text, &sound()), expected);
}

#[test]
fn parse_no_json() {
    let error = parse("a.json", "{", &sound()).unwrap_err();
    assert_eq!(error.exit_code(), 2);
}

fn report(outcomes: Vec<Outcome>) -> Report {
    let rows = vec![wanted(Kind::Zone, "accra-1", Some(json!({"out": true})))];
    let change = plan(&sound(), rows).unwrap().changes.remove(0);
    let changes = outcomes.into_iter().map(|outcome| Entry::new(&change, outcome)).collect();
    Report { changes, pending: None }
}

fn theirs() -> Option<Object> {
    Some(Object { name: "accra-1".into(), version: 9, value: json!({"out": false}) })
}

#[rstest]
#[case::accepted(vec![Outcome::Accepted { version: 7, read_back: false }], 0, &["accepted", "version 7"])]
#[case::read_back(vec![Outcome::Accepted { version: 7, read_back: true }], 0, &["accepted", "reply lost"])]
#[case::unchanged(vec![Outcome::Unchanged { version: 7 }], 0, &["unchanged", "version 7"])]
#[case::conflict(vec![Outcome::Conflict { current: theirs() }], 3, &["conflict", r#"version 5: {"out":true}"#, r#"version 9: {"out":false}"#])]
#[case::conflict_deleted(vec![Outcome::Conflict { current: None }], 3, &["theirs: deleted"])]
#[case::unknown(vec![Outcome::Unknown { current: None }], 4, &["unknown", "none can be inferred"])]
#[case::unknown_changed(vec![Outcome::Unknown { current: theirs() }], 4, &["unknown", "version 9"])]
#[case::refused(vec![Outcome::Refused { error: platform::Error::Unreachable }], 1, &["refused", "nothing was written"])]
#[case::not_tried(vec![Outcome::Conflict { current: None }, Outcome::NotTried], 3, &["not tried"])]
#[case::unknown_outweighs(vec![Outcome::Conflict { current: None }, Outcome::Unknown { current: None }], 4, &[])]
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
fn wait_names_those_behind() {
    let mut wait = Wait::new(7, &["a".into(), "b".into(), "c".into()]);
    wait.take("a", Some(7));
    wait.take("b", Some(6));
    wait.take("b", None);
    wait.take("stranger", Some(1));
    assert!(!wait.is_over());
    let behind = |address: &str, revision| Process { address: address.into(), revision };
    assert_eq!(wait.pending(), [behind("b", Some(6)), behind("c", None)]);
}
