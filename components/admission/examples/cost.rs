//! Measures the time that the queue takes per request with 10, 300 and 2700
//! accounts.

use std::hint::black_box;
use std::time::{Duration, Instant};

use admission::queue::{Item, Queue};
use wire::Class;

/// Number of requests measured.
const REQUESTS: u64 = 20_000;

fn main() {
    println!("accounts waiting push_wait_pop_us");
    for accounts in [10u64, 300, 2700] {
        let mut queue = Queue::new(8192);
        let now = Duration::from_secs(1);
        let item = |ticket: u64| Item {
            ticket,
            account: format!("account-{}", ticket % accounts).into(),
            weight: 1,
            class: Class::Interactive,
            deadline: Duration::from_secs(100),
            cost: 1,
        };
        for ticket in 0..accounts {
            black_box(queue.push(now, item(ticket)).is_ok());
        }
        let start = Instant::now();
        for ticket in accounts..accounts + REQUESTS {
            let item = item(ticket);
            black_box(queue.estimated_wait(now, Class::Interactive, &item.account));
            black_box(queue.push(now, item).is_ok());
            black_box(queue.next(now, 1, 64));
        }
        let cost_us = start.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64;
        println!("{accounts} {} {cost_us:.2}", queue.len());
    }
}
