//! Recognition of prompt parts that crash backend servers.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use balance::gossip::Message;
use balance::notice::Start;
use balance::suspect::{Register, Scope, Standing};
use balance::{Balancer, Decision, Outcome, Prompt, Reason, Submission, Ticket};
use common::{ms, ready, server, submission};
use rstest::rstest;

/// A part of the prompts of several requests that crash servers.
const CRASHING: u64 = 0xbad;

/// A part that crashing and sound requests share.
const SHARED: u64 = 0x5a;

fn start(server: &str) -> Start {
    Start { server: server.into(), started_ms: 1 }
}

fn prompt(fingerprint: u64, parts: &[u64]) -> Prompt {
    Prompt { tokens: 100, fingerprint, shared_parts: parts.into() }
}

/// An entry with three model servers.
fn models() -> Balancer {
    let servers = [1, 2, 3].map(|port| (format!("m{port}"), server("models", "a", port)));
    ready(&servers.each_ref().map(|(name, server)| (&**name, server.clone())))
}

/// Admits a request with one shared part.
fn admit(balancer: &mut Balancer, fingerprint: u64, part: u64) -> Ticket {
    let shared_parts = &[part];
    let submission = Submission { fingerprint, shared_parts, ..submission("/stream/notes") };
    balancer.admit(ms(1000), &submission).unwrap()
}

fn is_blocked(register: &Register, now: Duration, parts: &[u64]) -> bool {
    matches!(register.standing(now, &prompt(99, parts)), Standing::Blocked(_))
}

/// Two requests with the part crash servers. Sound requests share their first part,
/// and are served in between.
#[test]
fn standing_part_of_two_crashes() {
    let mut register = Register::default();
    register.record_crash(ms(1000), start("a"), &prompt(1, &[SHARED, CRASHING]));
    assert_eq!(register.standing(ms(1001), &prompt(2, &[SHARED])), Standing::Suspected);
    assert_eq!(register.record_sound(ms(2000), &[SHARED]), [SHARED]);
    register.record_crash(ms(3000), start("b"), &prompt(3, &[SHARED, CRASHING]));
    assert!(is_blocked(&register, ms(3001), &[SHARED, CRASHING]));
    assert!(is_blocked(&register, ms(3001), &[7, CRASHING]));
    assert_eq!(register.standing(ms(3001), &prompt(4, &[SHARED, 7])), Standing::Clear);
}

/// Both parts are in both crashes and neither was ever answered: requests with one
/// of them alone are tried, not refused, and the result tells the parts apart.
#[rstest]
#[case::sound_alone(false)]
#[case::crashing_alone(true)]
fn standing_parts_with_the_same_evidence(#[case] crashing_first: bool) {
    let mut register = Register::default();
    for (at, name) in [(1000, "a"), (3000, "b")] {
        register.record_crash(ms(at), start(name), &prompt(at, &[SHARED, CRASHING]));
    }
    assert!(is_blocked(&register, ms(3001), &[SHARED, CRASHING]));
    for part in [SHARED, CRASHING] {
        assert_eq!(register.standing(ms(3001), &prompt(5, &[part])), Standing::Suspected);
    }
    if crashing_first {
        register.record_crash(ms(5000), start("c"), &prompt(6, &[CRASHING]));
    } else {
        register.record_sound(ms(5000), &[SHARED]);
    }
    assert!(is_blocked(&register, ms(5001), &[CRASHING]));
    assert!(!is_blocked(&register, ms(5001), &[SHARED]));
}

