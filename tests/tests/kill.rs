//! Processes are killed or frozen while they serve requests.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use lab::{engine, service};
use rstest::rstest;
use system::caller::{self, Reply};
use system::cluster::{Cluster, Plan, dump, wait_for};

/// Tokens of a stream long enough to be interrupted.
const TOKENS: u32 = 250;
/// Events after which a stream is interrupted.
const EVENTS: u64 = 20;
/// Prompt of the interrupted stream.
const PROMPT: &str = "which liner for a wide foot";
/// Service time of a booking.
const BOOKING: Duration = Duration::from_millis(1500);
/// Longest time for resends to get a final reply.
const RESEND_LIMIT: Duration = Duration::from_secs(60);

/// The bytes of a complete stream, read from an engine directly.
async fn stream_from_engine(cluster: &Cluster, prompt: &str, tokens: u32) -> Vec<u8> {
    let url = cluster.engines["engine-1"].to_url();
    caller::chat(&url, prompt, tokens).await.unwrap().body
}

fn assert_whole(reply: &Reply, prompt: &str, tokens: u32) {
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert!(reply.complete);
    let (text, done) = reply.chat();
    assert_eq!(text, engine::expected(prompt, tokens));
    assert!(done);
}

fn assert_booked(reply: &Reply, body: &str) {
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert!(reply.complete);
    assert_eq!(reply.body, service::expected("/book", body.as_bytes()).into_bytes());
}

