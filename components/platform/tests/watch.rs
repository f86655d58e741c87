//! The watch as a state machine, with simulated time.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use platform::watch::{Input, Output, Settings};
use platform::{Change, Changes, Error, Hosts, Update, Watch};
use rstest::rstest;
use serde_json::json;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn settings() -> Settings {
    Settings {
        interval: ms(2000),
        hosts_interval: ms(5000),
        wait: ms(20_000),
        backoff_min: ms(250),
        backoff_max: ms(5000),
        stale_after: ms(30_000),
        seed: 1,
    }
}

fn listing(revision: u64) -> Input {
    Input::Listed(Ok(Update::Listing { revision, rows: vec![], malformed: vec![] }))
}

fn changed(revision: u64) -> Input {
    let change = Change {
        kind: "zone".into(),
        name: "a".into(),
        version: revision,
        value: Some(json!({"out": true})),
    };
    Input::Changed(Ok(Changes { revision, changes: vec![change] }))
}

fn hosts(revision: u64) -> Input {
    Input::Hosts(Ok(Hosts { revision, ..Hosts::default() }))
}

/// A watch that has listed at revision 10 and waits for both calls.
fn waiting() -> Watch {
    let mut watch = Watch::new(settings());
    watch.step(ms(0), Input::Tick);
    watch.step(ms(0), listing(10));
    watch.step(ms(0), hosts(3));
    watch
}

fn watched_since(outputs: &[Output]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        Output::Watch { since, .. } => Some(*since),
        _ => None,
    })
}

#[test]
fn step_first_lists_and_requests_hosts() {
    let mut watch = Watch::new(settings());
    let outputs = watch.step(ms(0), Input::Tick);
    assert_eq!(outputs, [Output::List, Output::Hosts { since: 0, wait: ms(20_000) }]);
    assert_eq!(watch.step(ms(1), Input::Tick), [], "one call of each kind at a time");
}

#[test]
fn step_after_listing_watches_since_its_revision() {
    let mut watch = Watch::new(settings());
    watch.step(ms(0), Input::Tick);
    let outputs = watch.step(ms(5), listing(10));
    assert_eq!(watched_since(&outputs), Some(10));
    assert!(matches!(outputs[0], Output::Update(Update::Listing { revision: 10, .. })));
}

#[test]
fn step_early_change_watches_again_after_interval() {
    let mut watch = waiting();
    let outputs = watch.step(ms(100), changed(11));
    assert!(matches!(outputs[0], Output::Update(Update::Delta { .. })));
    assert_eq!(watched_since(&outputs), None);
    assert_eq!(watched_since(&watch.step(ms(1999), Input::Tick)), None);
    assert_eq!(watched_since(&watch.step(ms(3000), Input::Tick)), Some(11));
}

#[test]
fn step_late_change_watches_again_within_interval() {
    let mut watch = waiting();
    let outputs = watch.step(ms(5500), changed(11));
    assert!(matches!(outputs[0], Output::Update(Update::Delta { .. })));
    assert_eq!(watched_since(&watch.step(ms(7500), Input::Tick)), Some(11));
}

#[rstest]
#[case::long_after_call_start(ms(6000))]
#[case::soon_after_call_start(ms(100))]
fn step_change_spreads_next_calls_of_640_nodes(#[case] at: Duration) {
    const NODES: u64 = 640;
    let mut calls_per_100_ms = [0_u32; 30];
    for seed in 0..NODES {
        let mut watch = Watch::new(Settings { seed, hosts_interval: ms(60_000), ..settings() });
        watch.step(ms(0), Input::Tick);
        watch.step(ms(0), listing(10));
        watch.step(ms(0), hosts(3));
        watch.step(at, changed(11));
        let after = watch.next_tick().unwrap() - at;
        calls_per_100_ms[usize::try_from(after.as_millis() / 100).unwrap()] += 1;
    }
    assert_eq!(calls_per_100_ms.iter().sum::<u32>(), 640);
    assert!(*calls_per_100_ms.iter().max().unwrap() <= 128, "{calls_per_100_ms:?}");
}

#[test]
fn step_without_change_outputs_nothing() {
    let mut watch = waiting();
    watch.step(ms(7500), Input::Tick);
    let unchanged = Input::Changed(Ok(Changes { revision: 10, changes: vec![] }));
    assert_eq!(watch.step(ms(20_000), unchanged), []);
    let again = watch.step(ms(22_000), Input::Tick);
    assert_eq!(again, [Output::Watch { since: 10, wait: ms(20_000) }]);
}

/// The changes are no longer retained, or the same watch would get the same unusable
/// answer.
#[rstest]
#[case::gone(Error::Gone)]
#[case::oversized(Error::Oversized { limit: 64 << 20 })]
#[case::malformed(Error::Malformed { status: 200 })]
fn step_unusable_watch_lists_again(#[case] error: Error) {
    let mut watch = waiting();
    let mut outputs = watch.step(ms(100), Input::Changed(Err(error)));
    outputs.extend(watch.step(ms(100) + ms(500), Input::Tick));
    assert!(outputs.contains(&Output::List));
    assert_eq!(watched_since(&outputs), None);
}

#[rstest]
#[case::watch(changed(9))]
#[case::listing(listing(9))]
fn step_older_revision_is_rejected(#[case] outdated: Input) {
    let mut watch = waiting();
    let outputs = watch.step(ms(3000), outdated);
    assert!(!outputs.iter().any(|output| matches!(output, Output::Update(_))));
    assert_eq!(watch.revision(), 10);
    assert_eq!(watch.counters().unusable_replies, 1);
}

