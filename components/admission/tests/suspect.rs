//! Tests of the register of requests that crash backend servers.

use std::time::Duration;

use admission::gate::Verdict;
use admission::suspect::{Input, Output, Register};
use rstest::rstest;
use tables::Suspect;
use wire::{Execution, Reason};

const NOW: Duration = Duration::from_secs(10);
const FINGERPRINT: u64 = 5;
const TICKET: u64 = 1;

fn register() -> Register {
    Register::new("m1/1".into())
}

fn row(crashes: u32, trial: Option<&str>) -> Suspect {
    Suspect { crashes, trial: trial.map(Into::into), condemned: false }
}

/// Requests a trial at `now`, for which this row is read; returns the outputs.
fn trial(register: &mut Register, now: Duration, version: u64, row: Suspect) -> Vec<Output> {
    register.step(now, Input::Trial { ticket: TICKET, fingerprint: FINGERPRINT });
    register.step(now, Input::Loaded(FINGERPRINT, Some((version, row))))
}

fn reason(outputs: &[Output]) -> Option<Reason> {
    outputs.iter().find_map(|output| match output {
        Output::Verdict(TICKET, Verdict::Refuse { reason, execution: Execution::NotRun, .. }) => {
            Some(*reason)
        }
        _ => None,
    })
}

#[rstest]
#[case::shared(false, 1, false)]
#[case::exclusive(true, 3, true)]
fn crash_condemns_after_trial(
    #[case] exclusive: bool,
    #[case] crashes: u32,
    #[case] condemned: bool,
) {
    let mut register = register();
    if exclusive {
        trial(&mut register, NOW, 3, row(2, None));
        let grant = Output::Verdict(TICKET, Verdict::Grant);
        assert_eq!(register.step(NOW, Input::Stored(FINGERPRINT)), [grant]);
    }
    register.step(NOW, Input::Crash(vec![FINGERPRINT]));
    let known = exclusive.then(|| (4, row(2, Some("m1/1"))));
    let outputs = register.step(NOW, Input::Loaded(FINGERPRINT, known));
    let expected_version = exclusive.then_some(4);
    let next = Suspect { crashes, trial: None, condemned };
    assert_eq!(outputs, [Output::Store(FINGERPRINT, expected_version, next)]);
}

#[test]
fn trial_held_by_other_agent_is_refused() {
    let outputs = trial(&mut register(), NOW, 3, row(2, Some("m2/1")));
    assert_eq!(reason(&outputs), Some(Reason::Running));
}

#[test]
fn trial_of_crashed_holder_condemns() {
    let mut register = register();
    trial(&mut register, NOW, 3, row(2, Some("m2/1")));
    let later = NOW + Duration::from_secs(61);
    let outputs = trial(&mut register, later, 3, row(2, Some("m2/1")));
    let condemned = Suspect { crashes: 3, trial: None, condemned: true };
    assert_eq!(outputs, [Output::Store(FINGERPRINT, Some(3), condemned)]);
    assert_eq!(reason(&register.step(later, Input::Stored(FINGERPRINT))), Some(Reason::Poison));
}

#[test]
fn trial_after_release_by_other_agent_is_granted() {
    let mut register = register();
    trial(&mut register, NOW, 3, row(2, Some("m2/1")));
    let later = NOW + Duration::from_secs(61);
    let outputs = trial(&mut register, later, 4, row(2, None));
    assert_eq!(outputs, [Output::Store(FINGERPRINT, Some(4), row(2, Some("m1/1")))]);
    let outputs = register.step(later, Input::Stored(FINGERPRINT));
    assert_eq!(outputs, [Output::Verdict(TICKET, Verdict::Grant)]);
}

#[test]
fn trial_repeated_by_other_agent_is_refused() {
    let mut register = register();
    trial(&mut register, NOW, 3, row(2, Some("m2/1")));
    let later = NOW + Duration::from_secs(61);
    let outputs = trial(&mut register, later, 6, row(2, Some("m2/1")));
    assert_eq!(reason(&outputs), Some(Reason::Running));
}

#[test]
fn trial_of_condemned_is_refused() {
    let outputs = trial(&mut register(), NOW, 3, Suspect { condemned: true, ..row(3, None) });
    assert_eq!(reason(&outputs), Some(Reason::Poison));
}

#[test]
fn trial_without_platform_is_refused() {
    let mut register = register();
    register.step(NOW, Input::Trial { ticket: TICKET, fingerprint: FINGERPRINT });
    let outputs: Vec<Output> =
        (0..6).flat_map(|_| register.step(NOW, Input::Failed(FINGERPRINT))).collect();
    assert_eq!(reason(&outputs), Some(Reason::Claims));
    assert_eq!(register.waiting(), 0);
}

#[rstest]
#[case::own(Some("m1/1"), Some(row(2, None)))]
#[case::other(Some("m2/1"), None)]
#[case::none(None, None)]
fn release_frees_own_trial(#[case] holder: Option<&str>, #[case] stored: Option<Suspect>) {
    let mut register = register();
    register.step(NOW, Input::Release(FINGERPRINT));
    let outputs = register.step(NOW, Input::Loaded(FINGERPRINT, Some((3, row(2, holder)))));
    let expected: Vec<Output> =
        stored.into_iter().map(|row| Output::Store(FINGERPRINT, Some(3), row)).collect();
    assert_eq!(outputs, expected);
}

#[test]
fn crash_after_release_does_not_condemn() {
    let mut register = register();
    trial(&mut register, NOW, 3, row(2, None));
    register.step(NOW, Input::Stored(FINGERPRINT));
    register.step(NOW, Input::Release(FINGERPRINT));
    register.step(NOW, Input::Loaded(FINGERPRINT, Some((4, row(2, Some("m1/1"))))));
    register.step(NOW, Input::Stored(FINGERPRINT));
    register.step(NOW, Input::Crash(vec![FINGERPRINT]));
    let outputs = register.step(NOW, Input::Loaded(FINGERPRINT, Some((5, row(2, None)))));
    assert_eq!(outputs, [Output::Store(FINGERPRINT, Some(5), row(3, None))]);
}
