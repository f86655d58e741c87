//! The program `wisteria` as a real process, against the stand-in platform.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lab::platform::{Fault, Handle, Settings, serve};
use serde_json::{Value, json};

/// The stand-in platform and a settings file for operators.
struct System {
    platform: Handle,
    directory: PathBuf,
}

impl System {
    fn start(test: &str, operations: &[String]) -> System {
        let objects = json!({
            "pool": {"fit": {"kind": "model", "limit": 8}},
            "route": {"advice": route("/advice", "fit")},
            "zone": {"accra-1": {"out": false}},
            "suspect": {"00000000000000ff": {"crashes": 3, "condemned": true}},
        });
        let host = json!({"name": "bench-1", "role": "server", "zone": "kumasi-1",
            "link": "tcp://127.0.0.1:9", "pool": "fit", "state": "live"});
        let settings = Settings {
            objects: serde_json::from_value(objects).unwrap(),
            hosts: vec![serde_json::from_value(host).unwrap()],
            ..Settings::default()
        };
        let platform = serve("127.0.0.1:0".parse().unwrap(), settings).unwrap();
        let name = format!("wisteria-operator-{test}-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        let settings = json!({"platform": [platform.url()], "operations": operations,
            "timeout_ms": 10_000, "accept_ms": 20_000, "wait_ms": 500});
        let system = System { platform, directory };
        system.file("wisteria.json", &settings.to_string());
        system
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    fn command(&self, arguments: &[&str]) -> Command {
        let program = std::env::current_exe().unwrap();
        let program = program.parent().unwrap().parent().unwrap().join("wisteria");
        assert!(program.exists(), "build the programs first: {}", program.display());
        let mut command = Command::new(program);
        command.current_dir(&self.directory).args(arguments);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn run(&self, arguments: &[&str]) -> Execution {
        Execution::from(self.command(arguments).output().unwrap())
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The result of running the program.
#[derive(Debug)]
struct Execution {
    code: i32,
    out: String,
    error: String,
}

impl From<Output> for Execution {
    fn from(output: Output) -> Execution {
        let text = |bytes| String::from_utf8(bytes).unwrap();
        let code = output.status.code().unwrap();
        Execution { code, out: text(output.stdout), error: text(output.stderr) }
    }
}

impl Execution {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

/// Starts a fake operations endpoint that answers dumps and explanations, and
/// returns its address.
fn process(revision: Arc<AtomicU64>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 4096];
            let length = stream.read(&mut request).unwrap_or(0);
            let request = String::from_utf8_lossy(&request[..length]).into_owned();
            let body = match request.split(' ').nth(1) {
                Some("/dump") => json!({"revision": revision.load(Ordering::SeqCst)}),
                Some("/explain/r-1") => json!({"why": "zone out"}),
                _ => Value::Null,
            };
            let status = if body.is_null() { "404 Not Found" } else { "200 OK" };
            let body = body.to_string();
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n"
            );
            let _ = stream.write_all(format!("{head}{body}").as_bytes());
        }
    });
    address
}

fn route(path: &str, pool: &str) -> Value {
    json!({"path": path, "pools": [pool], "idempotent": true, "timeout_ms": 900})
}

#[test]
fn zone_out_and_return_are_accepted() {
    let system = System::start("zone", &[]);
    let before = system.platform.revision();
    let result = system.run(&["zone", "out", "accra-1"]);
    assert_eq!(result.code, 0, "{result:?}");
    assert_eq!(result.out, format!("accepted: zone accra-1 at version {}\n", before + 1));
    assert_eq!(system.run(&["zones", "show", "accra-1"]).json()["value"], json!({"out": true}));
    let again = system.run(&["zone", "out", "accra-1"]);
    assert!(again.code == 0 && again.out.starts_with("unchanged"), "{again:?}");
    let back = system.run(&["--json", "zone", "return", "accra-1"]);
    assert_eq!(back.json()["changes"][0]["outcome"], "accepted");
    assert_eq!(system.platform.revision(), before + 2);
}

#[test]
fn zone_out_known_only_from_host_list_is_accepted() {
    let system = System::start("host-zone", &[]);
    assert_eq!(system.run(&["zone", "out", "kumasi-1"]).code, 0);
    assert_eq!(system.run(&["server", "out", "bench-1"]).code, 0);
    let status = system.run(&["status", "--json"]).json();
    assert_eq!(status["servers_out"], json!(["bench-1"]));
    assert_eq!(
        status["zones"][1],
        json!({"name": "kumasi-1", "out": true, "entries": 0, "servers": 1, "leaving": 0})
    );
}

