//! Settings of the gateway: the block `zones`.
#![allow(clippy::unwrap_used)]

use gateway::Settings;
use rstest::rstest;
use settings::Check;

fn parsed(zones: Option<&str>) -> Result<Settings, serde_json::Error> {
    let zones = zones.map_or(String::new(), |zones| format!(r#""zones": {zones},"#));
    serde_json::from_str(&format!(
        r#"{{ "name": "g", "zone": "a", "listen": "127.0.0.1:1", "ready": "127.0.0.1:2",
            "operations": "127.0.0.1:3", "link": "127.0.0.1:4", "store": "127.0.0.1:5", {zones}
            "limits": {{ "retry_ratio": 0.2, "retry_slack": 30, "retry_window_ms": 10000 }},
            "grace_ms": 8000 }}"#
    ))
}

/// Guards against existing settings that become invalid, or enable the new behaviour.
#[test]
fn zones_missing() {
    let settings = parsed(None).unwrap();
    assert!(!settings.zones.prefer_local);
    assert!(settings.faults().is_empty());
}

#[test]
fn zones_partial() {
    let settings = parsed(Some(r#"{ "prefer_local": true, "crossing_ms": 3.5 }"#)).unwrap();
    assert!(settings.zones.prefer_local && settings.faults().is_empty());
    assert_eq!(settings.zones.crossing.as_micros(), 3500);
}

#[test]
fn zones_unknown_field() {
    assert!(parsed(Some(r#"{ "prefer": true }"#)).is_err());
}

/// Guards against values for which the decision has no meaning.
#[rstest]
#[case::crossing(r#"{ "crossing_ms": 5000 }"#, "/zones/crossing_ms")]
#[case::megabyte(r#"{ "megabyte_ms": 5000 }"#, "/zones/megabyte_ms")]
#[case::delay(r#"{ "delay_ms": 5000 }"#, "/zones/delay_ms")]
#[case::settle(r#"{ "settle_ms": 0 }"#, "/zones/settle_ms")]
#[case::reserve(r#"{ "reserve": 1.0 }"#, "/zones/reserve")]
fn zones_out_of_range(#[case] zones: &str, #[case] pointer: &str) {
    let faults = parsed(Some(zones)).unwrap().faults();
    let pointers: Vec<_> = faults.iter().map(|fault| fault.pointer.as_str()).collect();
    assert_eq!(pointers, [pointer]);
}
