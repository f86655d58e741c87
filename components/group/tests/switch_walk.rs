//! Random walks over changes of the expert map.
#![allow(clippy::unwrap_used)]

mod switch_world;

use group::switch::Leader;
use rand::Rng;
use switch_world::{RANKS, TICK, World, leader};

/// Two agents that lead side by side, come, go and freeze; with faults at an
/// end one of them leads and the group runs on.
fn walk(seed: u64) -> usize {
    let mut world = World::new(seed);
    let mut leaders = [(0, leader(0, 1)), (1, leader(1, 2))];
    let mut done = 0;
    for tick in 0..1200_u64 {
        world.now += TICK;
        world.faults = tick < 900;
        for (place, (host, leader)) in leaders.iter_mut().enumerate() {
            if world.is_frozen(*host as usize) || (!world.faults && place > 0) {
                continue;
            }
            world.tell_all(leader, place);
            world.obey(leader, place, &mut done);
        }
        world.carry_out_late();
        if world.rng.random_range(0..2) == 0 {
            world.pass(seed);
        }
        if world.faults {
            disturb(&mut world, &mut leaders, tick);
        } else {
            world.follows = vec![0; RANKS as usize];
        }
    }
    let before = world.step;
    for _ in 0..400 {
        world.now += TICK;
        world.tell_all(&mut leaders[0].1, 0);
        world.obey(&mut leaders[0].1, 0, &mut done);
        world.carry_out_late();
        world.pass(seed);
    }
    assert!(world.step > before + 200, "seed {seed}: the group stands still: {:?}", world.ranks);
    done
}

fn disturb(world: &mut World, leaders: &mut [(u32, Leader); 2], tick: u64) {
    let place = world.rng.random_range(0..leaders.len());
    if world.rng.random_range(0..60) == 0 {
        // The leader is gone; another one knows nothing of its plans.
        let host = world.rng.random_range(0..RANKS);
        leaders[place] = (host, leader(host, tick + 3));
    }
    if world.rng.random_range(0..250) == 0 {
        world.restart();
    }
    if world.rng.random_range(0..100) == 0 {
        let host = world.rng.random_range(0..RANKS as usize);
        world.frozen[host] = world.now + TICK * world.rng.random_range(10..160);
    }
    if world.rng.random_range(0..40) == 0 {
        // An agent follows another leader; mostly all do so together.
        let all = world.rng.random_range(0..4) > 0;
        let one = world.rng.random_range(0..RANKS as usize);
        for (index, follows) in world.follows.iter_mut().enumerate() {
            if all || index == one {
                *follows = place;
            }
        }
    }
}

#[test]
fn step_walk_keeps_one_map() {
    // 498: a rank copied another leader's version while the holder was armed.
    // 292: a repeated release of an unused hold let begin the same pass, held
    // again for a change.
    let done: usize = (0..300).chain([498]).map(walk).sum();
    assert!(done > 300, "only {done} changes in all");
}
