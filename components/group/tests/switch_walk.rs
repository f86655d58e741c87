//! Randomized tests of changes of the expert map.
#![allow(clippy::unwrap_used)]

mod switch_world;

use group::switch::Leader;
use rand::Rng;
use switch_world::{RANKS, TICK, World, leader};

/// Runs two concurrent leaders that crash, are replaced and freeze. When the
/// faults end, only one leads, and the group must continue to run.
fn walk(seed: u64) -> usize {
    let mut world = World::new(seed);
    let mut leaders = [(0, leader(0, 1)), (1, leader(1, 2))];
    let mut done = 0;
    for tick in 0..1200_u64 {
        world.now += TICK;
        world.faults = tick < 900;
        for (leader_index, (host, leader)) in leaders.iter_mut().enumerate() {
            if world.is_frozen(*host as usize) || (!world.faults && leader_index > 0) {
                continue;
            }
            world.deliver_statuses(leader, leader_index);
            world.execute_actions(leader, leader_index, &mut done);
        }
        world.execute_delayed();
        if world.rng.random_range(0..2) == 0 {
            world.run_pass(seed);
        }
        if world.faults {
            inject_faults(&mut world, &mut leaders, tick);
        } else {
            world.follows = vec![0; RANKS as usize];
        }
    }
    let before = world.step;
    for _ in 0..400 {
        world.now += TICK;
        world.deliver_statuses(&mut leaders[0].1, 0);
        world.execute_actions(&mut leaders[0].1, 0, &mut done);
        world.execute_delayed();
        world.run_pass(seed);
    }
    assert!(
        world.step > before + 200,
        "seed {seed}: the group made no progress: {:?}",
        world.ranks
    );
    done
}

fn inject_faults(world: &mut World, leaders: &mut [(u32, Leader); 2], tick: u64) {
    let leader_index = world.rng.random_range(0..leaders.len());
    if world.rng.random_range(0..60) == 0 {
        // Replaces the leader by one without any state.
        let host = world.rng.random_range(0..RANKS);
        leaders[leader_index] = (host, leader(host, tick + 3));
    }
    if world.rng.random_range(0..250) == 0 {
        world.restart();
    }
    if world.rng.random_range(0..100) == 0 {
        let host = world.rng.random_range(0..RANKS as usize);
        world.frozen_until[host] = world.now + TICK * world.rng.random_range(10..160);
    }
    if world.rng.random_range(0..40) == 0 {
        // Lets agents follow another leader: usually all of them, sometimes one.
        let all = world.rng.random_range(0..4) > 0;
        let one = world.rng.random_range(0..RANKS as usize);
        for (index, follows) in world.follows.iter_mut().enumerate() {
            if all || index == one {
                *follows = leader_index;
            }
        }
    }
}

#[test]
fn step_walk_keeps_one_map() {
    // 498: a rank prepared another leader's version while the holder was armed.
    // 292: a repeated release of an unused hold let the same pass begin, which was
    // held again for a change.
    let done: usize = (0..300).chain([498]).map(walk).sum();
    assert!(done > 300, "only {done} changes in all");
}
