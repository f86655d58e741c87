//! Keeps traffic between the leader and all agents of a group within the rate
//! of the leader's link.

use std::time::Duration;

use group::switch::{Action, Order};

/// Fraction of the leader's link rate for demand from sampled ranks. The rest is
/// left to reports and orders.
const DEMAND_LINK_SHARE: f64 = 0.25;

/// Maximum number of sampled ranks: enough to estimate the demand of all ranks.
const MAX_SAMPLED_RANKS: u32 = 16;

/// Minimum number of sampled ranks, whatever the link rate.
const MIN_SAMPLED_RANKS: u32 = 4;

/// Longest time that a message sent directly to all agents may occupy the
/// leader's link. Larger messages are relayed by some agents.
const MAX_DIRECT_SEND_TIME: Duration = Duration::from_millis(50);

/// Returns the number of ranks whose expert choices are sampled, if each sends
/// `bytes` once per `interval` over the leader's link of `rate` bytes per second.
///
/// ```
/// use std::time::Duration;
/// use rank::fanout::sampled_ranks;
/// let interval = Duration::from_millis(200);
/// assert_eq!(sampled_ranks(300, 2_500_000.0, interval), 16);
/// assert_eq!(sampled_ranks(4_100, 750_000.0, interval), 9);
/// ```
pub fn sampled_ranks(bytes: usize, rate: f64, interval: Duration) -> u32 {
    let affordable = DEMAND_LINK_SHARE * rate * interval.as_secs_f64() / bytes.max(1) as f64;
    (affordable as u32).clamp(MIN_SAMPLED_RANKS, MAX_SAMPLED_RANKS)
}

/// Splits `targets` into groups for sending them a message of `bytes` at `rate`
/// bytes per second. The leader sends it to the first of each group, which relays
/// it to the others. Relaying uses as many groups as a group has members, so that
/// the leader and the relays send about equally much.
///
/// ```
/// use rank::fanout::relay_groups;
/// let targets: Vec<u32> = (0..100).collect();
/// assert_eq!(relay_groups(targets.clone(), 600, 2_500_000.0).len(), 100);
/// assert_eq!(relay_groups(targets, 12_000, 750_000.0).len(), 10);
/// ```
pub fn relay_groups<T>(targets: Vec<T>, bytes: usize, rate: f64) -> Vec<Vec<T>> {
    let total_bytes = targets.len() * bytes;
    let size = if total_bytes as f64 <= rate * MAX_DIRECT_SEND_TIME.as_secs_f64() {
        1
    } else {
        (targets.len() as f64).sqrt().ceil() as usize
    };
    let mut groups = Vec::new();
    let mut targets = targets.into_iter().peekable();
    while targets.peek().is_some() {
        groups.push(targets.by_ref().take(size).collect());
    }
    groups
}

/// Returns the map version of a prepare order, `None` for other actions.
pub fn prepare_version(action: &Action) -> Option<u64> {
    match action {
        Action::Order(_, Order::Prepare { version, .. }) => Some(*version),
        _ => None,
    }
}

/// Returns the map version if all actions are prepare orders of the same version.
/// Versions differ if ranks are fenced: each of these copies a map of its own,
/// which must not be relayed to other ranks.
pub fn shared_version(actions: &[Action]) -> Option<u64> {
    let first = prepare_version(actions.first()?)?;
    actions.iter().all(|action| prepare_version(action) == Some(first)).then_some(first)
}
