//! The write state machine, with simulated time and replies.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use operator::{Change, Input, Outcome, Output, Reading, Write};
use platform::{Error, Expect, Object};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};
use tables::{Key, Kind};

const DEADLINE: Duration = Duration::from_secs(5);

fn change(expect: Expect, value: Option<Value>) -> Change {
    let key = Key { kind: Kind::Zone, name: "accra-1".into() };
    Change { key, expect, value, since: 10 }
}

fn write() -> Write {
    Write::new(change(Expect::Version(5), Some(json!({"out": true}))), DEADLINE)
}

fn object(version: u64, value: Value) -> Object {
    Object { name: "accra-1".into(), version, value }
}

/// Feeds all inputs at time zero and returns the last output.
fn last_output(write: &mut Write, inputs: Vec<Input>) -> Output {
    inputs.into_iter().map(|input| write.step(Duration::ZERO, input)).last().unwrap()
}

fn changed(version: u64, value: Value) -> Input {
    Input::Read(Ok(Reading::Changed { version, value: Some(value) }))
}

#[rstest]
#[case::accepted(vec![Input::Replied(Ok(12))], Outcome::Accepted { version: 12, read_back: false })]
#[case::conflict(
    vec![Input::Replied(Err(Error::Conflict { current: Some(object(9, json!(1))) }))],
    Outcome::Conflict { current: Some(object(9, json!(1))) },
)]
#[case::lost_reply_then_own_value(
    vec![Input::Replied(Err(Error::Unknown)), changed(12, json!({"out": true}))],
    Outcome::Accepted { version: 12, read_back: true },
)]
#[case::lost_reply_then_other_value(
    vec![Input::Replied(Err(Error::Unknown)), changed(12, json!({"out": false}))],
    Outcome::Unknown { current: Some(object(12, json!({"out": false}))) },
)]
#[case::lost_reply_then_indeterminate(
    vec![Input::Replied(Err(Error::Unknown)), Input::Read(Ok(Reading::Indeterminate))],
    Outcome::Unknown { current: None },
)]
#[case::lost_reply_then_conflict_with_itself(
    vec![
        Input::Replied(Err(Error::Unknown)),
        Input::Read(Ok(Reading::Unchanged)),
        Input::Proceed,
        Input::Replied(Err(Error::Conflict { current: Some(object(12, json!({"out": true}))) })),
        changed(12, json!({"out": true})),
    ],
    Outcome::Accepted { version: 12, read_back: true },
)]
#[case::too_large(
    vec![Input::Replied(Err(Error::TooLarge { size: 9 }))],
    Outcome::Refused { error: Error::TooLarge { size: 9 } },
)]
fn step_outcome(#[case] inputs: Vec<Input>, #[case] outcome: Outcome) {
    let mut write = write();
    assert_eq!(write.step(Duration::ZERO, Input::Proceed), Output::Send);
    assert_eq!(last_output(&mut write, inputs), Output::Done(outcome));
}

#[test]
fn step_lost_reply_unchanged_row_is_sent_again() {
    let mut write = write();
    write.step(Duration::ZERO, Input::Proceed);
    let inputs = vec![Input::Replied(Err(Error::Unknown)), Input::Read(Ok(Reading::Unchanged))];
    assert!(matches!(last_output(&mut write, inputs), Output::Wait(_)));
    assert_eq!(write.step(Duration::ZERO, Input::Proceed), Output::Send);
}

#[test]
fn step_busy_waits_retry_after() {
    let mut write = write();
    let retry_after = Duration::from_secs(3);
    let output = last_output(&mut write, vec![Input::Replied(Err(Error::Busy { retry_after }))]);
    assert_eq!(output, Output::Wait(retry_after));
    assert_eq!(write.step(retry_after, Input::Proceed), Output::Send);
}

#[rstest]
#[case::never_sent(vec![], true)]
#[case::after_a_lost_reply(vec![Input::Replied(Err(Error::Unknown)), Input::Read(Ok(Reading::Unchanged))], false)]
fn step_unreachable_at_deadline(#[case] before: Vec<Input>, #[case] is_refused: bool) {
    let mut write = write();
    for input in before {
        write.step(Duration::ZERO, input);
    }
    let output = write.step(DEADLINE, Input::Replied(Err(Error::Unreachable)));
    let refused = matches!(output, Output::Done(Outcome::Refused { .. }));
    let unknown = output == Output::Done(Outcome::Unknown { current: None });
    assert_eq!((refused, unknown), (is_refused, !is_refused));
}

#[test]
fn step_deletion_with_lost_reply_is_read_back() {
    let mut write = Write::new(change(Expect::Version(5), None), DEADLINE);
    let inputs = vec![
        Input::Replied(Err(Error::Unknown)),
        Input::Read(Ok(Reading::Changed { version: 13, value: None })),
    ];
    let accepted = Outcome::Accepted { version: 13, read_back: true };
    assert_eq!(last_output(&mut write, inputs), Output::Done(accepted));
}

