//! Backend servers that say of themselves that they leave or want a pause.
#![allow(clippy::unwrap_used)]

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use balance::content::Server;
use balance::gossip::Message;
use balance::notice::Start;
use balance::{Balancer, Decision, Outcome, Reason};
use common::{blank, configured, listing, ms, ready, sent, server, submission};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

fn desk(index: u16) -> Server {
    server("desk", "a", 8000 + index)
}

fn start(server: &str, started_ms: u64) -> Start {
    Start { server: server.into(), started_ms }
}

fn chosen(balancer: &mut Balancer, now: Duration) -> BTreeSet<String> {
    common::chosen(balancer, now, "/safe/scan")
}

fn refusal(balancer: &mut Balancer, now: Duration) -> Reason {
    let mut ticket = balancer.admit(now, &submission("/safe/scan")).unwrap();
    balancer.choose(now, &mut ticket).unwrap_err().reason
}

#[test]
fn choose_spares_leaving_server() {
    let mut balancer = ready(&[("d0", desk(0)), ("d1", desk(1))]);
    // Several requests are on their way to both when the word comes.
    assert_eq!(chosen(&mut balancer, ms(100)).len(), 2);
    assert!(balancer.record_leaving(ms(200), start("d0", 1)));
    assert!(!balancer.record_leaving(ms(210), start("d0", 1)), "not news");
    for later in [201, 2_000, 60_000, 900_000] {
        balancer.tick(ms(later));
        assert_eq!(chosen(&mut balancer, ms(later)), ["d1".into()].into());
    }
}

#[test]
fn choose_spares_leaving_server_that_store_calls_ready() {
    let mut balancer = ready(&[("d0", desk(0)), ("d1", desk(1))]);
    balancer.record_leaving(ms(200), start("d0", 1));
    // Its description changes, vanishes and comes back.
    balancer.apply(ms(300), listing(4, &[("d0", Server { slots: 8, ..desk(0) }), ("d1", desk(1))]));
    assert_eq!(chosen(&mut balancer, ms(310)), ["d1".into()].into());
    balancer.apply(ms(400), listing(5, &[("d1", desk(1))]));
    balancer.tick(ms(500));
    balancer.apply(ms(600), listing(6, &[("d0", desk(0)), ("d1", desk(1))]));
    assert_eq!(chosen(&mut balancer, ms(610)), ["d1".into()].into());
}

#[test]
fn choose_takes_server_that_started_again() {
    let mut balancer = ready(&[("d0", desk(0))]);
    balancer.record_leaving(ms(200), start("d0", 1));
    assert_eq!(refusal(&mut balancer, ms(210)), Reason::NoServer);
    balancer.apply(ms(300), listing(4, &[("d0", Server { started_ms: 2, ..desk(0) })]));
    assert_eq!(chosen(&mut balancer, ms(310)), ["d0".into()].into());
    // A late answer of the start before says nothing of this one.
    balancer.record_leaving(ms(320), start("d0", 1));
    assert_eq!(chosen(&mut balancer, ms(330)), ["d0".into()].into());
}

#[test]
fn handle_leaving_from_another_entry() {
    let mut first = ready(&[("d0", desk(0)), ("d1", desk(1))]);
    let mut second = blank("entry-two");
    second.apply(ms(0), configured(2, common::config(1)));
    second.apply(ms(0), listing(3, &[("d0", desk(0)), ("d1", desk(1))]));
    first.record_leaving(ms(200), start("d0", 1));
    // An entry that stood still meanwhile hears of it once it goes on.
    let heartbeat = first.heartbeat(ms(9_000));
    assert!(matches!(&heartbeat, Message::Heartbeat(beat) if beat.departing.len() == 1));
    second.handle(ms(9_000), &"entry-1".into(), 1, &"tcp://10.0.0.1:1".into(), heartbeat);
    assert_eq!(chosen(&mut second, ms(9_001)), ["d1".into()].into());
}

#[test]
fn choose_leaves_server_in_peace_that_asks() {
    let mut balancer = ready(&[("d0", desk(0)), ("d1", desk(1))]);
    let (mut ticket, first) = sent(&mut balancer, ms(100), "/safe/scan");
    let quiet = first.clone();
    assert!(balancer.record_backoff(ms(110), start(&quiet, 1), ms(1_500)));
    // Neither retries nor others go there, and a shorter wait takes nothing back.
    let next = balancer.fail(ms(120), &mut ticket, Outcome::Refused);
    assert!(matches!(next, Decision::Retry(target) if target.server != quiet));
    balancer.record_backoff(ms(130), start(&quiet, 1), ms(10));
    assert!(!chosen(&mut balancer, ms(1_609)).contains(quiet.as_str()));
    assert!(chosen(&mut balancer, ms(1_611)).contains(quiet.as_str()));
    // Other entries decide by what the server tells them.
    let Message::Heartbeat(beat) = balancer.heartbeat(ms(1_612)) else { panic!() };
    assert!(beat.departing.is_empty());
}

/// Random answers, restarts, changes of the store and failures: nothing goes to
/// a start that said it leaves, nor to one within the pause that it asked for.
#[test]
fn choose_walk_heeds_notices() {
    for seed in 0..200 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut servers: BTreeMap<String, Server> =
            (0..4).map(|index| (format!("d{index}"), desk(index))).collect();
        let mut balancer = blank("entry-1");
        balancer.apply(ms(0), configured(2, common::config(1)));
        let (mut leaving, mut quiet) = (BTreeSet::new(), BTreeMap::new());
        let (mut now, mut sends) = (ms(0), 0);
        for revision in 3..400 {
            now += ms(rng.random_range(0..200));
            let names: Vec<String> = servers.keys().cloned().collect();
            let name = names.choose(&mut rng).unwrap();
            match rng.random_range(0..12) {
                0 => servers.get_mut(name).unwrap().started_ms = revision,
                1 => servers.get_mut(name).unwrap().slots = rng.random_range(2..9),
                _ => {}
            }
            // At times the store leaves one out.
            let hidden = rng.random_range(0..30);
            let listed: Vec<(&str, Server)> = servers
                .iter()
                .enumerate()
                .filter(|(index, _)| *index != hidden)
                .map(|(_, (name, server))| (name.as_str(), server.clone()))
                .collect();
            balancer.apply(now, listing(revision, &listed));
            balancer.tick(now);
            let mut ticket = balancer.admit(now, &submission("/safe/scan")).unwrap();
            let mut next = balancer.choose(now, &mut ticket).ok();
            while let Some(target) = next.take() {
                sends += 1;
                let start = target.start();
                assert!(!leaving.contains(&start), "seed {seed}: sent to a leaving {start:?}");
                let until = quiet.get(&start).copied().unwrap_or_default();
                assert!(now >= until, "seed {seed}: sent to {start:?}, quiet until {until:?}");
                balancer.release(&target.server);
                match rng.random_range(0..10) {
                    0 => {
                        balancer.record_leaving(now, start.clone());
                        leaving.insert(start);
                    }
                    1 | 2 => {
                        let wait = ms(rng.random_range(0..2_000));
                        balancer.record_backoff(now, start.clone(), wait);
                        quiet.insert(start, until.max(now + wait));
                        if let Decision::Retry(target) =
                            balancer.fail(now, &mut ticket, Outcome::Refused)
                        {
                            next = Some(target);
                        }
                    }
                    _ => balancer.succeed(&ticket),
                }
            }
        }
        assert!(sends > 50, "seed {seed}: only {sends} sent");
    }
}
