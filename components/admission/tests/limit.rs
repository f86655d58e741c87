//! Tests of the adaptive limit: cold start, growth, and unreported cold servers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use admission::experiment::{Control, ramp};
use admission::limit::{COLD_LIMIT, Limit};
use rstest::rstest;

const HEALTHY_LATENCY: Duration = Duration::from_millis(80);
const COLD_LATENCY: Duration = Duration::from_millis(800);

/// Returns a limit that healthy first tokens raised to `max_limit`, and the time.
fn warmed_up(max_limit: u32) -> (Limit, Duration) {
    let mut limit = Limit::new(Duration::ZERO, max_limit);
    let mut now = Duration::ZERO;
    for _ in 0..20_000 {
        now += Duration::from_millis(10);
        limit.record_outcome(now, limit.current(now), HEALTHY_LATENCY, true);
    }
    assert_eq!(limit.current(now), max_limit);
    assert!(!limit.is_cold(now));
    (limit, now)
}

#[test]
fn new_is_cold() {
    let limit = Limit::new(Duration::ZERO, 64);
    assert_eq!(limit.current(Duration::ZERO), COLD_LIMIT);
    assert!(limit.is_cold(Duration::ZERO));
    assert_eq!(Limit::new(Duration::ZERO, 1).current(Duration::ZERO), 1);
}

#[test]
fn record_outcome_without_use() {
    let mut limit = Limit::new(Duration::ZERO, 64);
    for sample in 0..1000 {
        limit.record_outcome(Duration::from_millis(10 * sample), 0, HEALTHY_LATENCY, true);
    }
    assert_eq!(limit.current(Duration::from_secs(10)), COLD_LIMIT);
}

#[test]
fn reset_after_engine_restart() {
    let (mut limit, now) = warmed_up(64);
    limit.reset(now);
    assert_eq!(limit.current(now), COLD_LIMIT);
    assert!(limit.is_cold(now));
}

#[rstest]
#[case::slow(COLD_LATENCY, true)]
#[case::failing(HEALTHY_LATENCY, false)]
fn record_outcome_unreported_cold(#[case] latency: Duration, #[case] ok: bool) {
    let (mut limit, now) = warmed_up(64);
    for _ in 0..3 {
        limit.record_outcome(now, 64, latency, ok);
    }
    assert_eq!(limit.current(now), COLD_LIMIT);
    assert!(limit.is_cold(now));
}

#[test]
fn record_outcome_one_slow_answer() {
    let (mut limit, now) = warmed_up(64);
    limit.record_outcome(now, 64, COLD_LATENCY, true);
    assert_eq!(limit.current(now), 32);
    assert!(!limit.is_cold(now));
}

#[test]
fn current_while_idle() {
    let (limit, now) = warmed_up(64);
    assert_eq!(limit.current(now + Duration::from_secs(2)), 64);
    assert_eq!(limit.current(now + Duration::from_secs(6)), 16);
    assert_eq!(limit.current(now + Duration::from_secs(60)), COLD_LIMIT);
}

#[test]
fn admits_pending_first_tokens() {
    let (limit, now) = warmed_up(64);
    assert!(limit.admits(now, 63, 3));
    assert!(!limit.admits(now, 63, 4));
    assert!(!limit.admits(now, 64, 0));
}

/// Guards against admitting more than the engine's capacity. Only a few requests
/// may exceed it: those admitted before the first sample shows that the engine
/// turned cold.
#[rstest]
fn ramp_within_capacity(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(Control::Adaptive, Control::AdaptiveLate)] control: Control,
    #[values(0.0, 30.0)] pause: f64,
) {
    let run = ramp(seed, control, 40.0, pause);
    assert_eq!(run.collapses, 0, "{run:?}");
    assert!(run.worst <= 1.0, "{run:?}");
    assert!(run.excess <= 4, "{run:?}");
    assert!(run.full.is_some_and(|full| full < 120.0), "{run:?}");
    assert!(run.full_again.is_some(), "{run:?}");
}
