//! How soon a map reaches all agents over the leader's narrow link.

use std::time::Duration;

use group::placement::even::Assignment;
use group::switch::{Action, Order};
use rank::fanout::{groups, shared};
use rstest::rstest;

/// Time until the last agent has something, if each link carries one copy after
/// the other.
fn spread(agents: u32, bytes: usize, rate: f64) -> Duration {
    let copy = bytes as f64 / rate;
    let groups = groups((0..agents).collect(), bytes, rate);
    let arrival = |(index, group): (usize, &Vec<u32>)| (index + group.len()) as f64 * copy;
    let last = groups.iter().enumerate().map(arrival).fold(0.0, f64::max);
    assert_eq!(groups.iter().flatten().count(), agents as usize, "all are reached");
    Duration::from_secs_f64(last)
}

/// The sites of today, and groups beyond them. In use within a second at every
/// size leaves half of it for the spread.
#[rstest]
#[case::few_ranks(12, 600, 20.0)]
#[case::many_ranks(63, 3_800, 8.0)]
#[case::most_ranks(129, 11_400, 6.0)]
#[case::twice_as_many(258, 11_400, 6.0)]
fn groups_reach_all_soon(#[case] ranks: u32, #[case] bytes: usize, #[case] mbit: f64) {
    let took = spread(ranks - 1, bytes, mbit * 1e6 / 8.0);
    assert!(took <= Duration::from_millis(500), "{took:?}");
}

#[test]
fn groups_of_nobody() {
    assert!(groups(Vec::<u32>::new(), 1000, 1000.0).is_empty());
}

/// A change that can't be made is undone with a map of its own for each rank:
/// none of them is passed on in place of another.
#[rstest]
#[case::one_map(&[5, 5, 5], Some(5))]
#[case::maps_of_their_own(&[5, 6], None)]
#[case::nothing(&[], None)]
fn shared_map(#[case] versions: &[u64], #[case] expected: Option<u64>) {
    let copy = |(rank, version): (usize, &u64)| {
        let map = Assignment::round_robin(3, 1, 6).into();
        Action::Order(rank as u32, Order::Prepare { version: *version, map })
    };
    let actions: Vec<Action> = versions.iter().enumerate().map(copy).collect();
    assert_eq!(shared(&actions), expected);
}