/// Beside the part stand parts that were answered before, at this entry or at
/// another one, and a request with such a part waits at the same server. They are
/// unlikely causes.
#[test]
fn standing_part_beside_answered_parts() {
    let (mut one, mut two) = (Register::default(), Register::default());
    two.record_sound(ms(500), &[SHARED, 7]);
    one.record_crash(ms(1000), start("a"), &prompt(1, &[SHARED, CRASHING]));
    one.record_crash(ms(1000), start("a"), &prompt(2, &[7]));
    let exchange = |one: &mut Register, two: &mut Register, at| {
        two.apply_report(at, &"entry-1".into(), one.report(at, Scope::Due));
        one.apply_report(at, &"entry-2".into(), two.report(at, Scope::Due));
    };
    exchange(&mut one, &mut two, ms(1100));
    for register in [&one, &two] {
        assert_eq!(register.standing(ms(1101), &prompt(3, &[SHARED])), Standing::Clear);
        assert_eq!(register.standing(ms(1101), &prompt(4, &[7])), Standing::Clear);
        assert_eq!(register.standing(ms(1101), &prompt(5, &[CRASHING])), Standing::Suspected);
    }
    one.record_crash(ms(3000), start("b"), &prompt(6, &[SHARED, CRASHING]));
    exchange(&mut one, &mut two, ms(3100));
    assert!(is_blocked(&one, ms(3101), &[CRASHING]));
    assert!(is_blocked(&two, ms(3101), &[CRASHING]));
}

/// Servers crash for another reason while sound requests wait there. Each part is
/// answered before the next crash.
#[test]
fn standing_sound_part_of_many_crashes() {
    let mut register = Register::default();
    for round in 1..10 {
        let at = ms(round * 1000);
        register.record_crash(at, start(&format!("s{round}")), &prompt(round, &[SHARED]));
        assert_eq!(register.standing(at, &prompt(50, &[SHARED])), Standing::Suspected);
        register.record_sound(at + ms(400), &[SHARED]);
        assert_eq!(register.standing(at + ms(401), &prompt(50, &[SHARED])), Standing::Clear);
    }
}

/// Servers fail at once while requests with the same new part wait there. That can be
/// chance, unless nothing else waited at three of them.
#[rstest]
#[case::two_servers(2, false, false)]
#[case::three_servers(3, false, true)]
#[case::among_others(5, true, false)]
fn standing_servers_that_crash_together(
    #[case] servers: u64,
    #[case] others_wait: bool,
    #[case] blocked: bool,
) {
    let mut register = Register::default();
    for index in 0..servers {
        let (at, start) = (ms(1000 + index * 20), start(&format!("s{index}")));
        register.record_crash(at, start.clone(), &prompt(index, &[CRASHING]));
        if others_wait {
            register.record_crash(at, start, &prompt(100 + index, &[index]));
        }
    }
    assert_eq!(is_blocked(&register, ms(1200), &[CRASHING]), blocked);
    assert_ne!(register.standing(ms(1200), &prompt(50, &[CRASHING])), Standing::Clear);
    register.record_sound(ms(1300), &[CRASHING]);
    assert_eq!(register.standing(ms(1301), &prompt(50, &[CRASHING])), Standing::Clear);
}

/// One request crashes servers, whatever its prompt: it is blocked, and others with
/// the same part are not.
#[test]
fn standing_request_that_crashes_servers() {
    let mut register = Register::default();
    for (at, name) in [(1000, "a"), (3000, "b"), (5000, "c")] {
        register.record_crash(ms(at), start(name), &prompt(1, &[SHARED]));
    }
    assert!(matches!(register.standing(ms(5001), &prompt(1, &[SHARED])), Standing::Blocked(_)));
    assert_eq!(register.standing(ms(5001), &prompt(2, &[SHARED])), Standing::Suspected);
}

/// A blocked part is tried again after a time that grows with each crash.
#[test]
fn standing_after_the_block() {
    let mut register = Register::default();
    let (mut now, mut blocks) = (ms(1000), Vec::new());
    for round in 0..5 {
        let name = format!("s{round}");
        register.record_crash(now, start(&name), &prompt(round, &[CRASHING]));
        let standing = register.standing(now, &prompt(50, &[CRASHING]));
        let Standing::Blocked(block) = standing else {
            now += ms(5000);
            continue;
        };
        blocks.push(block);
        now += block;
        assert_eq!(register.standing(now, &prompt(50, &[CRASHING])), Standing::Suspected);
    }
    assert_eq!(blocks, [30, 120, 480, 1920].map(Duration::from_secs));
}