#[test]
fn zone_out_mistyped_writes_nothing() {
    let system = System::start("typo", &[]);
    let before = system.platform.revision();
    let result = system.run(&["zone", "out", "acra-1"]);
    assert_eq!(result.code, 2, "{result:?}");
    assert!(result.error.contains("acra-1"));
    assert_eq!(system.platform.revision(), before);
}

#[test]
fn zone_out_lost_reply_is_reported_as_accepted() {
    let system = System::start("lost", &[]);
    let before = system.platform.revision();
    system.platform.set_fault(Fault { lose_replies: 1, ..Fault::default() });
    let result = system.run(&["zone", "out", "accra-1"]);
    assert_eq!(result.code, 0, "{result:?}");
    let version = before + 1;
    assert_eq!(
        result.out,
        format!("accepted: zone accra-1 at version {version} (reply lost, read back)\n")
    );
    assert_eq!((system.platform.revision(), system.platform.calls().put), (version, 1));
}

#[test]
fn routes_delete_lost_reply_is_reported_as_accepted() {
    let system = System::start("lost-delete", &[]);
    system.platform.set_fault(Fault { lose_replies: 1, ..Fault::default() });
    let result = system.run(&["routes", "delete", "advice"]);
    assert!(result.code == 0 && result.out.contains("read back"), "{result:?}");
    assert_eq!(system.run(&["routes", "list"]).out, "");
}

#[test]
fn zone_out_in_outage_is_unreachable() {
    let system = System::start("outage", &[]);
    system.platform.set_fault(Fault { outage: true, ..Fault::default() });
    let result = system.run(&["zone", "out", "accra-1"]);
    assert_eq!(result.code, 1, "{result:?}");
}

#[test]
fn routes_set_old_version_shows_both_sides() {
    let system = System::start("conflict", &[]);
    let version = system.run(&["routes", "show", "advice"]).json()["version"].to_string();
    let theirs = route("/theirs", "fit").to_string();
    let yours = route("/yours", "fit").to_string();
    let set = |value: &str| system.run(&["routes", "set", "advice", value, "--expect", &version]);
    assert_eq!(set(&theirs).code, 0);
    let result = set(&yours);
    assert_eq!(result.code, 3, "{result:?}");
    assert!(
        result.out.contains(r#""path":"/theirs""#) && result.out.contains(r#""path":"/yours""#)
    );
    assert!(result.out.contains(&format!("expecting version {version}")));
}

#[test]
fn routes_set_race_of_two_operators_has_one_winner() {
    let system = System::start("race", &[]);
    let version = system.run(&["routes", "show", "advice"]).json()["version"].to_string();
    let values = [route("/first", "fit").to_string(), route("/second", "fit").to_string()];
    let start = |value| {
        let arguments = ["routes", "set", "advice", value, "--expect", &version];
        system.command(&arguments).spawn().unwrap()
    };
    let racers = [start(&values[0]), start(&values[1])];
    let codes = racers.map(|racer| Execution::from(racer.wait_with_output().unwrap()).code);
    let winner = codes.iter().position(|code| *code == 0).unwrap();
    assert_eq!(codes[1 - winner], 3);
    let value = system.run(&["routes", "show", "advice"]).json()["value"].to_string();
    assert!(value.contains(["/first", "/second"][winner]));
}

#[test]
fn apply_twice_writes_once() {
    let system = System::start("apply", &[]);
    let set = json!({
        "route": {"bookings": route("/bookings", "desk")},
        "pool": {"desk": {"kind": "service", "limit": 2}},
        "account": {"tema": {"key_sha256": "0".repeat(64), "weight": 1}},
    });
    let file = system.file("set.json", &set.to_string());
    let before = system.platform.revision();
    let result = system.run(&["apply", &file]);
    assert_eq!(result.code, 0, "{result:?}");
    assert_eq!(system.platform.revision(), before + 3);
    let again = system.run(&["apply", &file]);
    assert!(again.code == 0 && !again.out.contains("accepted"), "{again:?}");
    assert_eq!(system.platform.revision(), before + 3);
    assert_eq!(system.run(&["accounts", "list", "--json"]).json()[0]["name"], "tema");
}

#[test]
fn apply_shows_all_faults_and_writes_nothing() {
    let system = System::start("faults", &[]);
    let file = system.file(
        "set.json",
        r#"{
  "zone": {"accra-1": {"out": true}},
  "pool": {"desk": {"kind": "service", "limit": 0}},
  "route": {"bookings": {"path": "/b", "pools": ["none"], "idempotent": "no", "timeout_ms": 9}},
  "server": {"bench-1": {"out": true, "why": "noise"}}
}"#,
    );
    let before = system.platform.revision();
    let result = system.run(&["apply", &file]);
    assert_eq!(result.code, 2, "{result:?}");
    for text in
        ["limit must be at least 1", "unknown field `why`", "expected a boolean", "set.json:"]
    {
        assert!(result.error.contains(text), "{text}: {}", result.error);
    }
    assert_eq!(system.platform.revision(), before);
}

