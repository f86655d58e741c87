//! The register of requests that crash servers.

use std::time::Duration;

use admission::gate::Verdict;
use admission::suspect::{Input, Output, Register};
use rstest::rstest;
use tables::Suspect;
use wire::{Execution, Reason};

const NOW: Duration = Duration::from_secs(10);
const ID: u64 = 5;
const TICKET: u64 = 1;

fn register() -> Register {
    Register::new("m1/1".into())
}

fn row(crashes: u32, trial: Option<&str>) -> Suspect {
    Suspect { crashes, trial: trial.map(Into::into), condemned: false }
}

/// What a trial does that is asked for at `now` and finds this row.
fn trial(register: &mut Register, now: Duration, version: u64, row: Suspect) -> Vec<Output> {
    register.step(now, Input::Trial { ticket: TICKET, fingerprint: ID });
    register.step(now, Input::Loaded(ID, Some((version, row))))
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
#[case::alone(true, 3, true)]
fn crash_condemns_after_trial(#[case] alone: bool, #[case] crashes: u32, #[case] condemned: bool) {
    let mut register = register();
    if alone {
        trial(&mut register, NOW, 3, row(2, None));
        let grant = Output::Verdict(TICKET, Verdict::Grant);
        assert_eq!(register.step(NOW, Input::Stored(ID)), [grant]);
    }
    register.step(NOW, Input::Crash(vec![ID]));
    let known = alone.then(|| (4, row(2, Some("m1/1"))));
    let outputs = register.step(NOW, Input::Loaded(ID, known));
    let expect = alone.then_some(4);
    let next = Suspect { crashes, trial: None, condemned };
    assert_eq!(outputs, [Output::Store(ID, expect, next)]);
}

#[test]
fn trial_elsewhere_is_refused() {
    let outputs = trial(&mut register(), NOW, 3, row(2, Some("m2/1")));
    assert_eq!(reason(&outputs), Some(Reason::Running));
}

#[test]
fn trial_of_lost_holder_condemns() {
    let mut register = register();
    trial(&mut register, NOW, 3, row(2, Some("m2/1")));
    let later = NOW + Duration::from_secs(61);
    let outputs = trial(&mut register, later, 3, row(2, Some("m2/1")));
    let condemned = Suspect { crashes: 3, trial: None, condemned: true };
    assert_eq!(outputs, [Output::Store(ID, Some(3), condemned)]);
    assert_eq!(reason(&register.step(later, Input::Stored(ID))), Some(Reason::Poison));
}

#[test]
fn trial_after_holder_is_done_is_granted() {
    let mut register = register();
    trial(&mut register, NOW, 3, row(2, Some("m2/1")));
    let later = NOW + Duration::from_secs(61);
    let outputs = trial(&mut register, later, 4, row(2, None));
    assert_eq!(outputs, [Output::Store(ID, Some(4), row(2, Some("m1/1")))]);
    let outputs = register.step(later, Input::Stored(ID));
    assert_eq!(outputs, [Output::Verdict(TICKET, Verdict::Grant)]);
}

#[test]
fn trial_anew_by_same_holder_is_not_lost() {
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
    register.step(NOW, Input::Trial { ticket: TICKET, fingerprint: ID });
    let outputs: Vec<Output> = (0..6).flat_map(|_| register.step(NOW, Input::Failed(ID))).collect();
    assert_eq!(reason(&outputs), Some(Reason::Claims));
    assert_eq!(register.waiting(), 0);
}

#[rstest]
#[case::own(Some("m1/1"), Some(row(2, None)))]
#[case::other(Some("m2/1"), None)]
#[case::none(None, None)]
fn release_frees_own_trial(#[case] holder: Option<&str>, #[case] stored: Option<Suspect>) {
    let mut register = register();
    register.step(NOW, Input::Release(ID));
    let outputs = register.step(NOW, Input::Loaded(ID, Some((3, row(2, holder)))));
    let expected: Vec<Output> =
        stored.into_iter().map(|row| Output::Store(ID, Some(3), row)).collect();
    assert_eq!(outputs, expected);
}

#[test]
fn crash_after_release_does_not_condemn() {
    let mut register = register();
    trial(&mut register, NOW, 3, row(2, None));
    register.step(NOW, Input::Stored(ID));
    register.step(NOW, Input::Release(ID));
    register.step(NOW, Input::Loaded(ID, Some((4, row(2, Some("m1/1"))))));
    register.step(NOW, Input::Stored(ID));
    register.step(NOW, Input::Crash(vec![ID]));
    let outputs = register.step(NOW, Input::Loaded(ID, Some((5, row(2, None)))));
    assert_eq!(outputs, [Output::Store(ID, Some(5), row(3, None))]);
}
