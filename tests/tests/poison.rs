//! A request that crashes each engine that runs it is sent repeatedly.
#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lab::engine;
use rstest::rstest;
use system::caller;
use system::cluster::{Cluster, Plan, explain, wait_for};

/// Prompt text that crashes the engine.
const MARKER: &str = "poisonous";
/// Number of times the request is sent.
const SENDS: usize = 50;
/// Upper bound on crashes: two while other requests run on the engine
/// ([`admission::suspect::SHARED_CRASHES`]), and one when the request runs alone.
/// Each send waits until all agents have the evidence of the one before.
const CRASH_LIMIT: u64 = admission::suspect::SHARED_CRASHES as u64 + 1;
/// Tokens of an innocent stream, which doesn't contain the marker.
const TOKENS: u32 = 40;
/// Delay before a refused caller retries.
const RETRY_DELAY: Duration = Duration::from_millis(100);

const ENTRIES: [&str; 3] = ["entry-1", "entry-2", "entry-3"];
const ENGINES: [&str; 4] = ["engine-1", "engine-2", "engine-3", "engine-4"];

fn plan(report_lag: Duration) -> Plan {
    let engine = engine::Settings {
        report_lag,
        crash_marker: Some(MARKER.into()),
        restart: Duration::from_millis(200),
        ..Default::default()
    };
    Plan {
        entries: ENTRIES.to_vec(),
        engines: ENGINES.iter().map(|name| (*name, "accra-1")).collect(),
        services: Vec::new(),
        engine,
        ..Plan::default()
    }
}

/// The sum of the engines' incarnations, which rises by one with each crash.
async fn incarnations(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for engine in cluster.engines.values() {
        let url = format!("{}/v1/load", engine.to_url());
        let mut response = awc::Client::default().get(url).send().await.unwrap();
        let load: engine::Load = response.json().await.unwrap();
        sum += load.incarnation;
    }
    sum
}

/// Outcomes of the innocent streams of one caller.
#[derive(Debug, Default)]
struct Tally {
    completed: u64,
    /// Bodies of streams that ended with a problem, with the entry's explanation.
    failed: Vec<String>,
}

/// Requests streams one after the other until `stop` is set. A stream whose
/// engine is starting may be refused with `Retry-After` before its first event.
/// All received text must be correct, and an incomplete stream must end with a
/// problem.
async fn stream(
    url: String,
    operations: SocketAddr,
    name: &'static str,
    stop: Rc<Cell<bool>>,
) -> Tally {
    let mut tally = Tally::default();
    let mut count = 0;
    while !stop.get() {
        let prompt = format!("{name} asks {count}");
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(reply.complete);
        if reply.execution().as_deref() == Some("not_run") && reply.retry_after.is_some() {
            actix_rt::time::sleep(RETRY_DELAY).await;
            continue;
        }
        count += 1;
        let (text, done) = reply.chat();
        let expected = engine::expected(&prompt, TOKENS);
        if done {
            assert_eq!(text, expected);
            tally.completed += 1;
        } else {
            assert!(expected.starts_with(&text), "{body}");
            assert!(body.contains("\"ran\":"), "{body}");
            let id = reply.request_id.as_deref().unwrap_or_default();
            let explanation = explain(operations, id).await.unwrap_or_default();
            tally.failed.push(format!("{body} {explanation}"));
        }
    }
    tally
}

/// Waits until all agents have the evidence stored in the platform.
async fn wait_for_evidence(cluster: &Cluster) {
    wait_for("the end of the agents' writes", || async {
        for agent in cluster.agents.values() {
            let state = system::cluster::dump(agent.operations).await?;
            if state["suspect_changes_waiting"].as_u64()? > 0 {
                return None;
            }
        }
        Some(())
    })
    .await;
    let client = platform::Client::new(vec![cluster.platform.url()], Duration::from_secs(30));
    let rows = client.list("suspect").await.unwrap();
    let newest = rows.objects.iter().map(|object| object.version).max().unwrap_or(0);
    cluster.wait_for_revision(newest).await;
}

