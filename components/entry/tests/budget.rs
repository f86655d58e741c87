//! Which bodies get space, which are evicted and which are refused.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use entry::budget::{Budget, EVICTION_AGE, Refusal};

/// Bytes of the budget.
const LIMIT: usize = 400 << 10;
/// Bytes of a large body.
const LARGE: usize = 100 << 10;
/// Bytes of a small body.
const SMALL: usize = 50 << 10;

/// A budget whose large part is taken by the bodies 0, 1 and 2.
fn full_of_large() -> Budget<u32> {
    let mut budget = Budget::new(LIMIT);
    for reader in 0..3 {
        let number = budget.open(Duration::ZERO, reader);
        assert_eq!(budget.grow(Duration::ZERO, number, LARGE), Ok(vec![]));
    }
    budget
}

/// Large bodies leave space to small ones.
#[test]
fn grow_small_beside_large() {
    let mut budget = full_of_large();
    let large = budget.open(Duration::ZERO, 3);
    assert_eq!(budget.grow(Duration::ZERO, large, LARGE), Err(Refusal::Full));
    let small = budget.open(Duration::ZERO, 4);
    assert_eq!(budget.grow(Duration::ZERO, small, SMALL), Ok(vec![]));
    assert_eq!(budget.used(), 3 * LARGE + SMALL);
}

/// Bodies that stop short must not keep others out.
#[test]
fn grow_evict_oldest_incomplete() {
    let mut budget = full_of_large();
    budget.complete(0).unwrap();
    let newcomer = budget.open(EVICTION_AGE, 3);
    assert_eq!(budget.grow(EVICTION_AGE, newcomer, LARGE), Ok(vec![1]));
    assert_eq!(budget.grow(EVICTION_AGE, 1, LARGE + 1), Err(Refusal::Evicted));
    assert_eq!(budget.complete(1), Err(Refusal::Evicted));
    assert_eq!(budget.used(), 3 * LARGE);
}

/// A refused body must not cost others their space.
#[test]
fn grow_evict_none_for_refused() {
    let mut budget = full_of_large();
    budget.complete(1).unwrap();
    budget.complete(2).unwrap();
    let newcomer = budget.open(EVICTION_AGE, 3);
    assert_eq!(budget.grow(EVICTION_AGE, newcomer, 2 * LARGE + 1), Err(Refusal::Full));
    assert_eq!(budget.used(), 3 * LARGE);
    assert_eq!(budget.complete(0), Ok(()));
}

/// Space is released once, whether a body was evicted or not.
#[test]
fn close_evicted() {
    let mut budget = full_of_large();
    let newcomer = budget.open(EVICTION_AGE, 3);
    assert_eq!(budget.grow(EVICTION_AGE, newcomer, LARGE), Ok(vec![0]));
    for number in 0..=newcomer {
        budget.close(number);
    }
    assert_eq!(budget.used(), 0);
}
