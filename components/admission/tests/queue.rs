//! Tests of the queue: order, capacity, deadlines and fairness.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use admission::experiment::{Discipline, flood};
use admission::queue::{Full, Item, Queue};
use rstest::rstest;
use wire::Class;

const NOW: Duration = Duration::from_secs(1);

fn item(ticket: u64, account: &str, class: Class) -> Item {
    let deadline = Duration::from_secs(100);
    Item { ticket, account: account.into(), weight: 1, class, deadline, cost: 10 }
}

fn pop_all(queue: &mut Queue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop(NOW)).map(|item| item.ticket).collect()
}

#[test]
fn pop_interactive_before_batch() {
    let mut queue = Queue::new(16);
    queue.push(NOW, item(1, "a", Class::Batch)).unwrap();
    queue.push(NOW, item(2, "b", Class::Interactive)).unwrap();
    assert_eq!(pop_all(&mut queue), [2, 1]);
}

#[test]
fn pop_alternates_among_accounts() {
    let mut queue = Queue::new(64);
    for ticket in 0..4 {
        queue.push(NOW, item(ticket, "large", Class::Interactive)).unwrap();
    }
    queue.push(NOW, item(10, "small", Class::Interactive)).unwrap();
    queue.push(NOW, item(11, "small", Class::Interactive)).unwrap();
    assert_eq!(pop_all(&mut queue), [0, 10, 1, 11, 2, 3]);
}

#[test]
fn pop_by_weight() {
    let mut queue = Queue::new(256);
    for ticket in 0..30 {
        let heavy = Item { weight: 3, ..item(ticket, "heavy", Class::Interactive) };
        queue.push(NOW, heavy).unwrap();
        queue.push(NOW, item(100 + ticket, "light", Class::Interactive)).unwrap();
    }
    let first: Vec<u64> = pop_all(&mut queue).into_iter().take(20).collect();
    let heavy = first.iter().filter(|ticket| **ticket < 100).count();
    assert!((14..=16).contains(&heavy), "{heavy} of 20");
}

#[test]
fn pop_expired() {
    let mut queue = Queue::new(16);
    let expired = Item { deadline: NOW, ..item(1, "a", Class::Interactive) };
    queue.push(Duration::ZERO, expired.clone()).unwrap();
    queue.push(Duration::ZERO, item(2, "a", Class::Interactive)).unwrap();
    assert_eq!(queue.pop(NOW).unwrap().ticket, 2);
    assert_eq!(queue.expire(NOW), [expired]);
    assert_eq!(queue.expire(NOW), []);
    assert!(queue.is_empty());
}

#[test]
fn push_beyond_capacity() {
    let mut queue = Queue::new(16);
    let mut results = Vec::new();
    for ticket in 0..16 {
        results.push(queue.push(NOW, item(ticket, "flood", Class::Interactive)));
    }
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 6);
    assert_eq!(results[15], Err(Full::Share));
    queue.push(NOW, item(20, "other", Class::Interactive)).unwrap();
    for ticket in 100..400 {
        let _ = queue.push(NOW, item(ticket, &format!("a{ticket}"), Class::Interactive));
    }
    assert_eq!(queue.len(), 12);
    assert_eq!(queue.push(NOW, item(500, "late", Class::Interactive)), Err(Full::Queue));
}

#[test]
fn remove_waiting_request() {
    let mut queue = Queue::new(16);
    queue.push(NOW, item(1, "a", Class::Interactive)).unwrap();
    queue.push(NOW, item(2, "a", Class::Interactive)).unwrap();
    assert!(queue.remove(1));
    assert!(!queue.remove(1));
    assert_eq!(queue.len(), 1);
    assert_eq!(pop_all(&mut queue), [2]);
}

#[test]
fn estimated_wait_of_small_account_during_flood() {
    let mut queue = Queue::new(64);
    queue.record_service_time(NOW, Duration::from_millis(100));
    for ticket in 0..20 {
        queue.push(NOW, item(ticket, "flood", Class::Interactive)).unwrap();
    }
    let small = queue.estimated_wait(NOW, Class::Interactive, "small");
    let flood = queue.estimated_wait(NOW, Class::Interactive, "flood");
    let batch = queue.estimated_wait(NOW, Class::Batch, "small");
    assert_eq!(small, Duration::from_millis(200));
    assert_eq!(flood, Duration::from_millis(2100));
    assert_eq!(batch, Duration::from_millis(2100));
}

#[test]
fn estimated_wait_follows_pop_rate() {
    let mut queue = Queue::new(64);
    queue.record_service_time(NOW, Duration::from_secs(8));
    for ticket in 0..24 {
        queue.push(NOW, item(ticket, "a", Class::Interactive)).unwrap();
    }
    for number in 0..20 {
        queue.pop(NOW + Duration::from_millis(50) * number).unwrap();
    }
    let wait = queue.estimated_wait(NOW + Duration::from_secs(1), Class::Interactive, "a");
    assert!(wait <= Duration::from_millis(260), "{wait:?}");
}

#[rstest]
#[case::slots_left(20, 32, true)]
#[case::reserved_slots_left(29, 32, false)]
#[case::saturated(32, 32, false)]
fn next_of_account_with_backlog(#[case] running: u32, #[case] limit: u32, #[case] runs: bool) {
    let mut queue = Queue::new(64);
    queue.push(NOW, item(0, "small", Class::Interactive)).unwrap();
    queue.pop(NOW).unwrap();
    for ticket in 1..10 {
        queue.push(NOW, item(ticket, "flood", Class::Interactive)).unwrap();
    }
    assert_eq!(queue.next(NOW, running, limit).is_some(), runs);
    queue.push(NOW, item(20, "small", Class::Interactive)).unwrap();
    let ticket = queue.next(NOW, running, limit).map(|item| item.ticket);
    assert_eq!(ticket.is_some(), running < limit);
}

#[test]
fn next_of_only_account() {
    let mut queue = Queue::new(64);
    for ticket in 0..10 {
        queue.push(NOW, item(ticket, "flood", Class::Interactive)).unwrap();
    }
    assert!(queue.next(NOW, 31, 32).is_some());
}

/// Users' requirement: a flood of the largest account raises the p95 of the
/// smaller accounts by at most 10 %.
#[rstest]
fn flood_of_largest_account(
    #[values(1, 2, 3, 4, 5)] seed: u64,
    #[values(1.5, 5.0, 20.0)] factor: f64,
) {
    let normal = flood(seed, Discipline::Fair, 1.0);
    let flooded = flood(seed, Discipline::Fair, factor);
    assert!(flooded.small_p95 <= normal.small_p95 * 1.1, "{normal:?} {flooded:?}");
    assert_eq!(flooded.small_lost, 0.0);
}
