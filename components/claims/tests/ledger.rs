//! Unit tests of the ledger.
#![allow(clippy::unwrap_used, dead_code, missing_docs)]

mod common;

use std::time::Duration;

use claims::{Answer, Denial, Head, Input, Ledger, Object, Output, Settings, State, Writer};
use common::{World, answer};
use rstest::rstest;

const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
const ZERO: Duration = Duration::ZERO;

fn settings() -> Settings {
    Settings { pace: ZERO, ..Settings::default() }
}

/// Creates a world in which agent 0 is executing key 0 as ticket 0.
fn running() -> World {
    let mut world = World::new(2, settings());
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    world.dispatch(0, 0);
    world
}

fn denial(world: &World, ticket: usize) -> Denial {
    world.tickets[ticket].denial.clone().unwrap()
}

/// Fails all calls until none is in flight.
fn fail_all_calls(world: &mut World) {
    while let Some(position) = world.calls.iter().position(|call| !call.timed_out) {
        world.fail(position);
    }
}

#[test]
fn begin_grants_only_after_stored() {
    let mut world = World::new(1, settings());
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.apply(0);
    world.deliver(0);
    assert!(matches!(world.calls[0].output, Output::Store { expect: None, .. }));
    world.apply(0);
    assert!(!world.tickets[0].granted);
    world.deliver(0);
    assert!(world.tickets[0].granted);
}

#[rstest]
#[case::same_agent_running(0, 5, Denial::Running)]
#[case::same_agent_other_request(0, 6, Denial::Mismatch)]
#[case::other_agent_running(1, 5, Denial::Unknown)]
#[case::other_agent_other_request(1, 6, Denial::Mismatch)]
fn resend_while_running(#[case] agent: usize, #[case] fingerprint: u64, #[case] expected: Denial) {
    let mut world = running();
    let ticket = world.begin(agent, 0, fingerprint, CALLER_TIMEOUT);
    world.complete_calls();
    assert_eq!(denial(&world, ticket), expected);
}

