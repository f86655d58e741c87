//! Every step runs under one expert map on all ranks, with real agents.
#![allow(clippy::unwrap_used)]

use lab::platform::Fault;
use rstest::rstest;
use serde_json::json;
use system::ranks::Ranks;

/// Further steps of every engine after which a group counts as running.
const STEPS: usize = 100;
/// Time for a slow rank to load a map, in milliseconds.
const LOAD_MS: u64 = 600;

#[actix_rt::test]
async fn run_steps() {
    let group = Ranks::start(true);
    group.wait_for_steps(STEPS).await;
    group.assert_agreement().await;
    group.assert_no_gaps().await;
    assert_eq!(group.maps().await.len(), 1);
}

/// Each map is slow to load on one of the ranks: the others must wait for it.
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[actix_rt::test]
async fn change_map(#[case] fencing: bool) {
    let group = Ranks::start(fencing);
    group.wait_for_steps(STEPS).await;
    for version in 1..=3 {
        let former = group.maps().await;
        let slow = format!("rank-{}", version - 1);
        group.put_map(json!({"experts": [version], "load_ms": {slow: LOAD_MS}})).await;
        group.wait_for_map(&former).await;
    }
    group.wait_for_steps(STEPS).await;
    group.assert_agreement().await;
    group.assert_no_gaps().await;
    assert_eq!(group.maps().await.len(), 4);
}

/// After the leader is killed, its engine continues with the steps granted so
/// far, and its agent restarts without state.
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[actix_rt::test]
async fn kill_leader(#[case] fencing: bool) {
    let mut group = Ranks::start(fencing);
    group.wait_for_steps(STEPS).await;
    let (leader, number) = group.leader(None).await;
    group.ranks[leader].process.kill();
    let (_, next) = group.leader(Some(leader)).await;
    assert!(next > number);
    group.restart(leader);
    group.wait_for_steps(STEPS).await;
    group.assert_agreement().await;
}

/// A frozen leader still has grants in its sockets and timers when it resumes.
/// A new map is written meanwhile, so that stale grants would differ.
#[rstest]
#[case::fenced(true)]
#[case::unfenced(false)]
#[actix_rt::test]
async fn freeze_leader(#[case] fencing: bool) {
    let group = Ranks::start(fencing);
    group.wait_for_steps(STEPS).await;
    let former = group.maps().await;
    let (leader, number) = group.leader(None).await;
    group.ranks[leader].process.signal("STOP");
    let (_, next) = group.leader(Some(leader)).await;
    assert!(next > number);
    group.put_map(json!({"experts": [7]})).await;
    group.ranks[leader].process.signal("CONT");
    group.wait_for_map(&former).await;
    group.wait_for_steps(STEPS).await;
    group.assert_agreement().await;
    // No agent restarted, so no step was skipped.
    group.assert_no_gaps().await;
}

#[actix_rt::test]
async fn run_without_platform() {
    let group = Ranks::start(true);
    group.wait_for_steps(STEPS).await;
    group.platform.set_fault(Fault { outage: true, ..Fault::default() });
    group.wait_for_steps(5 * STEPS).await;
    group.assert_agreement().await;
    group.assert_no_gaps().await;
}

/// A planned stop hands over leadership; the restarted agent is a follower.
#[actix_rt::test]
async fn stop_leader() {
    let mut group = Ranks::start(true);
    group.wait_for_steps(STEPS).await;
    let (leader, number) = group.leader(None).await;
    group.ranks[leader].process.signal("TERM");
    let (_, next) = group.leader(Some(leader)).await;
    assert!(next > number);
    let ended = group.ranks[leader].process.wait(std::time::Duration::from_secs(60));
    assert!(ended.unwrap().success());
    // Each rank executes all granted steps, whichever leader granted them.
    group.assert_no_gaps().await;
    group.restart(leader);
    group.wait_for_steps(STEPS).await;
    group.assert_agreement().await;
}
