//! Hedging delay and the bound on the number of hedges.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use routing::hedge::{EVIDENCE, EXPIRY, Hedge};

const NOW: Duration = Duration::from_secs(1);

fn observed(count: u64) -> Hedge {
    let mut hedge = Hedge::default();
    for latency in 1..=count {
        hedge.observe(NOW, Duration::from_millis(latency));
    }
    hedge
}

#[test]
fn after_quantile() {
    assert_eq!(observed(100).after(NOW), Some(Duration::from_millis(96)));
}

#[test]
fn after_little_evidence() {
    assert_eq!(observed(EVIDENCE as u64 - 1).after(NOW), None);
    assert_eq!(observed(100).after(NOW + EXPIRY), None);
}

#[test]
fn allow_only_spare_load() {
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
