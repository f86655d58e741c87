//! Exhaustive search over all orders of events of a small system: two agents and
//! one key, with up to two resends, one crash, one lost reply and one abandoned grant.
#![allow(clippy::unwrap_used, dead_code, missing_docs)]

mod common;

use std::collections::HashSet;
use std::time::Duration;

use claims::Settings;
use common::World;
use rstest::rstest;
use xxhash_rust::xxh3::xxh3_128;

/// Remaining number of events of each kind in a run.
#[derive(Clone, Copy, Debug)]
struct Budget {
    begins: u32,
    crashes: u32,
    losses: u32,
    abandons: u32,
}

#[derive(Clone, Debug)]
struct Node {
    world: World,
    budget: Budget,
}

fn settings() -> Settings {
    let zero = Duration::ZERO;
    Settings { pace: zero, backoff: zero, ..Settings::default() }
}

/// Returns all nodes reachable by one event.
fn successors(node: &Node) -> Vec<Node> {
    let mut next = Vec::new();
    let mut push = |budget: Budget, event: &dyn Fn(&mut World)| {
        let mut world = node.world.clone();
        event(&mut world);
        next.push(Node { world, budget });
    };
    let budget = node.budget;
    for position in 0..node.world.calls.len() {
        let call = &node.world.calls[position];
        match call.reply {
            None => push(budget, &|world| world.apply(position)),
            Some(_) => push(budget, &|world| world.deliver(position)),
        }
        if !call.timed_out && budget.losses > 0 {
            let budget = Budget { losses: budget.losses - 1, ..budget };
            push(budget, &|world| world.fail(position));
        }
    }
    for agent in 0..node.world.agents.len() {
        let has_state = node.world.agents[agent].ledger.dump().loaded > 0;
        if budget.begins > 0 {
            let budget = Budget { begins: budget.begins - 1, ..budget };
            push(budget, &|world| {
                world.begin(agent, 0, 0, Duration::from_secs(9));
            });
        }
        if budget.crashes > 0 && has_state {
            let budget = Budget { crashes: budget.crashes - 1, ..budget };
            push(budget, &|world| world.crash(agent));
        }
        if !node.world.agents[agent].granted.is_empty() {
            push(budget, &|world| world.dispatch(agent, 0));
            if budget.abandons > 0 {
                let budget = Budget { abandons: budget.abandons - 1, ..budget };
                push(budget, &|world| world.abandon(agent, 0));
            }
        }
        if !node.world.agents[agent].running.is_empty() {
            push(budget, &|world| world.finish(agent, 0, true));
        }
    }
    next
}

/// Checks that every request of a live agent is granted or denied when no event
/// is left.
fn check_final_state(node: &Node) {
    let world = &node.world;
    let open = world.tickets.iter().filter(|ticket| !ticket.granted && ticket.denial.is_none());
    let mut unanswered =
        open.filter(|ticket| world.agents[ticket.agent].incarnation == ticket.incarnation);
    assert_eq!(
        unanswered.next().map(|ticket| ticket.key),
        None,
        "a request was neither granted nor denied"
    );
}

/// Returns the number of distinct states up to a depth, and the depth reached.
fn search(budget: Budget, depth: usize) -> (usize, usize) {
    let mut seen = HashSet::new();
    let mut frontier = vec![Node { world: World::new(2, settings()), budget }];
    for level in 0..depth {
        let mut next = Vec::new();
        for node in &frontier {
            let is_new = |node: &Node| seen.insert(xxh3_128(format!("{node:?}").as_bytes()));
            let successors = successors(node);
            if successors.is_empty() {
                check_final_state(node);
            }
            next.extend(successors.into_iter().filter(is_new));
        }
        if next.is_empty() {
            return (seen.len(), level);
        }
        frontier = next;
    }
    (seen.len(), depth)
}

#[rstest]
#[case::resend_and_loss(Budget { begins: 2, crashes: 0, losses: 1, abandons: 1 }, 30, 1000)]
#[case::resend_and_crash(Budget { begins: 2, crashes: 1, losses: 1, abandons: 0 }, 60, 1000)]
#[case::two_resends(Budget { begins: 3, crashes: 1, losses: 1, abandons: 1 }, 10, 1000)]
#[case::two_resends_and_loss(Budget { begins: 3, crashes: 0, losses: 1, abandons: 0 }, 14, 1000)]
fn claim_every_order(#[case] budget: Budget, #[case] depth: usize, #[case] min_states: usize) {
    let (states, reached) = search(budget, depth);
    println!("{budget:?}: {states} states, depth {reached} of at most {depth}");
    assert!(states > min_states);
}
