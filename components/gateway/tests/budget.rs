//! Division of the memory for request bodies.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use gateway::budget::{Budget, FREE_BYTES, Growth, Id};
use proptest::prelude::*;

const LIMIT: usize = 1 << 20;
const PART: usize = 400 << 10;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A budget that two bodies, begun at 0 and 100 ms, nearly exhaust.
fn nearly_exhausted() -> (Budget, Id, Id) {
    let mut budget = Budget::new(LIMIT);
    let ids = [0, 100].map(|time| {
        let id = budget.open(ms(time));
        assert_eq!(budget.grow(ms(time), id, PART), Growth::Granted);
        id
    });
    (budget, ids[0], ids[1])
}

/// Large bodies can't take the space of small ones.
#[test]
fn grow_grants_small_when_exhausted() {
    let (mut budget, ..) = nearly_exhausted();
    for _ in 0..1000 {
        let id = budget.open(ms(200));
        assert_eq!(budget.grow(ms(200), id, FREE_BYTES), Growth::Granted);
    }
}

/// A single body within the configured limit is taken whatever the limit of the budget.
#[test]
fn grow_grants_single() {
    let mut budget = Budget::new(LIMIT);
    let id = budget.open(ms(0));
    assert_eq!(budget.grow(ms(0), id, 3 * LIMIT), Growth::Granted);
    assert_eq!(budget.grow(ms(10), id, 4 * LIMIT), Growth::Granted);
}

/// The body that has grown least recently goes, not the one that began last or is smaller.
#[test]
fn grow_evicts_slowest() {
    let (mut budget, first, second) = nearly_exhausted();
    assert_eq!(budget.grow(ms(400), first, PART + (80 << 10)), Growth::Granted);
    let third = budget.open(ms(500));
    assert_eq!(budget.grow(ms(500), third, PART), Growth::Evict(second));
    // The memory of the evicted body is not free yet.
    assert_eq!(budget.grow(ms(510), third, PART), Growth::Wait);
    assert!(!budget.complete(second));
    assert_eq!(budget.grow(ms(510), second, PART + 1), Growth::Refused);
    budget.close(second);
    assert_eq!(budget.grow(ms(520), third, PART), Growth::Granted);
}

/// A body that sends a few bytes now and then is as slow as one that has stopped.
#[test]
fn grow_evicts_trickling() {
    let (mut budget, first, second) = nearly_exhausted();
    assert!(budget.complete(second));
    for time in 1..40 {
        let size = PART + time as usize;
        assert_eq!(budget.grow(ms(time * 10), first, size), Growth::Granted);
    }
    let third = budget.open(ms(400));
    assert_eq!(budget.grow(ms(400), third, PART), Growth::Evict(first));
}

/// Without a slow body, newcomers wait for a limited time. Complete bodies stay.
#[test]
fn grow_refuses_after_wait() {
    let (mut budget, first, second) = nearly_exhausted();
    assert!(budget.complete(first) && budget.complete(second));
    let third = budget.open(ms(5000));
    assert_eq!(budget.grow(ms(5000), third, PART), Growth::Wait);
    assert_eq!(budget.grow(ms(5900), third, PART), Growth::Wait);
    assert_eq!(budget.grow(ms(6000), third, PART), Growth::Refused);
}

proptest! {
    /// Whatever bodies do, the charge stays within the limit plus one body that was alone,
    /// and is zero once all are closed.
    #[test]
    fn grow_stays_within_limit(steps in prop::collection::vec((0..20_usize, 0..4_u8, 1..300_usize), 1..400)) {
        let mut budget = Budget::new(LIMIT);
        let mut bodies: Vec<(Id, usize)> = (0..20).map(|_| (budget.open(ms(0)), 0)).collect();
        for (time, (index, kind, kib)) in steps.into_iter().enumerate() {
            let now = ms(time as u64 * 20);
            let (id, size) = bodies[index];
            match kind {
                0 => {
                    budget.close(id);
                    bodies[index] = (budget.open(now), 0);
                }
                1 => {
                    budget.complete(id);
                }
                _ if size < LIMIT / 2 => {
                    let grown = size + (kib << 10);
                    if budget.grow(now, id, grown) == Growth::Granted {
                        bodies[index].1 = grown;
                    }
                }
                _ => {}
            }
            prop_assert!(budget.used() <= LIMIT);
        }
        bodies.iter().for_each(|(id, _)| budget.close(*id));
        prop_assert_eq!(budget.used(), 0);
    }
}