#[rstest]
#[case::same_agent_kept(0, true, Denial::Finished(answer(0)))]
#[case::other_agent_kept(1, true, Denial::Finished(answer(0)))]
#[case::same_agent_not_kept(0, false, Denial::Ran)]
#[case::other_agent_not_kept(1, false, Denial::Ran)]
fn resend_after_finish(#[case] agent: usize, #[case] kept: bool, #[case] expected: Denial) {
    let mut world = running();
    world.finish(0, 0, kept);
    world.complete_calls();
    let ticket = world.begin(agent, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    assert_eq!(denial(&world, ticket), expected);
}

#[test]
fn resend_after_crash_is_unknown() {
    let mut world = running();
    world.crash(0);
    let ticket = world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    assert_eq!(denial(&world, ticket), Denial::Unknown);
}

/// An earlier incarnation that is still running counts as another writer.
#[test]
fn claim_of_other_incarnation_is_unknown() {
    let mut world = World::new(2, settings());
    let writer = Writer { name: "agent-0".into(), incarnation: 2 };
    world.agents[1].ledger = Ledger::new(writer, "bookings", 1, settings());
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.begin(1, 0, 5, CALLER_TIMEOUT);
    // Both agents read the empty log before either of them writes.
    for position in [0; 4] {
        match world.calls[position].reply {
            None => world.apply(position),
            Some(_) => world.deliver(position),
        }
    }
    world.complete_calls();
    assert_eq!(world.tickets.iter().filter(|ticket| ticket.granted).count(), 1);
    assert!(world.tickets.iter().any(|ticket| ticket.denial == Some(Denial::Unknown)));
}

#[test]
fn resend_after_lost_is_unknown() {
    let mut world = running();
    world.lose(0, 0);
    let ticket = world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    assert_eq!(denial(&world, ticket), Denial::Unknown);
}

#[rstest]
#[case::same_agent(0)]
#[case::other_agent(1)]
fn resend_after_abandon_runs(#[case] agent: usize) {
    let mut world = World::new(2, settings());
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    world.abandon(0, 0);
    world.complete_calls();
    let ticket = world.begin(agent, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    assert!(world.tickets[ticket].granted);
}

#[test]
fn resend_in_outage_gets_recorded_answer() {
    let mut world = running();
    world.begin(0, 1, 5, CALLER_TIMEOUT);
    world.finish(0, 0, true);
    fail_all_calls(&mut world);
    let resent = world.begin(0, 0, 5, CALLER_TIMEOUT);
    assert_eq!(denial(&world, resent), Denial::Finished(answer(0)));
}

#[test]
fn new_key_in_outage_is_denied_immediately() {
    let mut world = running();
    let first = world.begin(0, 1, 5, CALLER_TIMEOUT);
    fail_all_calls(&mut world);
    assert!(matches!(denial(&world, first), Denial::Unavailable { .. }));
    let second = world.begin(0, 2, 5, CALLER_TIMEOUT);
    assert!(matches!(denial(&world, second), Denial::Unavailable { .. }));
}

#[test]
fn lost_reply_after_effect_is_read_back() {
    let mut world = World::new(1, settings());
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.apply(0);
    world.deliver(0);
    world.apply(0);
    world.fail(0);
    assert!(!world.tickets[0].granted);
    world.complete_calls();
    assert!(world.tickets[0].granted);
}

#[test]
fn late_effect_of_denied_claim_is_released() {
    let mut world = World::new(2, settings());
    let expired = world.begin(0, 0, 5, Duration::from_millis(10));
    world.apply(0);
    world.deliver(0);
    world.now += Duration::from_millis(20);
    world.tick(0);
    assert!(matches!(denial(&world, expired), Denial::Unavailable { .. }));
    world.complete_calls();
    let ticket = world.begin(1, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    assert!(world.tickets[ticket].granted);
}

#[test]
fn busy_denies_with_retry_after() {
    let mut world = World::new(1, settings());
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.refuse(0);
    assert!(matches!(denial(&world, 0), Denial::Unavailable { .. }));
    let later = world.begin(0, 1, 5, CALLER_TIMEOUT);
    assert!(matches!(denial(&world, later), Denial::Unavailable { .. }));
}

#[test]
fn large_answer_is_not_kept() {
    let mut world = running();
    let body = vec![0; settings().answer_limit + 1];
    let answer = Some(Answer { status: 200, headers: vec![], body });
    world.completed.insert(0, None);
    world.step(0, Input::Finish { ticket: 0, answer });
    world.complete_calls();
    let ticket = world.begin(1, 0, 5, CALLER_TIMEOUT);
    world.complete_calls();
    assert_eq!(denial(&world, ticket), Denial::Ran);
}

#[test]
fn group_commit_batches_waiting_claims() {
    let mut world = World::new(1, settings());
    for key in 0..20 {
        world.begin(0, key, 5, CALLER_TIMEOUT);
    }
    world.apply(0);
    world.deliver(0);
    let Output::Store { value, .. } = &world.calls[0].output else { panic!() };
    assert_eq!(Head::decode(value).unwrap().records.len(), 20);
    world.complete_calls();
    assert_eq!(world.agents[0].granted.len(), 20);
}

#[rstest]
#[case::v7_before_retention("desk/0188a2b4-5c00-7abc-8def-0123456789ab", true)]
#[case::v4_without_timestamp("desk/0188a2b4-5c00-4abc-8def-0123456789ab", false)]
#[case::opaque("desk/booking", false)]
fn expired_timestamped_key_is_unknown(#[case] key: &'static str, #[case] denied: bool) {
    let writer = Writer { name: "a".into(), incarnation: 1 };
    let mut ledger = Ledger::new(writer, "bookings", 1, settings());
    let begin = Input::Begin {
        ticket: 1,
        key: key.into(),
        fingerprint: 5,
        deadline: CALLER_TIMEOUT,
        wall: common::WALL,
    };
    let out = ledger.step(ZERO, begin);
    let unknown = Output::Deny { ticket: 1, denial: Denial::Unknown };
    assert_eq!(out == [unknown], denied);
}

#[rstest]
#[case::unreadable_head(Some(common::DAMAGED))]
#[case::missing_head(None)]
fn damaged_head_denies(#[case] value: Option<&str>) {
    let mut world = running();
    world.finish(0, 0, true);
    world.complete_calls();
    world.objects.retain(|_, _| value.is_some());
    for object in world.objects.values_mut() {
        *object = Object { version: object.version + 1, value: common::DAMAGED.into() };
    }
    let ticket = world.begin(0, 1, 5, CALLER_TIMEOUT);
    for _ in 0..5 {
        world.complete_calls();
        world.now += Duration::from_secs(1);
        world.tick(0);
    }
    assert!(matches!(denial(&world, ticket), Denial::Unavailable { .. }));
}

/// Executes and completes `count` keys, 100 ms apart.
fn finish_many(world: &mut World, first: usize, count: usize) {
    for key in first..first + count {
        world.begin(0, key, 5, CALLER_TIMEOUT);
        world.complete_calls();
        world.dispatch(0, 0);
        world.finish(0, 0, true);
        world.complete_calls();
        world.now += Duration::from_millis(100);
    }
}

#[test]
fn spilled_records_still_answer() {
    let settings = Settings { spill_size: 1000, ..settings() };
    let mut world = World::new(2, settings);
    finish_many(&mut world, 0, 40);
    assert!(world.agents[0].ledger.dump().list[0].segments > 3);
    for key in [0, 20, 39] {
        let ticket = world.begin(1, key, 5, CALLER_TIMEOUT);
        world.complete_calls();
        assert_eq!(denial(&world, ticket), Denial::Finished(answer(key)));
    }
}

#[test]
fn trimming_drops_old_segments_only() {
    let retention = Duration::from_secs(10);
    let settings = Settings { spill_size: 1000, retention, skew: ZERO, ..settings() };
    let mut world = World::new(1, settings);
    finish_many(&mut world, 0, 300);
    let segments = world.objects.len() - 1;
    assert!((10..60).contains(&segments), "{segments} segments");
    let listed = world.agents[0].ledger.dump().list[0].segments;
    assert!(segments <= listed + 1, "{segments} objects, {listed} listed");
    // The last 100 claims are within the retention period of 10 s.
    for key in [205, 250, 299] {
        let ticket = world.begin(0, key, 5, CALLER_TIMEOUT);
        assert!(matches!(denial(&world, ticket), Denial::Finished(_)), "key {key}");
    }
}

#[test]
fn idle_partition_leaves_memory() {
    let mut world = running();
    world.finish(0, 0, true);
    world.complete_calls();
    assert_eq!(world.agents[0].ledger.dump().loaded, 1);
    world.now += settings().idle;
    world.tick(0);
    assert_eq!(world.agents[0].ledger.dump().loaded, 0);
}

#[test]
fn claim_limit_denies() {
    let mut world = World::new(1, Settings { claim_limit: 1, ..settings() });
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    let second = world.begin(0, 1, 5, CALLER_TIMEOUT);
    assert!(matches!(denial(&world, second), Denial::Unavailable { .. }));
}

#[test]
fn head_records_claim_before_grant() {
    let world = running();
    let head = Head::decode(&world.objects[&(0, None)].value).unwrap();
    let record = head.records.values().next().unwrap();
    assert_eq!(record.state, State::Claimed);
    assert_eq!(record.writer, Writer { name: "agent-0".into(), incarnation: 1 });
}

/// After a conflict and its backoff, the head must be read again before the next
/// write; otherwise the write conflicts again under contention.
#[test]
fn conflict_reads_before_retry() {
    let pace = Duration::from_millis(50);
    let mut world = World::new(1, Settings { pace, ..settings() });
    world.begin(0, 0, 5, CALLER_TIMEOUT);
    world.apply(0);
    world.deliver(0);
    let mut reads = 0;
    for _ in 0..4 {
        while !matches!(world.calls[0].output, Output::Store { .. }) {
            reads += 1;
            world.apply(0);
            world.deliver(0);
            world.now += pace * 16 * u32::from(world.calls.is_empty());
            world.tick(0);
        }
        let version = 100 + reads;
        let object = Object { version, value: Head::default().encode() };
        world.objects.insert((0, None), object);
        world.apply(0);
        world.deliver(0);
    }
    // The first retry follows at once, each later one after a backoff and a second read.
    assert_eq!(reads, 1 + 2 + 2);
}
