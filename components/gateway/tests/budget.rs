//! Division of the memory for request bodies.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use gateway::budget::{Budget, FREE_BYTES, Growth, Id};
use proptest::prelude::*;

/// Memory of the process, and the share of bodies.
const MEMORY: usize = 4 << 20;
const LIMIT: usize = 1 << 20;
const PART: usize = 400 << 10;

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Charges a body for the bytes that it has grown to.
fn receive(budget: &mut Budget, now: Duration, id: Id, size: usize) -> Growth {
    let growth = budget.grow(now, id, size);
    if growth == Growth::Granted {
        budget.receive(now, id, size);
    }
    growth
}

/// A budget that two bodies, begun at 0 and 100 ms, nearly exhaust.
fn nearly_exhausted() -> (Budget, Id, Id) {
    let mut budget = Budget::new(MEMORY);
    let ids = [0, 100].map(|time| {
        let id = budget.open(ms(time));
        assert_eq!(receive(&mut budget, ms(time), id, PART), Growth::Granted);
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
        assert_eq!(receive(&mut budget, ms(200), id, FREE_BYTES), Growth::Granted);
    }
}

/// A single body within the configured limit is taken whatever the limit of the budget.
#[test]
fn grow_grants_single() {
    let mut budget = Budget::new(MEMORY);
    let id = budget.open(ms(0));
    assert_eq!(receive(&mut budget, ms(0), id, 3 * LIMIT), Growth::Granted);
    assert_eq!(receive(&mut budget, ms(10), id, 4 * LIMIT), Growth::Granted);
}

/// The body that has grown least recently goes, not the one that began last or is smaller.
#[test]
fn grow_evicts_slowest() {
    let (mut budget, first, second) = nearly_exhausted();
    assert_eq!(receive(&mut budget, ms(400), first, PART + (80 << 10)), Growth::Granted);
    let third = budget.open(ms(500));
    assert_eq!(receive(&mut budget, ms(500), third, PART), Growth::Evict(second));
    // The memory of the evicted body is not free yet.
    assert_eq!(receive(&mut budget, ms(510), third, PART), Growth::Wait);
    assert!(!budget.complete(second));
    assert_eq!(receive(&mut budget, ms(510), second, PART + 1), Growth::Refused);
    budget.close(second);
    assert_eq!(receive(&mut budget, ms(520), third, PART), Growth::Granted);
}

/// A body that sends a few bytes now and then is as slow as one that has stopped.
#[test]
fn grow_evicts_trickling() {
    let (mut budget, first, second) = nearly_exhausted();
    assert!(budget.complete(second));
    for time in 1..40 {
        let size = PART + time as usize;
        assert_eq!(receive(&mut budget, ms(time * 10), first, size), Growth::Granted);
    }
    let third = budget.open(ms(400));
    assert_eq!(receive(&mut budget, ms(400), third, PART), Growth::Evict(first));
}

/// The code and data of a process, and what its connections hold, leave less than the share of
/// bodies: they used to grow to it whatever the process used besides.
#[test]
fn grow_leaves_memory_to_others() {
    let mut budget = Budget::new(MEMORY);
    let (first, second) = (budget.open(ms(0)), budget.open(ms(0)));
    assert!(budget.is_measurement_due(ms(0)));
    budget.measure(ms(0), MEMORY - LIMIT / 2);
    assert!(!budget.is_measurement_due(ms(0)) && budget.is_measurement_due(ms(1)));
    // A body that is alone is taken.
    assert_eq!(receive(&mut budget, ms(0), first, PART), Growth::Granted);
    assert_eq!(receive(&mut budget, ms(0), second, PART), Growth::Wait);
    budget.measure(ms(10), MEMORY / 2);
    assert_eq!(receive(&mut budget, ms(10), second, PART), Growth::Granted);
    budget.measure(ms(400), MEMORY);
    assert_eq!(receive(&mut budget, ms(400), second, PART + (80 << 10)), Growth::Evict(first));
}

/// A body that had waited for memory was evicted as a slow one as soon as it got some.
#[test]
fn grow_leaves_wait_out_of_pace() {
    let (mut budget, first, second) = nearly_exhausted();
    assert_eq!(receive(&mut budget, ms(110), first, 2 * PART), Growth::Wait);
    budget.close(second);
    assert_eq!(receive(&mut budget, ms(300), first, PART + 1), Growth::Granted);
    let third = budget.open(ms(400));
    assert_eq!(receive(&mut budget, ms(400), third, 2 * PART), Growth::Wait);
    assert_eq!(receive(&mut budget, ms(450), third, 2 * PART), Growth::Evict(first));
}

/// Bodies of unknown size waited for each other until all were refused, each of them holding a
/// part of the memory.
#[test]
fn grow_ends_deadlock() {
    let (mut budget, first, second) = nearly_exhausted();
    let third = budget.open(ms(100));
    assert_eq!(receive(&mut budget, ms(100), first, LIMIT), Growth::Wait);
    assert_eq!(receive(&mut budget, ms(100), third, PART), Growth::Wait);
    assert_eq!(receive(&mut budget, ms(110), second, LIMIT), Growth::Wait);
    assert_eq!(receive(&mut budget, ms(150), first, LIMIT - PART), Growth::Evict(second));
    budget.close(second);
    // Those that hold memory go before those that arrived earlier.
    assert_eq!(receive(&mut budget, ms(150), third, 20 << 10), Growth::Wait);
    assert_eq!(receive(&mut budget, ms(150), first, LIMIT - PART), Growth::Granted);
    assert_eq!(receive(&mut budget, ms(150), third, 20 << 10), Growth::Granted);
}

/// Bodies that are charged before they are read leave each other the room to be completed. Of
/// those that wait, the latest goes first.
#[test]
fn grow_reserves_known_size() {
    let mut budget = Budget::new(MEMORY);
    let [first, second, third] = [0, 1, 2].map(|time| budget.open(ms(time)));
    assert_eq!(budget.grow(ms(0), first, 2 * PART), Growth::Granted);
    assert_eq!(budget.grow(ms(1), second, PART), Growth::Wait);
    assert_eq!(budget.grow(ms(2), third, 2 * PART), Growth::Wait);
    budget.receive(ms(3), first, 2 * PART);
    assert!(budget.complete(first));
    budget.close(first);
    assert_eq!(budget.grow(ms(4), second, PART), Growth::Wait);
    assert_eq!(budget.grow(ms(4), third, 2 * PART), Growth::Granted);
    budget.close(third);
    assert_eq!(budget.grow(ms(5), second, PART), Growth::Granted);
}

/// Without a slow body, newcomers wait for a limited time. Complete bodies stay.
#[test]
fn grow_refuses_after_wait() {
    let (mut budget, first, second) = nearly_exhausted();
    assert!(budget.complete(first) && budget.complete(second));
    let third = budget.open(ms(5000));
    assert_eq!(receive(&mut budget, ms(5000), third, PART), Growth::Wait);
    assert_eq!(receive(&mut budget, ms(5900), third, PART), Growth::Wait);
    assert_eq!(receive(&mut budget, ms(6000), third, PART), Growth::Refused);
}

proptest! {
    /// Whatever bodies do, the charge stays within the limit plus one body that was alone,
    /// and is zero once all are closed.
    #[test]
    fn grow_stays_within_limit(steps in prop::collection::vec((0..20_usize, 0..4_u8, 1..300_usize), 1..400)) {
        let mut budget = Budget::new(MEMORY);
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
                    if receive(&mut budget, now, id, grown) == Growth::Granted {
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
