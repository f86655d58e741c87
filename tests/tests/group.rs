//! One expert map in every step, through real agents.
#![allow(clippy::unwrap_used)]

use lab::platform::Fault;
use rstest::rstest;
use serde_json::json;
use system::ranks::Ranks;

/// Steps that every engine must run on for a group to count as running.
const STEPS: usize = 100;
/// Time that a slow rank takes to load a map, in milliseconds.
const LOAD_MS: u64 = 600;

#[actix_rt::test]
async fn run_steps() {
    let group = Ranks::start(true);
    group.wait_for_steps(STEPS).await;
    group.assert_agreement().await;
    group.assert_no_gaps().await;
    assert_eq!(group.maps().await.len(), 1);
}

/// Each map takes one of the ranks long to load: no other may go ahead.
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

/// The killed leader's engine goes on with what it was granted; its agent
/// comes back without memory.
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

/// The frozen leader's grants are still in its sockets and timers when it
/// goes on; a new map is put meanwhile, so that stale grants would differ.
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
    // No rank has lost its memory, so no step was left out.
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

/// A planned stop hands leadership over; the agent that comes back follows.
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
    // All that was granted is run by each rank, under whichever number.
    group.assert_no_gaps().await;
    group.restart(leader);
    group.wait_for_steps(STEPS).await;
    group.assert_agreement().await;
}
