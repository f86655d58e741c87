//! Hedging delay and the bound on the number of hedges.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use routing::hedge::{EXPIRY, Hedge, MIN_LATENCIES};

const NOW: Duration = Duration::from_secs(1);

fn observed(count: u64) -> Hedge {
    let mut hedge = Hedge::default();
    for latency in 1..=count {
        hedge.observe(NOW, Duration::from_millis(latency));
    }
    hedge
}

#[test]
fn delay_quantile() {
    assert_eq!(observed(100).delay(NOW), Some(Duration::from_millis(96)));
}

#[test]
fn delay_needs_recent_latencies() {
    assert_eq!(observed(MIN_LATENCIES as u64 - 1).delay(NOW), None);
    assert_eq!(observed(100).delay(NOW + EXPIRY), None);
}

#[test]
fn allow_only_below_load_limit() {
    let mut hedge = observed(100);
    assert!(!hedge.allow(NOW, 0.7));
    assert!(hedge.allow(NOW, 0.3));
}

#[test]
fn allow_bounded_share() {
    let mut hedge = observed(60);
    let allowed = (0..100).filter(|_| hedge.allow(NOW, 0.1)).count();
    assert!((2..=3).contains(&allowed), "{allowed}");
}
