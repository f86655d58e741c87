//! The sample settings in `examples/`: each file is valid, and together they
//! start a system of ten processes.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::Duration;

use lab::{engine, service};
use rstest::rstest;
use system::caller;
use system::cluster::{dump, wait_for};
use system::port;
use system::process::{Process, file, programs};

/// Bearer key of the samples' only client account.
const KEY: &str = "Bearer example-key-of-the-fitters";
/// URL at which the sample entry serves callers.
const URL: &str = "http://127.0.0.1:31010";
/// Address at which the sample entry serves operators.
const OPERATIONS: &str = "127.0.0.1:31011";
/// Longest time for a sample process to exit.
const EXIT_LIMIT: Duration = Duration::from_secs(70);

/// Programs and settings files of the samples, in start order.
const SAMPLES: [(&[&str], &str); 10] = [
    (&["wisteria-lab", "platform"], "platform.json"),
    (&["wisteria-lab", "engine"], "engine-1.json"),
    (&["wisteria-lab", "engine"], "engine-2.json"),
    (&["wisteria-lab", "service"], "service-1.json"),
    (&["wisteria-lab", "service"], "service-2.json"),
    (&["wisteria-entry"], "entry-1.json"),
    (&["wisteria-agent"], "agent-engine-1.json"),
    (&["wisteria-agent"], "agent-engine-2.json"),
    (&["wisteria-agent"], "agent-service-1.json"),
    (&["wisteria-agent"], "agent-service-2.json"),
];

fn samples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples")
}

fn run(program: &[&str], file: &Path, check: bool) -> Output {
    let mut command = Command::new(programs().join(program[0]));
    command.args(&program[1..]).arg("--settings").arg(file);
    if check {
        command.arg("--check");
    }
    command.output().unwrap()
}

/// Runs the operators' program with the sample settings.
fn wisteria(arguments: &[&str]) -> Output {
    let mut command = Command::new(programs().join("wisteria"));
    command.arg("--settings").arg(samples().join("wisteria.json")).args(arguments);
    command.output().unwrap()
}

#[test]
fn check_all_samples() {
    for (program, file) in SAMPLES {
        let output = run(program, &samples().join(file), true);
        let diagnostic = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(0), "{file}: {diagnostic}");
    }
}

#[rstest]
#[case::entry(&["wisteria-entry"], "entry-1.json", "\"listen\": \"", "\"listen\": \"here ", "listen")]
#[case::agent(&["wisteria-agent"], "agent-engine-1.json", "\"drain_ms\"", "\"drain\"", "drain")]
#[case::engine(&["wisteria-lab", "engine"], "engine-1.json", "64", "0", "capacity_warm")]
#[case::syntax(&["wisteria-entry"], "entry-1.json", "}", "", "end")]
fn refuse_bad_settings(
    #[case] program: &[&str],
    #[case] sample: &str,
    #[case] good: &str,
    #[case] bad: &str,
    #[case] place: &str,
    #[values(true, false)] check: bool,
) {
    let text = std::fs::read_to_string(samples().join(sample)).unwrap();
    assert!(text.contains(good));
    let file = file(&format!("bad-{place}-{check}-{sample}"), &text.replacen(good, bad, 1));
    // The program exits by itself without starting to serve.
    let output = run(program, &file, check);
    let diagnostic = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{diagnostic}");
    assert!(diagnostic.contains(file.file_name().unwrap().to_str().unwrap()), "{diagnostic}");
    assert!(diagnostic.contains(place), "{diagnostic}");
    // A started entry or agent logs "started" to stderr, a stand-in prints its address to stdout.
    assert!(!diagnostic.contains("started"), "{diagnostic}");
    assert!(output.stdout.is_empty(), "{}", String::from_utf8_lossy(&output.stdout));
}

#[actix_rt::test]
async fn serve_from_samples() {
    // The samples use fixed ports, so only one test may run them at a time.
    let _lock = port::lock("examples");
    let start =
        |(program, file): (&[&str], &str)| Process::start_file(program, &samples().join(file));
    let mut processes: Vec<Process> = SAMPLES.into_iter().map(start).collect();
    let operations = OPERATIONS.parse().unwrap();
    wait_for("readiness of the samples", || async {
        let dump = dump(operations).await?;
        let members = dump["members"].as_array()?;
        let open = members.iter().filter(|member| member["report"]["leaving"] == false).count();
        (open == 4).then_some(())
    })
    .await;

    let prompt = "which liner for a wide foot";
    let body = serde_json::json!({
        "model": "fitter", "stream": true, "max_tokens": 30,
        "messages": [{"role": "user", "content": prompt}],
    });
    let request = caller::client().post(format!("{URL}/v1/chat/completions"));
    let request = request.insert_header(("authorization", KEY));
    let request = request.insert_header(("content-type", "application/json"));
    let reply = caller::read(request, body.to_string()).await.unwrap();
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert_eq!(reply.chat(), (engine::expected(prompt, 30), true));
    let request = caller::client().post(format!("{URL}/book"));
    let request = request.insert_header(("authorization", KEY));
    let request = request.insert_header(("idempotency-key", "key-1"));
    let reply = caller::read(request, "bench 4".to_owned()).await.unwrap();
    assert_eq!(reply.body, service::expected("/book", b"bench 4").into_bytes());

    // The first change in the README is accepted and applied everywhere.
    let route = r#"{"path": "/v1/chat/completions", "model": "fitter", "pools": ["chat"],
        "idempotent": true, "timeout_ms": 20000}"#;
    let output = wisteria(&["routes", "set", "chat", route, "--wait"]);
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{stdout}");
    assert!(stdout.contains("accepted"), "{stdout}");

    // Daemons stop before the backend servers and the platform, as an operator
    // would do it.
    processes.reverse();
    for process in &mut processes {
        process.signal("TERM");
        let status = process.wait(EXIT_LIMIT).expect("a sample process ends");
        assert_eq!(status.code(), Some(0));
    }
}
