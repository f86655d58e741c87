//! The retry budget.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use routing::budget::{BURST, Budget};

#[test]
fn spend_share_of_first_attempts() {
    let mut budget = Budget::new(0.1, 0.0);
    let mut spent = 0;
    for _ in 0..1000 {
        budget.earn(Duration::ZERO);
        spent += u32::from(budget.spend(Duration::ZERO));
    }
    assert!((99..=100).contains(&spent), "{spent}");
}

#[test]
fn spend_floor_without_first_attempts() {
    let mut budget = Budget::new(0.1, 2.0);
    assert!(!budget.spend(Duration::ZERO));
    let later = Duration::from_secs(1);
    assert!(budget.spend(later) && budget.spend(later));
    assert!(!budget.spend(later));
}

#[test]
fn spend_bounded_burst() {
    let mut budget = Budget::new(1.0, 0.0);
    for _ in 0..1000 {
        budget.earn(Duration::ZERO);
    }
    let spent = (0..1000).filter(|_| budget.spend(Duration::ZERO)).count();
    assert_eq!(spent, BURST as usize);
}