#[rstest]
#[case::not_arrived(Some(object(5, json!(0))), Reading::Unchanged)]
#[case::changed(Some(object(8, json!(1))), Reading::Changed { version: 8, value: Some(json!(1)) })]
#[case::absent(None, Reading::Indeterminate)]
fn of_object_without_history(#[case] now: Option<Object>, #[case] reading: Reading) {
    let change = change(Expect::Version(5), Some(json!(1)));
    assert_eq!(Reading::of_object(&change, now), reading);
}

/// A simulated platform row with its change history.
struct Row {
    revision: u64,
    version: u64,
    log: Vec<(u64, Option<Value>, usize)>,
}

impl Row {
    fn put(&mut self, author: usize, change: &Change) -> Result<u64, Error> {
        if change.expect != Expect::Version(self.version) {
            let current = self
                .log
                .last()
                .and_then(|(version, value, _)| value.clone().map(|value| object(*version, value)));
            return Err(Error::Conflict { current });
        }
        self.revision += 1;
        self.version = self.revision;
        self.log.push((self.version, change.value.clone(), author));
        Ok(self.version)
    }

    fn read(&self) -> Reading {
        match self.log.last() {
            Some((version, value, _)) => {
                Reading::Changed { version: *version, value: value.clone() }
            }
            None => Reading::Unchanged,
        }
    }
}

/// Simulates operators that write the same row over a network that loses and
/// delays messages. Returns the row and the outcome of each operator.
fn race(seed: u64) -> (Row, Vec<Outcome>) {
    const OPERATORS: usize = 3;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut row = Row { revision: 10, version: 5, log: vec![] };
    let value = |author| (author > 0).then(|| json!({"by": author}));
    let change = |author| change(Expect::Version(5), value(author));
    // The shortest deadlines expire while the platform is still busy.
    let deadline = Duration::from_millis(rng.random_range(300..5000));
    let mut writes: Vec<Write> =
        (0..OPERATORS).map(|author| Write::new(change(author), deadline)).collect();
    let mut inputs = vec![Some(Input::Proceed); OPERATORS];
    let mut outcomes = vec![None; OPERATORS];
    let mut delayed: Vec<usize> = Vec::new();
    let mut now = Duration::ZERO;
    while outcomes.iter().any(Option::is_none) {
        now += Duration::from_millis(rng.random_range(0..100));
        if !delayed.is_empty() && rng.random_bool(0.2) {
            let author = delayed.swap_remove(0);
            let _ = row.put(author, &change(author));
        }
        let author = rng.random_range(0..OPERATORS);
        let Some(input) = inputs[author].take() else { continue };
        inputs[author] = match writes[author].step(now, input) {
            Output::Send => Some(Input::Replied(match rng.random_range(0..7) {
                0 => Err(Error::Unknown),
                1 => row.put(author, &change(author)).and(Err(Error::Unknown)),
                2 => {
                    delayed.push(author);
                    Err(Error::Unknown)
                }
                3 => Err(Error::Unreachable),
                4 => Err(Error::Busy { retry_after: Duration::from_millis(700) }),
                _ => row.put(author, &change(author)),
            })),
            Output::Read if rng.random_bool(0.3) => Some(Input::Read(Err(Error::Unreachable))),
            Output::Read => Some(Input::Read(Ok(row.read()))),
            Output::Wait(time) => {
                now += time / 2;
                Some(Input::Proceed)
            }
            Output::Done(outcome) => {
                outcomes[author] = Some(outcome);
                None
            }
        };
    }
    for author in delayed {
        let _ = row.put(author, &change(author));
    }
    (row, outcomes.into_iter().map(Option::unwrap).collect())
}

#[test]
fn step_race_over_lossy_network_reports_true_outcomes() {
    let mut seen = [0_u32; 4];
    for seed in 0..4000 {
        let (row, outcomes) = race(seed);
        assert!(row.log.len() <= 1, "seed {seed}: at most one write is applied");
        for (author, outcome) in outcomes.into_iter().enumerate() {
            let written = row.log.iter().find(|(_, _, by)| *by == author);
            let kind = match outcome {
                Outcome::Accepted { version, .. } => {
                    assert_eq!(written.map(|(at, _, _)| *at), Some(version), "seed {seed}");
                    0
                }
                Outcome::Conflict { .. } => {
                    assert_eq!(written, None, "seed {seed}");
                    1
                }
                Outcome::Refused { .. } => {
                    assert_eq!(written, None, "seed {seed}");
                    2
                }
                Outcome::Unknown { .. } => 3,
                other => panic!("seed {seed}: {other:?}"),
            };
            seen[kind] += 1;
        }
    }
    assert!(seen.iter().all(|count| *count > 0), "every outcome occurs: {seen:?}");
}
