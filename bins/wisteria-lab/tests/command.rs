//! Exit codes and output of the `wisteria-lab` commands.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::{Command, Output};

use lab::load::{Plan, Record};
use rstest::rstest;

fn run_lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wisteria-lab")).args(arguments).output().unwrap()
}

/// Writes a settings file; each case has its own.
fn write_settings(case: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{case}.json"));
    std::fs::write(&path, text).unwrap();
    path
}

#[rstest]
#[case::platform_good("platform", r#"{"listen": "127.0.0.1:0"}"#, 0, "")]
#[case::platform_bad("platform", r#"{"listen": "here", "store": {"pages": 1}}"#, 2, "pages")]
#[case::engine_good("engine", r#"{"listen": "127.0.0.1:0", "seed": 4}"#, 0, "")]
#[case::engine_bad("engine", r#"{"capacity_cold": 0, "seeds": 4}"#, 2, "seeds")]
#[case::engine_bad_time(
    "engine",
    r#"{"restart_ms": -5, "report_lag_ms": 1e18}"#,
    2,
    "report_lag_ms"
)]
#[case::service_good("service", "{}", 0, "")]
#[case::service_bad("service", r#"{"delay_ms": "long"}"#, 2, "long")]
fn check_settings(
    #[case] command: &str,
    #[case] text: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let path = write_settings(&format!("{command}-{code}-{expected}"), text);
    let output = run_lab(&[command, "--check", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains(expected), "{output:?}");
}

/// Without `--check`, invalid settings must not start the stand-in either.
#[test]
fn engine_bad_settings_not_started() {
    let path = write_settings("engine-start", r#"{"capacity_warm": 0}"#);
    let output = run_lab(&["engine", "--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}

/// A warm engine answers the full load; a cold engine crashes under it.
#[rstest]
#[case::warm_engine(0, 0)]
#[case::cold_engine(1_000_000, 1)]
fn load_full(#[case] warm_up_tokens: u64, #[case] code: i32) {
    let settings = lab::engine::Settings {
        warm_up_tokens,
        capacity_cold: 2,
        ..lab::engine::Settings::default()
    };
    let engine = lab::engine::serve(settings).unwrap();
    let url = engine.to_url();
    let arguments = ["load", "--url", &url, "--rate", "40", "--seconds", "0.5"];
    let output =
        run_lab(&[&arguments[..], &["--booking-share", "0", "--tokens-min", "60"]].concat());
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let record: Record = serde_json::from_slice(&output.stdout).unwrap();
    let length = std::time::Duration::from_millis(500);
    let plan = Plan { rate: 40.0, length, booking_share: 0.0, ..Plan::default() };
    let count = record.line.count;
    assert_eq!(count.sent, plan.arrivals().count() as u64);
    assert_eq!((count.lost > 0, count.wrong), (code == 1, 0));
}

#[rstest]
#[case::bad_share(&["--booking-share", "2"], 2)]
#[case::connection_refused(&["--url", "http://127.0.0.1:9", "--seconds", "0.2"], 1)]
fn load_fails(#[case] arguments: &[&str], #[case] code: i32) {
    let url: &[&str] = if arguments.contains(&"--url") { &[] } else { &["--url", "http://x"] };
    let output = run_lab(&[&["load"], url, arguments].concat());
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}
