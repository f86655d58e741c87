//! Tests of the gate for cases that scenario scripts can't produce.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::Duration;

use admission::Gate;
use admission::gate::{Event, Input, Options, Output, Standing, Verdict};
use rstest::rstest;
use uuid::Uuid;
use wire::{Cancel, Class, Dispatch, Execution, Message, Reason, Refusal, Resend, Sender};

const INCARNATION: u64 = 7;
const NOW: Duration = Duration::from_secs(1);
const LATER: Duration = Duration::from_secs(2);

fn gate(limit: u32) -> Gate {
    let options = Options { incarnation: INCARNATION, limit, cold: false };
    let mut gate = Gate::new(Duration::ZERO, options);
    gate.step(Duration::ZERO, Input::Engine { incarnation: 1, prefill: 0 });
    gate
}

fn sender() -> Sender {
    Sender { name: "e1".into(), incarnation: 1, link: "tcp://e1".into() }
}

fn dispatch(id: u128) -> Dispatch {
    Dispatch {
        id: Uuid::from_u128(id),
        attempt: 1,
        incarnation: INCARNATION,
        pool: "p".into(),
        account: "a".into(),
        weight: 1,
        class: Class::Interactive,
        remaining: Duration::from_secs(5),
        idempotent: true,
        key: None,
        fingerprint: id as u64,
        exclusive: false,
        method: "POST".into(),
        path: "/".into(),
        headers: Vec::new(),
        body: Default::default(),
        resume: 0,
    }
}

fn receive(gate: &mut Gate, now: Duration, message: Message) -> Vec<Output> {
    gate.step(now, Input::Receive(sender(), message))
}

fn send(gate: &mut Gate, now: Duration, dispatch: &Dispatch) -> Vec<Output> {
    receive(gate, now, Message::Dispatch(dispatch.clone()))
}

fn attempt(id: u128) -> Cancel {
    Cancel { id: Uuid::from_u128(id), attempt: 1 }
}

fn refusals(outputs: &[Output]) -> Vec<Refusal> {
    let refusal = |output: &Output| match output {
        Output::Send(_, Message::Refusal(refusal)) => Some(*refusal),
        _ => None,
    };
    outputs.iter().filter_map(refusal).collect()
}

fn refused_with(outputs: &[Output]) -> Vec<(Reason, Execution)> {
    refusals(outputs).iter().map(|refusal| (refusal.reason, refusal.execution)).collect()
}

fn starts_run(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| matches!(output, Output::Run(..)))
}

fn set_standing(gate: &mut Gate, id: u128, standing: Standing) {
    gate.step(NOW, Input::Suspects(HashMap::from([(id as u64, standing)])));
}

#[rstest]
#[case::out_of_service(Input::Out(true), Input::Out(false), Reason::Out)]
#[case::condemned(
    Input::Suspects(HashMap::from([(1, Standing::Condemned)])),
    Input::Suspects(HashMap::new()),
    Reason::Poison
)]
fn receive_copy_of_refused(#[case] block: Input, #[case] unblock: Input, #[case] reason: Reason) {
    let mut gate = gate(1);
    gate.step(NOW, block);
    assert_eq!(refused_with(&send(&mut gate, NOW, &dispatch(1))), [(reason, Execution::NotRun)]);
    gate.step(NOW, unblock);
    let outputs = send(&mut gate, LATER, &dispatch(1));
    assert!(!starts_run(&outputs));
    assert_eq!(refused_with(&outputs), [(Reason::Cancelled, Execution::NotRun)]);
}

#[test]
fn receive_cancel_before_dispatch() {
    let mut gate = gate(1);
    receive(&mut gate, NOW, Message::Cancel(attempt(1)));
    let outputs = send(&mut gate, LATER, &dispatch(1));
    assert!(!starts_run(&outputs));
    assert_eq!(refused_with(&outputs), [(Reason::Cancelled, Execution::NotRun)]);
}

#[test]
fn receive_resend_before_dispatch() {
    let mut gate = gate(1);
    let resend = Resend { id: Uuid::from_u128(1), attempt: 1, from: 0 };
    let outputs = receive(&mut gate, NOW, Message::Resend(resend));
    assert_eq!(refused_with(&outputs), [(Reason::Cancelled, Execution::NotRun)]);
    assert!(!starts_run(&send(&mut gate, LATER, &dispatch(1))));
}

#[rstest]
#[case::own(INCARNATION, true)]
#[case::unknown(0, true)]
#[case::earlier(INCARNATION - 1, false)]
#[case::later(INCARNATION + 1, false)]
fn receive_incarnation(#[case] incarnation: u64, #[case] runs: bool) {
    let mut gate = gate(1);
    let outputs = send(&mut gate, NOW, &Dispatch { incarnation, ..dispatch(1) });
    assert_eq!(starts_run(&outputs), runs);
    let refused: &[(Reason, Execution)] =
        if runs { &[] } else { &[(Reason::Incarnation, Execution::NotRun)] };
    assert_eq!(refused_with(&outputs), refused);
}

