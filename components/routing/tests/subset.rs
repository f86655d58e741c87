//! Subsets are deterministic, stable and evenly distributed.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};

use routing::subset::pick;
use tables::Name;

fn members(count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("server-{i}").into()).collect()
}

#[test]
fn pick_is_independent_of_order() {
    let mut members = members(100);
    let before = pick("e1", &members, 20);
    members.reverse();
    assert_eq!(pick("e1", &members, 20), before);
    assert_eq!(pick("e1", &members, 500).len(), 100);
}

#[test]
fn pick_after_member_left() {
    let mut members = members(100);
    let before: HashSet<Name> = pick("e1", &members, 20).into_iter().collect();
    for index in 0..100 {
        let left = members.remove(index);
        let after: HashSet<Name> = pick("e1", &members, 20).into_iter().collect();
        let changed = before.difference(&after).count();
        assert_eq!(changed, usize::from(before.contains(&left)));
        members.insert(index, left);
    }
}

#[test]
fn pick_covers_members_evenly() {
    let members = members(1200);
    let mut entries_by_member: HashMap<Name, usize> = HashMap::new();
    for entry in 0..64 {
        for member in pick(&format!("entry-{entry}"), &members, 225) {
            *entries_by_member.entry(member).or_default() += 1;
        }
    }
    assert_eq!(entries_by_member.len(), members.len());
    let most = entries_by_member.values().max().unwrap();
    let least = entries_by_member.values().min().unwrap();
    assert!(*least >= 2 && *most <= 26, "{least} to {most}, mean 12");
}