/// A crash that isn't certain, such as a reset of the connection, counts only once
/// the server has started again.
#[test]
fn confirm_crash_by_a_new_start() {
    let mut register = Register::default();
    register.record_break(ms(1000), start("a"), &prompt(1, &[CRASHING]));
    assert_eq!(register.standing(ms(1001), &prompt(2, &[CRASHING])), Standing::Clear);
    register.confirm(ms(4000), &start("a"));
    assert_eq!(register.standing(ms(4001), &prompt(2, &[CRASHING])), Standing::Suspected);
    register.record_sound(ms(4100), &[CRASHING]);
    assert_eq!(register.standing(ms(4101), &prompt(2, &[CRASHING])), Standing::Clear);
}

/// Entries know each other's crashes, cleared parts and trials.
#[test]
fn apply_report_of_another_entry() {
    let (mut one, mut two) = (Register::default(), Register::default());
    let from = "entry-1".into();
    one.record_crash(ms(1000), start("a"), &prompt(1, &[SHARED, CRASHING]));
    two.apply_report(ms(1010), &from, one.report(ms(1010), Scope::Due));
    assert_eq!(two.standing(ms(1011), &prompt(2, &[SHARED])), Standing::Suspected);
    one.begin_wait(&prompt(3, &[SHARED]), &"b".into());
    two.apply_report(ms(1020), &from, one.report(ms(1020), Scope::Due));
    assert!(two.is_tried(ms(1021), &prompt(4, &[SHARED])));
    assert!(!two.is_tried(ms(1021), &prompt(5, &[CRASHING])));
    assert!(two.has_trial(ms(1021), &"b".into()));
    one.record_sound(ms(1200), &[SHARED]);
    one.end_wait(&prompt(3, &[SHARED]), "b");
    two.apply_report(ms(1210), &from, one.report(ms(1210), Scope::Due));
    assert_eq!(two.standing(ms(1211), &prompt(2, &[SHARED])), Standing::Clear);
    assert_eq!(two.standing(ms(1211), &prompt(2, &[CRASHING])), Standing::Suspected);
    assert!(!two.is_tried(ms(1211), &prompt(4, &[SHARED])));
}

/// An attempt that began before the crash is a trial as well: no other one begins
/// while it waits.
#[test]
fn is_tried_by_an_earlier_attempt() {
    let mut register = Register::default();
    register.begin_wait(&prompt(1, &[CRASHING]), &"a".into());
    register.begin_wait(&prompt(2, &[CRASHING]), &"b".into());
    assert!(!register.is_tried(ms(900), &prompt(3, &[CRASHING])));
    register.end_wait(&prompt(1, &[CRASHING]), "a");
    register.record_crash(ms(1000), start("a"), &prompt(1, &[CRASHING]));
    assert!(register.is_tried(ms(1001), &prompt(3, &[CRASHING])));
    assert!(register.has_trial(ms(1001), &"b".into()));
    assert_eq!(register.report(ms(1001), Scope::Due).trials.len(), 1);
    register.end_wait(&prompt(2, &[CRASHING]), "b");
    assert!(!register.is_tried(ms(1002), &prompt(3, &[CRASHING])));
}

/// An entry that starts late gets older crashes within two seconds.
#[test]
fn report_older_crashes_to_a_new_entry() {
    let mut old = Register::default();
    old.record_crash(ms(1000), start("a"), &prompt(1, &[CRASHING]));
    let mut new = Register::default();
    for at in (60_000..62_000).step_by(100).map(ms) {
        new.apply_report(at, &"entry-1".into(), old.report(at, Scope::Due));
    }
    assert_eq!(new.standing(ms(62_000), &prompt(2, &[CRASHING])), Standing::Suspected);
    assert!(old.report(ms(62_150), Scope::Due).crashes.is_empty());
}

/// An entry restarts long after a part was blocked: it learns of the part with the
/// first reply of another entry, before it can send requests with it.
#[test]
fn handle_first_heartbeat_of_a_restarted_entry() {
    let (mut old, mut new) = (common::blank("entry-1"), common::blank("entry-2"));
    old.apply(ms(0), common::configured(2, common::config(1)));
    old.apply(ms(0), common::listing(3, &[("m1", server("models", "a", 1))]));
    let with_part = Submission { shared_parts: &[CRASHING], ..submission("/stream/notes") };
    let mut ticket = old.admit(ms(1000), &with_part).unwrap();
    let target = old.choose(ms(1000), &mut ticket).unwrap();
    old.end_wait(&target.server, &ticket.prompt);
    old.fail(ms(1100), &mut ticket, Outcome::Crashed);
    let (from, link) = ("entry-2".into(), "tcp://x".into());
    let replies = old.handle(ms(60_050), &from, 1, &link, new.heartbeat(ms(10)));
    assert!(!new.knows_crash(&target.start()));
    for (_, reply) in replies {
        new.handle(ms(12), &"entry-1".into(), 1, &link, reply);
    }
    assert!(new.knows_crash(&target.start()));
}