#[test]
fn receive_twice_runs_once() {
    let mut gate = gate(2);
    assert!(starts_run(&send(&mut gate, NOW, &dispatch(1))));
    assert_eq!(send(&mut gate, NOW, &dispatch(1)), []);
}

#[test]
fn receive_after_ack_is_refused() {
    let mut gate = gate(1);
    send(&mut gate, NOW, &dispatch(1));
    gate.step(NOW, Input::Event(1, Event::Done));
    receive(&mut gate, NOW, Message::Ack(attempt(1)));
    assert!(!starts_run(&send(&mut gate, LATER, &dispatch(1))));
}

#[test]
fn receive_beyond_limit_waits() {
    let mut gate = gate(1);
    assert!(starts_run(&send(&mut gate, NOW, &dispatch(1))));
    assert_eq!(send(&mut gate, NOW, &dispatch(2)), []);
    assert!(starts_run(&gate.step(NOW, Input::Event(1, Event::Done))));
}

#[test]
fn tick_expires_queued() {
    let mut gate = gate(1);
    send(&mut gate, NOW, &dispatch(1));
    let short = Dispatch { remaining: Duration::from_millis(500), ..dispatch(2) };
    assert_eq!(send(&mut gate, NOW, &short), []);
    let outputs = gate.step(LATER, Input::Tick);
    assert_eq!(refused_with(&outputs), [(Reason::DeadlineExceeded, Execution::NotRun)]);
    assert!(refusals(&outputs)[0].retry_after.is_some());
    assert!(!starts_run(&gate.step(LATER, Input::Event(1, Event::Done))));
}

#[test]
fn tick_expires_waiting_for_trial() {
    let mut gate = gate(1);
    send(&mut gate, NOW, &dispatch(1));
    set_standing(&mut gate, 2, Standing::Exclusive);
    send(&mut gate, NOW, &Dispatch { remaining: Duration::from_millis(500), ..dispatch(2) });
    assert_eq!(
        refused_with(&gate.step(LATER, Input::Tick)),
        [(Reason::DeadlineExceeded, Execution::NotRun)]
    );
}

#[test]
fn admit_condemned_while_queued() {
    let mut gate = gate(1);
    send(&mut gate, NOW, &dispatch(1));
    send(&mut gate, NOW, &dispatch(2));
    set_standing(&mut gate, 2, Standing::Condemned);
    let outputs = gate.step(NOW, Input::Event(1, Event::Done));
    assert!(!starts_run(&outputs));
    assert_eq!(refused_with(&outputs), [(Reason::Poison, Execution::NotRun)]);
}

#[test]
fn out_refuses_queued_and_claiming() {
    let mut gate = gate(1);
    let booking = Dispatch { idempotent: false, key: Some("k".into()), ..dispatch(1) };
    let outputs = send(&mut gate, NOW, &booking);
    assert!(matches!(outputs[..], [Output::Claim { ticket: 1, .. }]));
    send(&mut gate, NOW, &dispatch(2));
    assert_eq!(refused_with(&gate.step(NOW, Input::Out(true))), [(Reason::Out, Execution::NotRun)]);
    let outputs = gate.step(NOW, Input::Verdict(1, Verdict::Grant));
    assert!(outputs.contains(&Output::Abandon(1)) && !starts_run(&outputs));
    assert_eq!(refused_with(&outputs), [(Reason::Out, Execution::NotRun)]);
}

/// An answer without end was kept until the request's deadline.
#[rstest]
#[case::one_answer(1, 17)]
#[case::all_answers(60, 1)]
fn receive_data_without_end(#[case] answers: u64, #[case] parts: usize) {
    const PART: usize = 1 << 20;
    let mut gate = gate(100);
    let (mut stopped, mut kept) = (Vec::new(), 0);
    for id in 1..=answers {
        send(&mut gate, NOW, &dispatch(id.into()));
        for _ in 0..parts {
            let data = vec![0; PART].into();
            let outputs = gate.step(NOW, Input::Event(id, Event::Data { events: 1, data }));
            let is_chunk = |output: &Output| matches!(output, Output::Send(_, Message::Chunk(_)));
            kept += outputs.iter().filter(|output| is_chunk(output)).count();
            if outputs.contains(&Output::Stop(id)) {
                stopped.push(id);
            }
        }
    }
    assert_eq!(kept, if answers == 1 { 16 } else { 48 });
    assert_eq!(stopped, if answers == 1 { vec![1] } else { (49..=60).collect::<Vec<_>>() });
    assert_eq!(gate.counters().oversized, stopped.len() as u64);
    // Acknowledged answers make room.
    for id in 1..=answers {
        gate.step(NOW, Input::Event(id, Event::Done));
        receive(&mut gate, NOW, Message::Ack(attempt(id.into())));
    }
    send(&mut gate, NOW, &dispatch(99));
    let data = vec![0; PART].into();
    let outputs = gate.step(NOW, Input::Event(answers + 1, Event::Data { events: 1, data }));
    assert!(!outputs.contains(&Output::Stop(answers + 1)));
}

