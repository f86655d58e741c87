//! How soon a map reaches all agents over the leader's narrow link.

use std::time::Duration;

use rank::spread::groups;
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