/// Sends the request fifty times through three entries, while innocent streams
/// run. Returns the number of crashes and the outcomes of the streams.
async fn send_fifty(report_lag: Duration) -> (u64, Vec<Tally>) {
    let cluster = Cluster::start(plan(report_lag)).await;
    let before = incarnations(&cluster).await;
    let stop = Rc::new(Cell::new(false));
    let innocent = |entry: &'static str| {
        let operations = cluster.entries[entry].operations;
        actix_rt::spawn(stream(cluster.url(entry), operations, entry, stop.clone()))
    };
    let innocents: Vec<_> = ENTRIES.into_iter().map(innocent).collect();

    let prompt = format!("a {MARKER} foot");
    let mut refused = 0;
    for number in 0..SENDS {
        let url = cluster.url(ENTRIES[number % ENTRIES.len()]);
        let reply = caller::chat(&url, &prompt, TOKENS).await.expect("an answer");
        let body = String::from_utf8_lossy(&reply.body).into_owned();
        let ran = reply.execution().unwrap_or_else(|| panic!("not a typed problem: {body}"));
        match reply.reason().as_deref() {
            Some("poison") => {
                assert_eq!(reply.status, 422);
                refused += 1;
            }
            // A refusal is final: no entry runs the request afterwards.
            reason => assert_eq!(refused, 0, "{reason:?} {ran}"),
        }
        if refused == 0 {
            wait_for_evidence(&cluster).await;
        }
    }
    // Now each entry refuses the request as not run.
    for entry in ENTRIES {
        let reply = caller::chat(&cluster.url(entry), &prompt, TOKENS).await.unwrap();
        assert_eq!(reply.reason().as_deref(), Some("poison"));
        assert_eq!(reply.execution().as_deref(), Some("not_run"));
        assert_eq!(reply.retry_after, None);
    }
    stop.set(true);
    let mut tallies = Vec::new();
    for task in innocents {
        tallies.push(task.await.unwrap());
    }
    // The load report lags, so wait until it includes every crash.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    (incarnations(&cluster).await - before, tallies)
}

#[rstest]
#[case::report_at_once(Duration::ZERO)]
#[case::report_late(Duration::from_millis(200))]
#[actix_rt::test]
async fn bound_crashes_of_fifty_sends(#[case] report_lag: Duration) {
    let (crashes, _) = send_fifty(report_lag).await;
    assert!((1..=CRASH_LIMIT).contains(&crashes), "{crashes} crashes");
}

#[rstest]
#[case::report_at_once(Duration::ZERO)]
#[case::report_late(Duration::from_millis(200))]
#[actix_rt::test]
async fn keep_innocent_streams_whole(#[case] report_lag: Duration) {
    let (_, tallies) = send_fifty(report_lag).await;
    for tally in tallies {
        assert!(tally.completed > 0);
        assert_eq!(tally.failed, Vec::<String>::new());
    }
}

/// Requests of different callers, no two alike, share a message that crashes each
/// engine that runs it.
#[actix_rt::test]
async fn recognize_message_that_crashes_engines() {
    let cluster = Cluster::start(plan(Duration::ZERO)).await;
    let before = incarnations(&cluster).await;
    for (number, entry) in ENTRIES.into_iter().cycle().take(12).enumerate() {
        let messages = serde_json::json!([
            {"role": "system", "content": MARKER},
            {"role": "user", "content": format!("foot {number}")},
        ]);
        caller::chat_messages(&cluster.url(entry), &messages, TOKENS).await.expect("an answer");
        wait_for_evidence(&cluster).await;
    }
    let crashes = incarnations(&cluster).await - before;
    assert!(crashes <= CRASH_LIMIT, "{crashes} crashes");
}
