//! Changes of the expert map, case by case.
#![allow(clippy::unwrap_used)]

mod switch_world;

use std::ops::Range;
use std::time::Duration;

use group::switch::{Action, Armed, Order};
use switch_world::{RANKS, TICK, World, leader, name};

/// All ranks.
const ALL: Range<usize> = 0..RANKS as usize;

/// Tokens by expert for which a map is changed.
const SKEWED: [u32; 6] = [9000, 10, 10, 10, 10, 10];

#[test]
fn step_change_in_order() {
    let mut world = World::new(1);
    world.faults = false;
    let mut first = leader(0, 1);
    let mut orders = Vec::new();
    for _ in 0..200 {
        world.now += TICK;
        for action in world.consult(&mut first, ALL, Some(&SKEWED)) {
            if let Action::Order(rank, order) | Action::Direct(rank, order) = action {
                orders.push((rank, name(&order)));
                world.carry_out(rank as usize, 1, &order);
            }
        }
        world.pass(1);
        if world.ranks[0].map > 0 {
            break;
        }
    }
    // Rank 2 was heard last of those that don't stand beside the leader.
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
    let mut alone = leader(0, 1);
    let status = world.status(0, true);
    alone.handle_status(Duration::ZERO, status);
    assert!(alone.step(Duration::from_secs(1)).is_empty());
}

/// A hold that a dead leader left behind before any map was ready everywhere is
/// released once the group waits for it: until then somebody else might hold
/// the same pass, and a repeated release would let it begin.
#[test]
fn step_releases_stray_hold() {
    let mut world = World::new(1);
    world.ranks[1].held = Some(40);
    world.step = 38;
    assert!(world.consult(&mut leader(0, 1), ALL, None).is_empty());
    world.step = 39;
    let actions = world.consult(&mut leader(0, 1), ALL, None);
    assert_eq!(actions, [Action::Order(1, Order::Release { step: 40 })]);
}

/// A dead leader armed the rank that holds the pass: the others follow.
#[test]
fn step_finishes_what_another_began() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
    }
    world.ranks[0].held = Some(40);
    world.ranks[0].armed = Some(Armed { version: 5, step: 40 });
    let arm = |rank| Action::Order(rank, Order::Arm { version: 5, step: 40 });
    assert_eq!(world.consult(&mut leader(1, 1), ALL, None), [arm(1), arm(2)]);
}

/// All ranks have this leader's map ready, but the pass that is held was held
/// by somebody else, whose late release may be on its way.
#[test]
fn step_abandons_hold_of_another_leader() {
    let mut world = World::new(1);
    let mut own = leader(0, 1);
    for tick in 1..20 {
        world.now = TICK * tick;
        let actions = world.consult(&mut own, ALL, Some(&SKEWED));
        let orders = world.carry_out_all(actions);
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

/// The holder is armed, but another leader had a rank copy a later version: the
/// change is undone, the holder last, and no late order can bring it back.
#[test]
fn step_undoes_overtaken_change() {
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
        let actions = world.consult(&mut next, ALL, None);
        orders.extend(world.carry_out_all(actions));
    }
    let expected = [(2, "Disarm"), (2, "Prepare"), (1, "Disarm"), (1, "Prepare"), (1, "Release")];
    assert_eq!(orders, expected.map(|(rank, order)| (rank, order.to_owned())));
    for rank in 0..RANKS as usize {
        world.carry_out(rank, 1, &Order::Arm { version: 5, step: 40 });
        assert_eq!(world.ranks[rank].armed, None);
    }
}

/// An earlier leader's hold came late, while the rank is armed for a pass
/// further on: it is released, and the switch goes on.
#[test]
fn step_releases_late_hold() {
    let mut world = World::new(1);
    for rank in &mut world.ranks {
        rank.prepared = 5;
        rank.armed = Some(Armed { version: 5, step: 40 });
    }
    world.ranks[1].held = Some(30);
    world.step = 29;
    let actions = world.consult(&mut leader(0, 1), ALL, None);
    assert_eq!(actions, [Action::Order(1, Order::Release { step: 30 })]);
}

/// The leader is frozen with a hold on its rank: the next one reads that rank
/// from afar and orders it directly, however fresh the report is.
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

/// The leader's host froze right after the hold, which another rank keeps. No
/// rank was armed: the next leader makes sure that none will be, then goes on.
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
        let actions = world.consult(&mut next, 1..RANKS as usize, None);
        orders.extend(world.carry_out_all(actions));
    }
    assert_eq!(orders, [(1, "Prepare".to_owned()), (1, "Release".to_owned())]);
    world.carry_out(1, 1, &Order::Arm { version: 5, step: 40 });
    assert_eq!(world.ranks[1].armed, None, "the old leader's late order changes nothing");
}
