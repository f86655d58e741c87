//! Daemons that fail to start.
#![allow(clippy::unwrap_used)]

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Command;

use rstest::rstest;
use serde_json::{Value, json};
use system::process::{file, programs};
use system::{port, settings};

/// The settings of a sample in `examples/`, with unused addresses.
fn sample(file: &str) -> Value {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples").join(file);
    let mut settings: Value = serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    for key in ["listen", "operations", "link"] {
        if let Some(value) = settings.get_mut(key) {
            *value = address(key, port::free());
        }
    }
    settings
}

/// An address in the settings format: links have a `tcp://` prefix.
fn address(key: &str, address: SocketAddr) -> Value {
    if key == "link" { json!(format!("tcp://{address}")) } else { json!(address) }
}

fn gateway() -> Value {
    settings::gateway("front-1", port::free(), port::free(), &[])
}

fn rank() -> Value {
    settings::rank("side-1", port::free(), port::free())
}

/// If an address is in use by another process, the daemon exits with a
/// diagnostic and no panic.
#[rstest]
#[case::entry_listen("wisteria-entry", sample("entry-1.json"), "listen")]
#[case::entry_operations("wisteria-entry", sample("entry-1.json"), "operations")]
#[case::entry_link("wisteria-entry", sample("entry-1.json"), "link")]
#[case::agent_operations("wisteria-agent", sample("agent-engine-1.json"), "operations")]
#[case::agent_link("wisteria-agent", sample("agent-engine-1.json"), "link")]
#[case::gateway_listen("wisteria-gateway", gateway(), "listen")]
#[case::gateway_ready("wisteria-gateway", gateway(), "ready")]
#[case::gateway_operations("wisteria-gateway", gateway(), "operations")]
#[case::gateway_link("wisteria-gateway", gateway(), "link")]
#[case::rank_operations("wisteria-rank", rank(), "operations")]
#[case::rank_link("wisteria-rank", rank(), "link")]
fn refuse_taken_address(#[case] program: &str, #[case] mut settings: Value, #[case] key: &str) {
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = other.local_addr().unwrap();
    let plain = settings[key].as_str().is_none_or(|value| !value.starts_with("tcp://"));
    settings[key] = if plain { json!(taken) } else { address("link", taken) };
    let file = file(&format!("taken-{program}-{key}.json"), &settings.to_string());
    let output =
        Command::new(programs().join(program)).arg("--settings").arg(&file).output().unwrap();
    let diagnostic = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{diagnostic}");
    assert!(diagnostic.contains(&taken.to_string()), "{diagnostic}");
    assert!(!diagnostic.contains("panicked"), "{diagnostic}");
    assert!(!diagnostic.contains("backtrace"), "{diagnostic}");
}
