//! How what all agents of a group have to know, or tell, fits through the
//! leader's link.

use std::time::Duration;

use group::switch::{Action, Order};

/// Part of the leader's link that the demand of sampled ranks may take. Reports
/// and orders need the rest.
const DEMAND_SHARE: f64 = 0.25;

/// Most ranks whose choices are read: so many tell the demand of all.
const SAMPLED_MOST: u32 = 16;

/// Fewest ranks whose choices are read, however narrow the link.
const SAMPLED_LEAST: u32 = 4;

/// Time for which sending one thing to all agents may occupy the leader's link.
/// If it took longer, some agents pass it on.
const DIRECT_LIMIT: Duration = Duration::from_millis(50);

/// Ranks whose choices are read, if each tells `bytes` once an `interval` over
/// the leader's link of `rate` bytes a second.
///
/// ```
/// use std::time::Duration;
/// use rank::fanout::sampled;
/// let interval = Duration::from_millis(200);
/// assert_eq!(sampled(300, 2_500_000.0, interval), 16);
/// assert_eq!(sampled(4_100, 750_000.0, interval), 9);
/// ```
pub fn sampled(bytes: usize, rate: f64, interval: Duration) -> u32 {
    let fitting = DEMAND_SHARE * rate * interval.as_secs_f64() / bytes.max(1) as f64;
    (fitting as u32).clamp(SAMPLED_LEAST, SAMPLED_MOST)
}

/// Groups in which something of `bytes` reaches all of `targets`: the first of
/// a group gets it from the leader and passes it on to the others. With as many
/// groups as a group has members, the leader and those that pass it on send
/// about equally much.
///
/// ```
/// use rank::fanout::groups;
/// let targets: Vec<u32> = (0..100).collect();
/// assert_eq!(groups(targets.clone(), 600, 2_500_000.0).len(), 100);
/// assert_eq!(groups(targets, 12_000, 750_000.0).len(), 10);
/// ```
pub fn groups<T>(targets: Vec<T>, bytes: usize, rate: f64) -> Vec<Vec<T>> {
    let all = targets.len() * bytes;
    let size = if all as f64 <= rate * DIRECT_LIMIT.as_secs_f64() {
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

/// The version of the map that an action has a rank copy.
pub fn version(action: &Action) -> Option<u64> {
    match action {
        Action::Order(_, Order::Prepare { version, .. }) => Some(*version),
        _ => None,
    }
}

/// The version of the one map that all actions have ranks copy. Nothing if they
/// differ: a rank that is kept from being armed copies a map of its own, which
/// nobody may pass on to another.
pub fn shared(actions: &[Action]) -> Option<u64> {
    let first = version(actions.first()?)?;
    actions.iter().all(|action| version(action) == Some(first)).then_some(first)
}