/// Resends a booking until the reply is an answer or the final problem
/// `may_have_run`. Each reply before must report the execution state.
async fn resend_until_final(url: &str, key: &str, body: &str) -> Reply {
    let started = std::time::Instant::now();
    loop {
        let reply = caller::book(url, key, body).await.expect("a whole reply");
        assert!(reply.complete);
        if reply.status == 200 {
            assert_booked(&reply, body);
            return reply;
        }
        let ran = reply.execution().expect("a typed problem");
        let reason = reply.reason().expect("a typed problem");
        if reason == "unknown" || started.elapsed() > RESEND_LIMIT {
            assert_eq!(ran, "may_have_run", "{reason}");
            return reply;
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Waits until a service runs the booking, and returns the name of the service.
async fn wait_for_run(cluster: &Cluster, key: &str) -> &'static str {
    wait_for("a run of the booking", || async {
        let ran = |name: &&&'static str| cluster.services[**name].runs().contains_key(key);
        cluster.services.keys().find(ran).copied()
    })
    .await
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillAgent,
    CrashEngine,
    FreezeAgent,
}

#[rstest]
#[case::agent_killed(Fault::KillAgent)]
#[case::engine_crashed(Fault::CrashEngine)]
#[case::agent_frozen(Fault::FreezeAgent)]
#[actix_rt::test]
async fn resume_stream(#[case] fault: Fault) {
    let mut cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let url = cluster.url("entry-1");
    let expected = stream_from_engine(&cluster, PROMPT, TOKENS).await;
    let stream = actix_rt::spawn(async move { caller::chat(&url, PROMPT, TOKENS).await });
    let server = cluster.wait_for_events("entry-1", 1, EVENTS).await;

    match fault {
        Fault::KillAgent => cluster.agents.get_mut(server.as_str()).unwrap().process.kill(),
        Fault::CrashEngine => {
            let crash = format!("{}/control/crash", cluster.engines[server.as_str()].to_url());
            awc::Client::default().post(crash).send().await.unwrap();
        }
        Fault::FreezeAgent => cluster.agents[server.as_str()].process.signal("STOP"),
    }
    let operations = cluster.entries["entry-1"].operations;
    wait_for("the stream's resumption", || async {
        (dump(operations).await?["counters"]["resumed"].as_u64()? >= 1).then_some(())
    })
    .await;
    if let Fault::FreezeAgent = fault {
        // The resumed agent sends outdated events, which must be ignored.
        cluster.agents[server.as_str()].process.signal("CONT");
    }

    let reply = stream.await.unwrap().unwrap();
    assert_whole(&reply, PROMPT, TOKENS);
    assert_eq!(reply.body, expected);
}

#[actix_rt::test]
async fn abort_stream_entry_killed() {
    let mut cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let url = cluster.url("entry-1");
    let stream = actix_rt::spawn(async move { caller::chat(&url, PROMPT, TOKENS).await });
    cluster.wait_for_events("entry-1", 1, EVENTS).await;
    cluster.entries.get_mut("entry-1").unwrap().process.kill();

    // The caller detects the truncated response and resends the request.
    let cut = stream.await.unwrap();
    assert!(cut.is_none_or(|reply| reply.status == 200 && !reply.chat().1));
    let reply = caller::chat(&cluster.url("entry-2"), PROMPT, TOKENS).await.unwrap();
    assert_whole(&reply, PROMPT, TOKENS);
}

#[actix_rt::test]
async fn run_once_entry_killed() {
    let mut cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let url = cluster.url("entry-1");
    let first = actix_rt::spawn(async move { caller::book(&url, "key-1", "bench 4").await });
    wait_for_run(&cluster, "key-1").await;
    cluster.entries.get_mut("entry-1").unwrap().process.kill();
    assert!(first.await.unwrap().is_none_or(|reply| !reply.complete));

    let reply = resend_until_final(&cluster.url("entry-2"), "key-1", "bench 4").await;
    // The agent still runs, so the answer gets recorded.
    assert_booked(&reply, "bench 4");
    assert_eq!(cluster.runs("key-1"), 1);
}

#[actix_rt::test]
async fn run_once_agent_killed() {
    let mut cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let url = cluster.url("entry-1");
    let first = actix_rt::spawn(async move { caller::book(&url, "key-2", "bench 4").await });
    let server = wait_for_run(&cluster, "key-2").await;
    cluster.agents.get_mut(server).unwrap().process.kill();
    let reply = resend_until_final(&cluster.url("entry-2"), "key-2", "bench 4").await;
    // The answer was lost with the agent.
    assert_eq!(reply.execution().as_deref(), Some("may_have_run"));
    let reply = first.await.unwrap().unwrap();
    assert_eq!(reply.execution().as_deref(), Some("may_have_run"));
    assert_eq!(cluster.runs("key-2"), 1);

    cluster.restart_agent(server);
    cluster.wait_until_ready().await;
    for entry in ["entry-1", "entry-2"] {
        let reply = resend_until_final(&cluster.url(entry), "key-2", "bench 4").await;
        assert_eq!(reply.execution().as_deref(), Some("may_have_run"));
    }
    assert_eq!(cluster.runs("key-2"), 1);
}

#[actix_rt::test]
async fn run_once_agent_frozen() {
    let cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let url = cluster.url("entry-1");
    let first = actix_rt::spawn(async move { caller::book(&url, "key-3", "bench 4").await });
    let server = wait_for_run(&cluster, "key-3").await;
    cluster.agents[server].process.signal("STOP");
    // The entry considers the agent lost and answers its caller, unless the
    // booking was answered before the freeze.
    let reply = first.await.unwrap().unwrap();
    if reply.status == 200 {
        assert_booked(&reply, "bench 4");
    } else {
        assert_eq!(reply.execution().as_deref(), Some("may_have_run"));
    }
    resend_until_final(&cluster.url("entry-2"), "key-3", "bench 4").await;
    cluster.agents[server].process.signal("CONT");

    // The resumed agent records the answer.
    let url = cluster.url("entry-2");
    let reply = wait_for("the recorded answer", || async {
        let reply = caller::book(&url, "key-3", "bench 4").await?;
        assert!(reply.status == 200 || reply.execution().as_deref() == Some("may_have_run"));
        (reply.status == 200).then_some(reply)
    })
    .await;
    assert_booked(&reply, "bench 4");
    assert_eq!(cluster.runs("key-3"), 1);
}