#[test]
fn step_older_hosts_are_rejected() {
    let mut watch = waiting();
    watch.step(ms(7500), Input::Tick);
    assert_eq!(watch.step(ms(7500), hosts(2)), []);
    assert_eq!(watch.counters().unusable_replies, 1);
}

#[test]
fn step_host_changes_merge_into_list() {
    let host = |name: &str| {
        let value = json!({"name": name, "role": "server", "zone": "accra-1",
            "link": "tcp://127.0.0.1:9", "pool": "fit", "state": "live"});
        serde_json::from_value::<tables::Host>(value).unwrap()
    };
    let names = |outputs: &[Output]| -> Vec<String> {
        let hosts = outputs.iter().find_map(|output| match output {
            Output::Update(Update::Hosts { hosts, .. }) => Some(hosts.clone()),
            _ => None,
        });
        hosts.unwrap_or_default().iter().map(|host| host.name.to_string()).collect()
    };
    let reply =
        |revision, since, hosts, gone| Input::Hosts(Ok(Hosts { revision, since, hosts, gone }));
    let mut watch = Watch::new(settings());
    watch.step(ms(0), Input::Tick);
    let outputs = watch.step(ms(0), reply(3, 0, vec![host("a"), host("b")], vec![]));
    assert_eq!(names(&outputs), ["a", "b"]);
    let outputs = watch.step(ms(1), reply(5, 3, vec![host("c")], vec!["a".into()]));
    assert_eq!(names(&outputs), ["b", "c"]);
    let outputs = watch.step(ms(2), reply(9, 7, vec![host("d")], vec![]));
    assert_eq!(names(&outputs), [""; 0], "a gap before the changes");
    let outputs = watch.step(ms(3), reply(9, 0, vec![host("d")], vec![]));
    assert_eq!(names(&outputs), ["d"]);
}

#[rstest]
#[case::unreachable(Error::Unreachable, ms(0))]
#[case::busy(Error::Busy { retry_after: ms(4000) }, ms(4000))]
fn step_failures_back_off_within_bounds(#[case] error: Error, #[case] minimum: Duration) {
    let mut watch = waiting();
    let mut now = ms(3000);
    for failure in 0..12 {
        watch.step(now, Input::Changed(Err(error.clone())));
        let tick = loop {
            let tick = watch.next_tick().unwrap();
            if watched_since(&watch.step(tick, Input::Tick)).is_some() {
                break tick;
            }
        };
        let bound = ms(250 << failure).min(ms(5000));
        assert!(tick >= now + minimum && tick <= now + minimum + bound, "failure {failure}");
        now = tick + ms(1);
    }
    assert_eq!(watch.counters().failures, 12);
}

#[test]
fn step_retries_of_640_nodes_spread_out() {
    const NODES: u64 = 640;
    const FAILURES: usize = 8;
    let mut calls_per_s = [0_u32; 6];
    for seed in 0..NODES {
        let mut watch = Watch::new(Settings { seed, ..settings() });
        watch.step(ms(0), Input::Tick);
        for _ in 0..FAILURES {
            watch.step(ms(1000), Input::Listed(Err(Error::Unreachable)));
            while !watch.step(watch.next_tick().unwrap(), Input::Tick).contains(&Output::List) {}
        }
        watch.step(ms(1000), Input::Listed(Err(Error::Unreachable)));
        let at = watch.next_tick().unwrap() - ms(1000);
        calls_per_s[usize::try_from(at.as_secs()).unwrap()] += 1;
    }
    assert_eq!(calls_per_s.iter().sum::<u32>(), 640);
    assert!(*calls_per_s.iter().max().unwrap() <= 200, "{calls_per_s:?}");
}

#[test]
fn step_reports_fresh_after_both_replies() {
    let mut watch = Watch::new(settings());
    watch.step(ms(0), Input::Tick);
    assert!(!watch.step(ms(1), listing(10)).contains(&Output::Update(Update::Fresh)));
    assert!(watch.step(ms(2), hosts(3)).contains(&Output::Update(Update::Fresh)));
    assert!(watch.is_fresh());
}

#[test]
fn step_reports_stale_once_and_fresh_again() {
    let mut watch = waiting();
    watch.step(ms(1000), Input::Changed(Err(Error::Unreachable)));
    watch.step(ms(1000), Input::Hosts(Err(Error::Unreachable)));
    let mut stale = 0;
    for second in 1..60 {
        let outputs = watch.step(ms(second * 1000), Input::Tick);
        stale += outputs.iter().filter(|o| **o == Output::Update(Update::Stale)).count();
        assert_eq!(stale, usize::from(second >= 30), "second {second}");
    }
    watch.step(ms(61_000), changed(12));
    let outputs = watch.step(ms(61_000), hosts(3));
    assert!(outputs.contains(&Output::Update(Update::Fresh)));
}

#[test]
fn next_tick_includes_staleness_of_open_calls() {
    let mut watch = waiting();
    let hosts_due = watch.next_tick().unwrap();
    assert!(hosts_due >= ms(5000) && hosts_due <= ms(7500));
    watch.step(hosts_due, Input::Tick);
    assert_eq!(watch.next_tick(), Some(ms(30_000)));
}

#[test]
fn step_same_seed_gives_same_ticks() {
    let run = || {
        let mut watch = waiting();
        let mut ticks = Vec::new();
        for second in 3..30 {
            watch.step(ms(second * 1000), Input::Changed(Err(Error::Unreachable)));
            ticks.push(watch.next_tick());
        }
        ticks
    };
    assert_eq!(run(), run());
}
