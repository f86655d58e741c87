//! Time in which a map reaches all agents over the leader's link.

use std::time::Duration;

use group::placement::even::Assignment;
use group::switch::{Action, Order};
use rank::fanout::{relay_groups, shared_version};
use rstest::rstest;

/// Returns the time until the last agent receives a message, if each link sends
/// one copy after the other.
fn delivery_time(agents: u32, bytes: usize, rate: f64) -> Duration {
    let copy = bytes as f64 / rate;
    let groups = relay_groups((0..agents).collect(), bytes, rate);
    let arrival = |(index, group): (usize, &Vec<u32>)| (index + group.len()) as f64 * copy;
    let last = groups.iter().enumerate().map(arrival).fold(0.0, f64::max);
    assert_eq!(groups.iter().flatten().count(), agents as usize, "every agent is in one group");
    Duration::from_secs_f64(last)
}

/// Sizes of the present deployments and beyond. A map must be in use within a
/// second at every size; half of that is available for sending it to all agents.
#[rstest]
#[case::few_ranks(12, 600, 20.0)]
#[case::many_ranks(63, 3_800, 8.0)]
#[case::most_ranks(129, 11_400, 6.0)]
#[case::twice_as_many(258, 11_400, 6.0)]
fn relay_groups_deliver_in_time(#[case] ranks: u32, #[case] bytes: usize, #[case] mbit: f64) {
    let took = delivery_time(ranks - 1, bytes, mbit * 1e6 / 8.0);
    assert!(took <= Duration::from_millis(500), "{took:?}");
}

#[test]
fn relay_groups_without_targets() {
    assert!(relay_groups(Vec::<u32>::new(), 1000, 1000.0).is_empty());
}

/// An abandoned change is undone with a different map for each rank, so none of
/// these maps may be relayed to other ranks.
#[rstest]
#[case::same_map(&[5, 5, 5], Some(5))]
#[case::different_maps(&[5, 6], None)]
#[case::empty(&[], None)]
fn shared_version_of_actions(#[case] versions: &[u64], #[case] expected: Option<u64>) {
    let prepare = |(rank, version): (usize, &u64)| {
        let map = Assignment::round_robin(3, 1, 6).into();
        Action::Order(rank as u32, Order::Prepare { version: *version, map })
    };
    let actions: Vec<Action> = versions.iter().enumerate().map(prepare).collect();
    assert_eq!(shared_version(&actions), expected);
}
