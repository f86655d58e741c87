//! Collection of all faults in a settings file, each with its location.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use miette::Diagnostic;
use rstest::rstest;
use serde::Deserialize;
use settings::{Check, Error, Fault, Reason, parse};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Settings {
    listen: SocketAddr,
    rate: f64,
    mode: Mode,
    pools: Vec<Pool>,
    #[allow(dead_code)]
    burst: Option<u16>,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Mode {
    Warm,
    Cold,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pool {
    name: String,
    size: u16,
    #[allow(dead_code)]
    #[serde(default, deserialize_with = "positive")]
    weight: i32,
    #[allow(dead_code)]
    #[serde(default)]
    places: Vec<Place>,
}

#[derive(Debug, Deserialize)]
struct Place(
    #[allow(dead_code)]
    #[serde(deserialize_with = "positive")]
    i32,
);

/// Rejects a value after reading it, as unit adapters do.
fn positive<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<i32, D::Error> {
    let value = i32::deserialize(deserializer)?;
    if value < 0 { Err(serde::de::Error::custom("negative")) } else { Ok(value) }
}

impl Check for Settings {
    fn faults(&self) -> Vec<Fault> {
        let rate = Fault::out_of_range("/rate", self.rate, 0.0..=1.0);
        let empty_pool = |(index, pool): (usize, &Pool)| {
            let empty = pool.name.is_empty() || pool.size == 0;
            empty.then(|| Fault::new(format!("/pools/{index}/name"), Reason::Empty))
        };
        rate.into_iter().chain(self.pools.iter().enumerate().filter_map(empty_pool)).collect()
    }
}

const VALID: &str = r#"{
  "listen": "127.0.0.1:80",
  "rate": 0.5,
  "mode": "warm",
  "pools": [{"name": "fit", "size": 3}]
}"#;

/// The pointer of each fault and the text that its label covers.
fn labeled_texts(text: &str) -> Vec<(String, String)> {
    let error = parse::<Settings>("a.json", text).unwrap_err();
    let labels: Vec<_> = error.labels().unwrap().collect();
    assert_eq!(labels.len(), error.faults().len());
    let pairs = error.faults().iter().zip(labels);
    let marked = |offset: usize, length: usize| text[offset..offset + length].to_owned();
    pairs
        .map(|(fault, label)| (fault.pointer.clone(), marked(label.offset(), label.len())))
        .collect()
}

#[test]
fn parse_valid_settings() {
    let settings = parse::<Settings>("a.json", VALID).unwrap();
    assert_eq!(settings.listen.port(), 80);
    assert_eq!(settings.mode, Mode::Warm);
    assert_eq!(settings.pools[0].size, 3);
}

#[test]
fn parse_all_faults_at_once() {
    let text = r#"{
  "listen": 7,
  "rat": 1,
  "rate": 2.5,
  "mode": "tepid",
  "burst": 70000,
  "pools": [
    {"name": "", "size": 1},
    {"nam": "b", "size": "x"},
    {"size": {"deep": [1]}},
    []
  ]
}"#;
    let found = labeled_texts(text);
    let found: Vec<_> = found.iter().map(|(at, mark)| (at.as_str(), mark.as_str())).collect();
    let expected = [
        ("/listen", "7"),
        ("/rat", "\"rat\""),
        ("/rate", "2.5"),
        ("/mode", "\"tepid\""),
        ("/burst", "70000"),
        ("/pools/0/name", "\"\""),
        ("/pools/1/name", "{"),
        ("/pools/1/nam", "\"nam\""),
        ("/pools/1/size", "\"x\""),
        ("/pools/2/name", "{"),
        ("/pools/2/size", "{\"deep\": [1]}"),
        ("/pools/3", "[]"),
    ];
    assert_eq!(found, expected);
}

#[rstest]
#[case::wrong_root("7", &[("", "7")])]
#[case::null_enumeration(
    r#"{"mode":null,"listen":"127.0.0.1:80","rate":1,"pools":[]}"#,
    &[("/mode", "null")]
)]
#[case::empty_object("{}", &[("/listen", "{"), ("/rate", "{"), ("/mode", "{"), ("/pools", "{")])]
#[case::repeated_field(
    r#"{"rate":1,"rate":0.2,"listen":"127.0.0.1:80","mode":"cold","pools":[]}"#,
    &[("/rate", "\"rate\"")]
)]
fn parse_faulty(#[case] text: &str, #[case] expected: &[(&str, &str)]) {
    let mut found = labeled_texts(text);
    let mut expected: Vec<_> =
        expected.iter().map(|(at, mark)| ((*at).to_owned(), (*mark).to_owned())).collect();
    found.sort();
    expected.sort();
    assert_eq!(found, expected);
}

#[test]
fn parse_rejected_by_custom_deserializer() {
    let text = r#"{"listen":"127.0.0.1:80","rate":0.1,"mode":"cold","pools":[
        {"name":"a","size":1,"weight":-1},
        {"name":"b","size":1,"weight":-2,"places":[4,-5,6]},
        {"name":"c","size":1,"weight":3}]}"#;
    let expected =
        [("/pools/0/weight", "-1"), ("/pools/1/weight", "-2"), ("/pools/1/places/1", "-5")];
    let found = labeled_texts(text);
    assert_eq!(found, expected.map(|(at, mark)| (at.to_owned(), mark.to_owned())));
}

/// The placeholder for a wrong value must not cause further faults.
#[test]
fn parse_no_fault_on_placeholder() {
    let text =
        r#"{"listen":"127.0.0.1:80","rate":0.1,"mode":"cold","pools":[{"name":3,"size":1}]}"#;
    assert_eq!(labeled_texts(text), [("/pools/0/name".to_owned(), "3".to_owned())]);
}

#[test]
fn parse_bad_syntax() {
    let text = "{\n  \"rate\": ?\n}";
    let error = parse::<Settings>("a.json", text).unwrap_err();
    assert!(matches!(error, Error::Syntax { .. }));
    let label = error.labels().unwrap().next().unwrap();
    assert_eq!(&text[label.offset()..label.offset() + label.len()], "?");
}

#[test]
fn load_absent_file() {
    let error = settings::load::<Settings>("no/such/file.json".as_ref()).unwrap_err();
    assert!(matches!(error, Error::Read { .. }));
}
