//! The commands `bench` and `experiment`.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use lab::experiment::{Figure, Row, Settings};
use rstest::rstest;
use serde::de::DeserializeOwned;

fn run_lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wisteria-lab")).args(arguments).output().unwrap()
}

fn output_path(case: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(case)
}

fn read_lines<T: DeserializeOwned>(path: &Path) -> Vec<T> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// The sample settings named in the operators' documentation.
fn sample() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/experiment.json")
}

#[test]
fn experiment_sample_same_twice() {
    let sample = sample();
    let outputs = ["first", "second"].map(|case| {
        let out = output_path(&format!("experiment-{case}"));
        let output =
            run_lab(&["experiment", sample.to_str().unwrap(), "--out", out.to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let figures: Vec<Figure> = read_lines(&out.join("experiment.jsonl"));
        let plot = std::fs::read_to_string(out.join("flood-small_lost_percent.svg")).unwrap();
        assert!(plot.contains("fifo x5"), "{plot}");
        (output.stdout, figures, plot)
    });
    assert!(outputs[0].1.iter().any(|figure| figure.policy == "planner"));
    assert_eq!(outputs[0], outputs[1]);
}

#[rstest]
#[case::no_seed(r#"{"seeds": []}"#, "/seeds", "must not be empty")]
#[case::unknown_policy(
    r#"{"seeds": [1], "placement": {"policies": ["best"]}}"#,
    "/placement/policies/0",
    "unknown policy `best`"
)]
#[case::bad_load(
    r#"{"seeds": [1], "choice": {"policies": ["random"], "lag_ms": 1, "gaps": 0, "load": 9}}"#,
    "/choice/load",
    "9 is out of the range"
)]
#[case::bad_factor(
    r#"{"seeds": [1], "flood": {"policies": ["fair"], "factors": [0]}}"#,
    "/flood/factors/0",
    "0 is out of the range"
)]
#[case::no_factor(
    r#"{"seeds": [1], "flood": {"policies": ["fair"], "factors": []}}"#,
    "/flood/factors",
    "must not be empty"
)]
#[case::unknown_field(r#"{"seeds": [1], "floods": 1}"#, "/floods", "unknown field `floods`")]
fn experiment_check_bad(#[case] text: &str, #[case] pointer: &str, #[case] expected: &str) {
    let error = settings::parse::<Settings>("experiment.json", text).err().unwrap();
    assert_eq!(error.faults()[0].pointer, pointer);
    let path = output_path(&format!("experiment-{}.json", pointer.replace('/', "-")));
    std::fs::write(&path, text).unwrap();
    let output = run_lab(&["experiment", path.to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stderr).contains(expected), "{output:?}");
}

#[test]
fn experiment_check_good() {
    let output = run_lab(&["experiment", sample().to_str().unwrap(), "--check"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// The test runs real daemons, so it asserts only what doesn't depend on the speed
/// of the machine.
#[test]
fn bench_quick() {
    let out = output_path("bench");
    let output = run_lab(&["bench", "--quick", "--out", out.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let rows: Vec<Row> = read_lines(&out.join("bench.jsonl"));
    for study in ["placement", "flood", "zone", "overhead"] {
        assert!(rows.iter().any(|row| row.study == study), "{study}");
    }
    let safety_measures = ["lost", "doubled", "begun_while_out"];
    for row in rows.iter().filter(|row| safety_measures.contains(&row.measure.as_str())) {
        assert_eq!(row.met, Some(true), "{row:?}");
    }
    let table = String::from_utf8(output.stdout).unwrap();
    assert_eq!(table.lines().count(), rows.len() + 1);
}