/// An entry restarts after two crashes by a part: they happened before its own clock
/// began, and are two nevertheless.
#[test]
fn apply_report_of_crashes_before_the_start() {
    let (mut old, mut new) = (Register::default(), Register::default());
    old.record_crash(ms(46_000), start("a"), &prompt(1, &[CRASHING]));
    old.record_crash(ms(55_000), start("b"), &prompt(2, &[CRASHING]));
    assert!(is_blocked(&old, ms(60_000), &[CRASHING]));
    new.apply_report(ms(100), &"entry-1".into(), old.report(ms(60_000), Scope::All));
    assert!(is_blocked(&new, ms(101), &[CRASHING]));
    let report = new.report(ms(200), Scope::All);
    let ages: Vec<u32> = report.crashes.iter().map(|crash| crash.age_ms).collect();
    assert_eq!(ages, [14_100, 5_100]);
}

/// Until another entry has reported, or none does in time, requests with shared parts
/// wait: one of them may be blocked. Others are sent.
#[test]
fn choose_before_the_first_report() {
    let mut entry = ready(&[("m1", server("models", "a", 1))]);
    let mut other = common::blank("entry-2");
    let (name, link) = ("entry-2".into(), "tcp://x".into());
    let Message::Heartbeat(mut heartbeat) = other.heartbeat(ms(10)) else { panic!() };
    heartbeat.suspects.complete = false;
    let replies = entry.handle(ms(20), &name, 1, &link, Message::Heartbeat(heartbeat));
    let with_part = Submission { shared_parts: &[SHARED], ..submission("/stream/notes") };
    let mut ticket = entry.admit(ms(30), &with_part).unwrap();
    assert_eq!(entry.choose(ms(30), &mut ticket).unwrap_err().reason, Reason::Suspected);
    assert!(entry.awaits_trial(ms(30), &ticket));
    let mut plain = entry.admit(ms(30), &submission("/stream/notes")).unwrap();
    assert!(entry.choose(ms(30), &mut plain).is_ok());
    for (_, reply) in replies {
        for (_, answer) in other.handle(ms(31), &"entry-1".into(), 1, &link, reply) {
            entry.handle(ms(32), &name, 1, &link, answer);
        }
    }
    assert!(!entry.awaits_trial(ms(33), &ticket));
    assert!(entry.choose(ms(33), &mut ticket).is_ok());
}

/// The only request that waited at a crashed server isn't sent to another one. If
/// others waited there as well, each may go on as a trial.
#[rstest]
#[case::alone(1, false)]
#[case::one_of_two(2, true)]
fn fail_after_crash(#[case] waiting: u64, #[case] retried: bool) {
    let mut balancer = models();
    let mut tickets = Vec::new();
    for fingerprint in 1..=waiting {
        let mut ticket = admit(&mut balancer, fingerprint, fingerprint);
        ticket.tried = vec!["m2".into(), "m3".into()];
        balancer.choose(ms(1000), &mut ticket).unwrap();
        ticket.tried = vec!["m1".into()];
        tickets.push(ticket);
    }
    let mut decision = None;
    for ticket in &mut tickets {
        balancer.end_wait("m1", &ticket.prompt);
        balancer.release("m1");
        decision = Some(balancer.fail(ms(1100), ticket, Outcome::Crashed));
    }
    match decision.unwrap() {
        Decision::Retry(target) => assert!(retried && target.trial),
        Decision::Stop(refusal) => {
            assert!(!retried);
            assert_eq!((refusal.reason, refusal.status), (Reason::Suspected, 502));
        }
    }
}

