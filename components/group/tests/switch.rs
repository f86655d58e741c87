//! Tests of single cases in a change of the expert map.
#![allow(clippy::unwrap_used)]

mod switch_world;

use std::ops::Range;
use std::time::Duration;

use group::switch::{Action, Armed, Leader, Order};
use switch_world::{MODEL, RANKS, TICK, World, leader, order_name};

const ALL_RANKS: Range<usize> = 0..RANKS as usize;

/// Tokens by expert, skewed enough to cause a change of the map.
const SKEWED: [u32; 6] = [9000, 10, 10, 10, 10, 10];

#[test]
fn step_change_in_order() {
    let mut world = World::new(1);
    world.faults = false;
    let mut first = leader(0, 1);
    let mut orders = Vec::new();
    for _ in 0..200 {
        world.now += TICK;
        for action in world.update_and_step(&mut first, ALL_RANKS, Some(&SKEWED)) {
            if let Action::Order(rank, order) | Action::Direct(rank, order) = action {
                orders.push((rank, order_name(&order)));
                world.execute(rank as usize, 1, &order);
            }
        }
        world.run_pass(1);
        if world.ranks[0].map > 0 {
            break;
        }
    }
    // Of the ranks on other hosts than the leader's, rank 2 sent its status last.
    let expected = [
        (0, "Prepare"),
        (1, "Prepare"),
        (2, "Prepare"),
        (2, "Hold"),
        (2, "Arm"),
        (0, "Arm"),
        (1, "Arm"),
        (2, "Release"),
    ];
    assert_eq!(orders, expected.map(|(rank, order)| (rank, order.to_owned())));
    assert!(world.ranks[0].map > 0);
}

#[test]
fn step_without_all_ranks_does_nothing() {
    let mut world = World::new(1);
    let mut incomplete = leader(0, 1);
    let status = world.status(0, true);
    incomplete.handle_status(Duration::ZERO, status);
    assert!(incomplete.step(Duration::from_secs(1)).is_empty());
}

/// A crashed leader left a hold before any map was ready on all ranks. It is
/// released only once the group waits for it: otherwise another leader might hold
/// the same pass again, and a repeated release would let it begin.
#[test]
fn step_releases_orphaned_hold() {
    let mut world = World::new(1);
    world.ranks[1].held = Some(40);
    world.step = 38;
    assert!(world.update_and_step(&mut leader(0, 1), ALL_RANKS, None).is_empty());
    world.step = 39;
    let actions = world.update_and_step(&mut leader(0, 1), ALL_RANKS, None);
    assert_eq!(actions, [Action::Order(1, Order::Release { step: 40 })]);
}

/// A crashed leader armed the rank that holds the pass: the next leader arms the
/// other ranks.
#[test]
fn step_completes_change_of_another_leader() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
    }
    world.ranks[0].held = Some(40);
    world.ranks[0].armed = Some(Armed { version: 5, step: 40 });
    let arm = |rank| Action::Order(rank, Order::Arm { version: 5, step: 40 });
    assert_eq!(world.update_and_step(&mut leader(1, 1), ALL_RANKS, None), [arm(1), arm(2)]);
}

/// All ranks have prepared this leader's map, but another leader ordered the hold,
/// and its delayed release may still arrive.
#[test]
fn step_abandons_hold_of_another_leader() {
    let mut world = World::new(1);
    let mut own = leader(0, 1);
    for tick in 1..20 {
        world.now = TICK * tick;
        let actions = world.update_and_step(&mut own, ALL_RANKS, Some(&SKEWED));
        let orders = world.execute_all(actions);
        if world.ranks[2].held.is_some() {
            assert_eq!(orders, [(2, "Prepare".to_owned())]);
            return;
        }
        if world.ranks.iter().all(|rank| rank.prepared > 0) {
            world.ranks[2].held = Some(90);
        }
    }
    panic!("no map was prepared");
}