#[test]
fn pools_delete_in_use_is_refused() {
    let system = System::start("in-use", &[]);
    let result = system.run(&["pools", "delete", "fit"]);
    assert_eq!(result.code, 2, "{result:?}");
    assert!(result.error.contains("pool fit does not exist"), "{result:?}");
    assert_eq!(system.run(&["routes", "delete", "advice"]).code, 0);
    assert_eq!(system.run(&["pools", "delete", "fit"]).code, 0);
}

#[test]
fn zone_out_wait_names_lagging_process() {
    let (ahead, behind) = (Arc::new(AtomicU64::new(1000)), Arc::new(AtomicU64::new(1)));
    let addresses = [process(ahead), process(behind.clone())];
    let system = System::start("wait", &addresses);
    let result = system.run(&["zone", "out", "accra-1", "--wait"]);
    assert_eq!(result.code, 5, "{result:?}");
    assert!(result.out.contains(&format!("{} is at revision 1", addresses[1])), "{result:?}");
    assert!(!result.out.contains(&addresses[0]));
    behind.store(1000, Ordering::SeqCst);
    let result = system.run(&["zone", "return", "accra-1", "--wait"]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.out.contains("in force on all"));
}

#[test]
fn dump_and_explain_ask_processes() {
    let address = process(Arc::new(AtomicU64::new(7)));
    let system = System::start("explain", &[]);
    assert_eq!(system.run(&["dump", &address]).json(), json!({"revision": 7}));
    assert_eq!(system.run(&["dump", "127.0.0.1:1"]).code, 1);
    let result = system.run(&["explain", "r-1", "--ops", &address, "--ops", "127.0.0.1:1"]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.out.contains("zone out") && result.out.contains("127.0.0.1:1: did not answer"));
    assert_eq!(system.run(&["explain", "r-2", "--ops", &address]).code, 1);
    assert_eq!(system.run(&["explain", "r-1"]).code, 2);
}

#[test]
fn bad_input_exits_2() {
    let system = System::start("input", &[]);
    system.file("bad.json", r#"{"platform": [], "timeout": 3}"#);
    for arguments in [
        &["routes", "set", "r"][..],
        &["routes", "set", "r", "{"],
        &["routes", "set", "r", r#"{"path": "/x"}"#],
        &["routes", "show"],
        &["routes", "show", "none"],
        &["routes", "delete", "none"],
        &["zone", "off", "accra-1"],
        &["apply", "none.json"],
        &["status", "--settings", "none.json"],
        &["status", "--settings", "bad.json"],
        &["nonsense"],
    ] {
        let result = system.run(arguments);
        assert_eq!(result.code, 2, "{arguments:?}: {result:?}");
        assert!(!result.error.is_empty());
    }
    let result = system.run(&["--help"]);
    assert!(result.code == 0 && result.out.contains("Exit codes"), "{result:?}");
}

#[test]
fn delete_suspect() {
    let system = System::start("suspect", &[]);
    let listed = system.run(&["--json", "suspects", "list"]);
    assert!(listed.out.contains("00000000000000ff"), "{}", listed.out);
    assert_eq!(system.run(&["suspects", "delete", "00000000000000ff"]).code, 0);
    let listed = system.run(&["--json", "suspects", "list"]);
    assert!(!listed.out.contains("00000000000000ff"), "{}", listed.out);
    assert_eq!(system.run(&["suspects", "pardon", "00000000000000ff"]).code, 2);
}
