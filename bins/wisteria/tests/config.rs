//! `wisteria config check` as a real process: exit codes, JSON output, places in the
//! text, masked keys, and input that is no configuration.
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::{Value, json};

fn data(name: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    root.join("../../platform/tests/data").join(name).display().to_string()
}

/// Writes a file for one test, to be deleted by it.
fn file(name: &str, bytes: &[u8]) -> String {
    let name = format!("wisteria-config-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, bytes).unwrap();
    path.display().to_string()
}

fn check(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wisteria"));
    // Without a settings file there.
    command.current_dir(std::env::temp_dir());
    command.args(["config", "check"]).args(arguments).output().unwrap()
}

fn code(arguments: &[&str]) -> i32 {
    check(arguments).status.code().unwrap()
}

fn json_output(arguments: &[&str]) -> Value {
    let output = check(&[arguments, &["--format", "json"]].concat());
    assert!(output.stderr.is_empty(), "{output:?}");
    serde_json::from_slice(&output.stdout).unwrap()
}

/// A pipeline that writes the configuration relies on the exit code alone.
#[test]
fn check_exit_codes() {
    let (sound, next) = (data("sound.json"), data("next.json"));
    let (doubtful, faulty) = (data("doubtful.json"), data("faulty.json"));
    assert_eq!(code(&[&sound]), 0);
    assert_eq!(code(&[&sound, "--strict"]), 0);
    assert_eq!(code(&[&doubtful]), 0);
    assert_eq!(code(&[&doubtful, "--strict"]), 1);
    assert_eq!(code(&[&faulty]), 2);
    assert_eq!(code(&[&faulty, "--strict", "--format", "json"]), 2);
    assert_eq!(code(&[&next, "--against", &sound, "--strict"]), 0);
    assert_eq!(code(&[&sound, "--against", &next]), 2);
    assert_eq!(code(&[&sound, "--against", "/no/such/file"]), 2);
    assert_eq!(code(&["/no/such/file"]), 2);
    assert_eq!(code(&[&sound, "--format", "yaml"]), 2);
    assert_eq!(code(&[]), 2);
}

#[test]
fn check_json() {
    let path = data("faulty.json");
    let output = json_output(&[&path]);
    let counts = ["errors", "warnings", "differences"].map(|name| output[name].as_u64().unwrap());
    assert_eq!((counts, &output["file"]), ([3, 1, 0], &json!(path)));
    let expected = json!({
        "severity": "error", "code": "shared-key", "file": path, "path": output["findings"][2]["path"],
        "line": 32, "column": 54,
        "message": "key sp*** belongs to client accounts `benches` and `kiosks`; the gateway uses \
                    the last one",
    });
    assert_eq!(output["findings"][2], expected);
}

/// A finding shows file, line and path; the excerpt shows no key.
#[test]
fn check_text() {
    let output = check(&[&data("faulty.json")]);
    let (out, error) = (String::from_utf8(output.stdout), String::from_utf8(output.stderr));
    let (out, error) = (out.unwrap(), error.unwrap());
    assert!(out.ends_with("3 error(s), 1 warning(s), 0 difference(s)\n"), "{out}");
    assert!(error.contains("faulty.json:12:71") && error.contains("split/1/service"), "{error}");
    assert!(error.contains("sp*******") && !error.contains("spare-key"), "{error}");
    assert!(!error.contains("key-of"), "{error}");
}

/// Both files are named when both are unreadable.
#[test]
fn check_against_faulty() {
    let output = json_output(&["/no/such/file", "--against", &data("cut.json")]);
    let files = output["findings"].as_array().unwrap().iter().map(|finding| &finding["file"]);
    let files: Vec<_> = files.map(|file| file.as_str().unwrap()).collect();
    assert_eq!(files, ["/no/such/file", &data("cut.json")]);
}

#[test]
fn check_invalid_input() {
    let whole = std::fs::read(data("sound.json")).unwrap();
    let inputs: [(&str, Vec<u8>, &str); 6] = [
        ("large", vec![b' '; 40 << 20], "unreadable"),
        ("bytes", b"{\"version\": \"\xff\"}".to_vec(), "unreadable"),
        ("empty", Vec::new(), "syntax"),
        ("cut", whole[..whole.len() - 150].to_vec(), "syntax"),
        ("deep", b"[".repeat(10_000), "too-deep"),
        ("deep-objects", br#"{"a":"#.repeat(10_000), "too-deep"),
    ];
    for (name, bytes, expected) in inputs {
        let path = file(name, &bytes);
        let output = json_output(&[&path]);
        let (shown, status) = (check(&[&path]), code(&[&path]));
        std::fs::remove_file(&path).unwrap();
        assert_eq!(output["findings"][0]["code"], expected, "{name}");
        assert_eq!((&output["errors"], status), (&json!(1), 2), "{name}");
        // The excerpt of a long line is short, and a key at the cut is masked.
        assert!(!shown.stderr.is_empty() && shown.stderr.len() < 2_000, "{name}");
        assert!(!String::from_utf8(shown.stderr).unwrap().contains("key-of"), "{name}");
    }
}

/// The platform stores a configuration as a single line, which must not be printed
/// once for each finding.
#[test]
fn check_single_line() {
    let text = std::fs::read_to_string(data("faulty.json")).unwrap();
    let line = serde_json::from_str::<Value>(&text).unwrap().to_string();
    let path = file("line", line.as_bytes());
    let output = check(&[&path]);
    std::fs::remove_file(&path).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.lines().all(|line| line.chars().count() < 300), "{error}");
    assert!(error.contains("tilt-next") && !error.contains("key-of"), "{error}");
}