/// The holder is armed, but another leader had a rank prepare a later version: the
/// change is rolled back, the holder last, and no delayed order can resume it.
#[test]
fn step_rolls_back_superseded_change() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        (rank.prepared, rank.highest) = (5, 5);
    }
    (world.ranks[0].prepared, world.ranks[0].highest) = (6, 6);
    let armed = Some(Armed { version: 5, step: 40 });
    (world.ranks[1].armed, world.ranks[2].armed) = (armed, armed);
    world.ranks[1].held = Some(40);
    world.step = 39;
    let mut next = leader(2, 1);
    let mut orders = Vec::new();
    for tick in 0..8 {
        world.now = TICK * tick;
        let actions = world.update_and_step(&mut next, ALL_RANKS, None);
        orders.extend(world.execute_all(actions));
    }
    let expected = [(2, "Disarm"), (2, "Prepare"), (1, "Disarm"), (1, "Prepare"), (1, "Release")];
    assert_eq!(orders, expected.map(|(rank, order)| (rank, order.to_owned())));
    for rank in 0..RANKS as usize {
        world.execute(rank, 1, &Order::Arm { version: 5, step: 40 });
        assert_eq!(world.ranks[rank].armed, None);
    }
}

/// A delayed hold of an earlier leader arrives while the rank is armed for a later
/// pass: the hold is released, and the switch continues.
#[test]
fn step_releases_delayed_hold() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
        rank.armed = Some(Armed { version: 5, step: 40 });
    }
    world.ranks[1].held = Some(30);
    world.step = 29;
    let actions = world.update_and_step(&mut leader(0, 1), ALL_RANKS, None);
    assert_eq!(actions, [Action::Order(1, Order::Release { step: 30 })]);
}

/// The leader froze with a hold on its rank: the next leader reads that rank and
/// sends it orders directly, even if the direct report is recent.
#[test]
fn step_releases_hold_of_frozen_leader() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
        rank.armed = Some(Armed { version: 5, step: 40 });
    }
    world.ranks[0].held = Some(40);
    let mut next = leader(1, 1);
    let now = Duration::from_secs(1);
    for index in 1..RANKS as usize {
        let status = world.status(index, false);
        next.handle_status(now, status);
    }
    let status = world.status(0, false);
    next.handle_direct_status(now, status);
    let release = Order::Release { step: 40 };
    let expected = [Action::Direct(0, release.clone()), Action::Order(0, release)];
    assert_eq!(next.step(now), expected);
}

/// The leader's host froze right after the hold on another rank, and no rank was
/// armed: the next leader prevents any from being armed, then releases the hold.
#[test]
fn step_abandons_hold_of_frozen_leader() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
        rank.highest = 5;
    }
    world.ranks[1].held = Some(40);
    world.step = 39;
    let mut next = leader(2, 1);
    let mut orders = Vec::new();
    for tick in 0..4 {
        world.now = TICK * tick;
        let actions = world.update_and_step(&mut next, 1..RANKS as usize, None);
        orders.extend(world.execute_all(actions));
    }
    assert_eq!(orders, [(1, "Prepare".to_owned()), (1, "Release".to_owned())]);
    world.execute(1, 1, &Order::Arm { version: 5, step: 40 });
    assert_eq!(world.ranks[1].armed, None, "a delayed order of the old leader must have no effect");
}

/// Reports skewed demand until the leader plans a change. Returns its version; its orders
/// are lost.
fn plan_without_orders(world: &mut World, leader: &mut Leader) -> u64 {
    for _ in 0..20 {
        world.now += TICK;
        let actions = world.update_and_step(leader, ALL_RANKS, Some(&SKEWED));
        if let Some(version) = actions.iter().find_map(planned_version) {
            return version;
        }
    }
    panic!("no map was planned");
}

fn planned_version(action: &Action) -> Option<u64> {
    match action {
        Action::Planned(plan) => Some(plan.version),
        _ => None,
    }
}

/// A fence that shares the planned map's version makes its rank look ready for that map.
#[test]
fn step_fences_under_new_version() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        (rank.prepared, rank.highest) = (5, 5);
    }
    let mut own = leader(0, 1);
    let planned = plan_without_orders(&mut world, &mut own);
    // A delayed hold of an earlier leader.
    world.ranks[2].held = Some(90);
    world.now += TICK;
    let actions = world.update_and_step(&mut own, ALL_RANKS, None);
    let fence = actions.iter().find_map(|action| match action {
        Action::Fenced(2, version) => Some(*version),
        _ => None,
    });
    assert!(fence.unwrap() > planned, "{fence:?} is not above {planned}");
}

/// Orders of a plan that was discarded with its model may still be executed.
#[test]
fn change_model_keeps_versions_used() {
    let mut world = World::new(1);
    let mut own = leader(0, 1);
    let before = plan_without_orders(&mut world, &mut own);
    own.change_model(MODEL);
    let after = plan_without_orders(&mut world, &mut own);
    assert!(after > before, "{after} is not above {before}");
}
