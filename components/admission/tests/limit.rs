//! The limit: cold starts, growth, and turning cold without notice.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use admission::experiment::{Control, ramp};
use admission::limit::{COLD_LIMIT, Limit};
use rstest::rstest;

const FAST: Duration = Duration::from_millis(80);
const SLOW: Duration = Duration::from_millis(800);

/// Feeds healthy first tokens until the limit stands at `most`.
fn warm(most: u32) -> (Limit, Duration) {
    let mut limit = Limit::new(Duration::ZERO, most);
    let mut now = Duration::ZERO;
    for _ in 0..20_000 {
        now += Duration::from_millis(10);
        limit.complete(now, limit.current(now), FAST, true);
    }
    assert_eq!(limit.current(now), most);
    assert!(!limit.is_cold(now));
    (limit, now)
}

#[test]
fn start_cold() {
    let limit = Limit::new(Duration::ZERO, 64);
    assert_eq!(limit.current(Duration::ZERO), COLD_LIMIT);
    assert!(limit.is_cold(Duration::ZERO));
    assert_eq!(Limit::new(Duration::ZERO, 1).current(Duration::ZERO), 1);
}

#[test]
fn stay_small_without_use() {
    let mut limit = Limit::new(Duration::ZERO, 64);
    for turn in 0..1000 {
        limit.complete(Duration::from_millis(10 * turn), 0, FAST, true);
    }
    assert_eq!(limit.current(Duration::from_secs(10)), COLD_LIMIT);
}

#[test]
fn restart_of_engine() {
    let (mut limit, now) = warm(64);
    limit.restart(now);
    assert_eq!(limit.current(now), COLD_LIMIT);
    assert!(limit.is_cold(now));
}

#[rstest]
#[case::slow(SLOW, true)]
#[case::failing(FAST, false)]
fn turn_cold_unannounced(#[case] latency: Duration, #[case] ok: bool) {
    let (mut limit, now) = warm(64);
    for _ in 0..3 {
        limit.complete(now, 64, latency, ok);
    }
    assert_eq!(limit.current(now), COLD_LIMIT);
    assert!(limit.is_cold(now));
}

#[test]
fn keep_limit_after_one_slow_answer() {
    let (mut limit, now) = warm(64);
    limit.complete(now, 64, SLOW, true);
    assert_eq!(limit.current(now), 32);
    assert!(!limit.is_cold(now));
}

#[test]
fn shrink_while_idle() {
    let (limit, now) = warm(64);
    assert_eq!(limit.current(now + Duration::from_secs(2)), 64);
    assert_eq!(limit.current(now + Duration::from_secs(6)), 16);
    assert_eq!(limit.current(now + Duration::from_secs(60)), COLD_LIMIT);
}

#[test]
fn pending_first_tokens_bounded() {
    let (limit, now) = warm(64);
    assert!(limit.admits(now, 63, 3));
    assert!(!limit.admits(now, 63, 4));
    assert!(!limit.admits(now, 64, 0));
}

/// An engine is never given more than it can carry, but for the few requests
/// that were admitted before the first sign that it had turned cold.
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