/// A server crashes while a stream runs there and a request with the same part waits.
/// The stream goes on elsewhere at once, though a trial of the part runs.
#[test]
fn retry_begun_stream_during_a_trial() {
    let mut balancer = models();
    let admit = |balancer: &mut Balancer, id| admit(balancer, id, SHARED);
    let [mut begun, mut waiting, mut trial] = [1, 2, 3].map(|id| admit(&mut balancer, id));
    for ticket in [&mut begun, &mut waiting] {
        ticket.tried = vec!["m2".into(), "m3".into()];
        balancer.choose(ms(1000), ticket).unwrap();
        ticket.tried = vec!["m1".into()];
    }
    balancer.record_first_event(ms(1200), "m1", &begun.prompt);
    begun.begun = true;
    balancer.end_wait("m1", &waiting.prompt);
    balancer.fail(ms(1300), &mut waiting, Outcome::Crashed);
    assert!(balancer.choose(ms(1300), &mut trial).unwrap().trial);
    match balancer.fail(ms(1301), &mut begun, Outcome::Broken) {
        Decision::Retry(target) => assert!(!target.trial),
        Decision::Stop(refusal) => panic!("{refusal:?}"),
    }
}

/// Requests wait for the trial of their part. It crashes its server, and the evidence
/// isn't sufficient yet: they are refused, since all would begin trials at once.
#[test]
fn choose_after_waiting_for_a_trial() {
    let mut balancer = models();
    let admit = |balancer: &mut Balancer, id| admit(balancer, id, CRASHING);
    let crash = |balancer: &mut Balancer, at, ticket: &mut Ticket| {
        let target = balancer.choose(at, ticket).unwrap();
        balancer.end_wait(&target.server, &ticket.prompt);
        balancer.release(&target.server);
        balancer.fail(at, ticket, Outcome::Crashed);
    };
    let mut same = admit(&mut balancer, 1);
    crash(&mut balancer, ms(1000), &mut same);
    let mut trial = admit(&mut balancer, 1);
    let target = balancer.choose(ms(2000), &mut trial).unwrap();
    assert!(target.trial);
    let mut waiting = [admit(&mut balancer, 2), admit(&mut balancer, 3)];
    for ticket in &mut waiting {
        let refusal = balancer.choose(ms(2000), ticket).unwrap_err();
        assert_eq!(refusal.reason, Reason::Suspected);
        assert!(balancer.awaits_trial(ms(2000), ticket));
    }
    balancer.end_wait(&target.server, &trial.prompt);
    balancer.release(&target.server);
    balancer.fail(ms(2100), &mut trial, Outcome::Crashed);
    for ticket in &mut waiting {
        assert!(!balancer.awaits_trial(ms(2101), ticket));
        let refusal = balancer.choose(ms(2101), ticket).unwrap_err();
        assert_eq!((refusal.reason, refusal.status), (Reason::Suspected, 503));
    }
    let mut next = admit(&mut balancer, 4);
    assert!(balancer.choose(ms(2101), &mut next).unwrap().trial);
}

/// A part is blocked: requests with it are refused at once, with the time of the
/// next trial, and others are served.
#[test]
fn admit_blocked_part() {
    let mut balancer = ready(&[("m1", server("models", "a", 1)), ("m2", server("models", "a", 2))]);
    for (at, fingerprint) in [(1000, 1), (8000, 2)] {
        let with_part =
            Submission { fingerprint, shared_parts: &[CRASHING], ..submission("/stream/notes") };
        let mut ticket = balancer.admit(ms(at), &with_part).unwrap();
        let target = balancer.choose(ms(at), &mut ticket).unwrap();
        assert_eq!(target.trial, fingerprint == 2);
        balancer.end_wait(&target.server, &ticket.prompt);
        balancer.release(&target.server);
        balancer.fail(ms(at + 100), &mut ticket, Outcome::Crashed);
    }
    let with_part =
        Submission { fingerprint: 3, shared_parts: &[CRASHING], ..submission("/stream/notes") };
    let refusal = balancer.admit(ms(9000), &with_part).unwrap_err();
    assert_eq!((refusal.reason, refusal.status), (Reason::Crashes, 503));
    assert!(refusal.retry_after.unwrap() > ms(20_000));
    let other = Submission { shared_parts: &[SHARED], ..with_part };
    assert!(balancer.admit(ms(9000), &other).is_ok());
}