#[test]
fn fail_after_send_may_have_run() {
    let mut gate = gate(1);
    send(&mut gate, NOW, &dispatch(1));
    gate.step(NOW, Input::Event(1, Event::Failed { handed: true }));
    let outputs = gate.step(NOW, Input::Engine { incarnation: 1, prefill: 0 });
    assert_eq!(refused_with(&outputs), [(Reason::Broken, Execution::MayHaveRun)]);
}

#[rstest]
#[case::restarted(Input::Engine { incarnation: 2, prefill: 0 })]
#[case::down(Input::Unreachable)]
fn fail_with_restart_or_outage_is_crash(#[case] status: Input) {
    let mut gate = gate(1);
    send(&mut gate, NOW, &dispatch(9));
    gate.step(NOW, Input::Event(1, Event::Failed { handed: true }));
    let outputs = gate.step(NOW, status);
    assert!(outputs.contains(&Output::Crash(vec![9])));
}

#[test]
fn fail_soon_after_restart_is_crash() {
    let mut gate = gate(1);
    gate.step(NOW, Input::Unreachable);
    send(&mut gate, NOW, &dispatch(9));
    gate.step(NOW, Input::Event(1, Event::Failed { handed: true }));
    assert!(gate.step(NOW, Input::Unreachable).contains(&Output::Crash(vec![9])));
}

#[test]
fn trial_waits_for_known_incarnation() {
    let mut gate = gate(1);
    gate.step(NOW, Input::Unreachable);
    set_standing(&mut gate, 1, Standing::Exclusive);
    assert_eq!(send(&mut gate, NOW, &dispatch(1)), []);
    let outputs = gate.step(NOW, Input::Engine { incarnation: 2, prefill: 0 });
    assert_eq!(outputs, [Output::Trial { ticket: 1, fingerprint: 1 }]);
}

#[rstest]
#[case::cancelled(Input::Receive(sender(), Message::Cancel(attempt(1))))]
#[case::not_reached(Input::Event(1, Event::Failed { handed: false }))]
fn trial_without_result_is_released(#[case] end: Input) {
    let mut gate = gate(1);
    set_standing(&mut gate, 1, Standing::Exclusive);
    send(&mut gate, NOW, &dispatch(1));
    assert!(starts_run(&gate.step(NOW, Input::Verdict(1, Verdict::Grant))));
    assert!(gate.step(NOW, end).contains(&Output::Release(1)));
}

#[test]
fn trial_that_crashes_is_not_released() {
    let mut gate = gate(1);
    set_standing(&mut gate, 1, Standing::Exclusive);
    send(&mut gate, NOW, &dispatch(1));
    gate.step(NOW, Input::Verdict(1, Verdict::Grant));
    gate.step(NOW, Input::Event(1, Event::Failed { handed: true }));
    let outputs = gate.step(NOW, Input::Unreachable);
    assert!(outputs.contains(&Output::Crash(vec![1])));
    assert!(!outputs.contains(&Output::Release(1)));
}

#[test]
fn trial_runs_exclusively() {
    let mut gate = gate(4);
    send(&mut gate, NOW, &dispatch(1));
    set_standing(&mut gate, 2, Standing::Exclusive);
    assert_eq!(send(&mut gate, NOW, &dispatch(2)), []);
    let outputs = gate.step(NOW, Input::Event(1, Event::Done));
    assert!(outputs.contains(&Output::Trial { ticket: 2, fingerprint: 2 }));
    assert!(starts_run(&gate.step(NOW, Input::Verdict(2, Verdict::Grant))));
    assert!(!starts_run(&send(&mut gate, NOW, &dispatch(3))));
}

#[test]
fn leave_waits_for_running() {
    let mut gate = gate(1);
    send(&mut gate, NOW, &dispatch(1));
    send(&mut gate, NOW, &dispatch(2));
    let outputs = gate.step(NOW, Input::Leave);
    assert_eq!(refused_with(&outputs), [(Reason::Leaving, Execution::NotRun)]);
    assert!(!outputs.contains(&Output::Drained));
    assert!(gate.step(NOW, Input::Event(1, Event::Done)).contains(&Output::Drained));
    assert_eq!(
        refused_with(&send(&mut gate, NOW, &dispatch(3))),
        [(Reason::Leaving, Execution::NotRun)]
    );
}
