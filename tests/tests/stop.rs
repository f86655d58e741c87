//! Planned stops under load: no request in progress is aborted.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use lab::{engine, service};
use system::caller::{self, Reply};
use system::cluster::{Cluster, Plan, dump, wait_for};

/// Tokens of each stream in flight.
const TOKENS: u32 = 300;
/// Number of streams in flight, and of bookings in flight.
const COUNT: usize = 4;
/// Service time of a booking.
const BOOKING: Duration = Duration::from_millis(1500);
/// Longest time for a process to exit: the drain time of its settings (20 s)
/// and a margin for a slow machine.
const EXIT_LIMIT: Duration = Duration::from_secs(30);

type Task = actix_rt::task::JoinHandle<Option<Reply>>;

/// Requests in flight.
struct Load {
    chats: Vec<(String, Task)>,
    bookings: Vec<(String, Task)>,
}

impl Load {
    /// Sends streams and bookings through an entry, and waits until all run.
    async fn start(cluster: &Cluster, entry: &str) -> Load {
        let chat = |number: usize| {
            let (url, prompt) = (cluster.url(entry), format!("boot number {number}"));
            let sent = prompt.clone();
            let task = actix_rt::spawn(async move { caller::chat(&url, &sent, TOKENS).await });
            (prompt, task)
        };
        let chats = (0..COUNT).map(chat).collect();
        cluster.wait_for_events(entry, COUNT, 1).await;
        let book = |number: usize| {
            let (url, key) = (cluster.url(entry), format!("key-{number}"));
            let sent = key.clone();
            let task = actix_rt::spawn(async move { caller::book(&url, &sent, "bench 4").await });
            (key, task)
        };
        let bookings: Vec<(String, Task)> = (0..COUNT).map(book).collect();
        for (key, _) in &bookings {
            wait_for("a run of the booking", || async { (cluster.runs(key) == 1).then_some(()) })
                .await;
        }
        Load { chats, bookings }
    }

    /// Asserts that all responses are complete and that each booking ran once.
    async fn finish(self, cluster: &Cluster) {
        for (prompt, task) in self.chats {
            let reply = task.await.unwrap().expect("an answer");
            assert!(reply.complete);
            assert_eq!(reply.chat(), (engine::expected(&prompt, TOKENS), true));
        }
        for (key, task) in self.bookings {
            assert_booked(&task.await.unwrap().expect("an answer"));
            assert_eq!(cluster.runs(&key), 1);
        }
    }
}

fn assert_booked(reply: &Reply) {
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert!(reply.complete);
    assert_eq!(reply.body, service::expected("/book", b"bench 4").into_bytes());
}

fn assert_refused(reply: &Reply) {
    assert_eq!(reply.status, 503, "{}", String::from_utf8_lossy(&reply.body));
    assert_eq!(reply.execution().as_deref(), Some("not_run"));
    assert!(reply.retry_after.is_some());
}

#[actix_rt::test]
async fn drain_entry_under_load() {
    let mut cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let load = Load::start(&cluster, "entry-1").await;
    let operations = cluster.entries["entry-1"].operations;
    cluster.entries["entry-1"].process.signal("TERM");

    // Readiness ends first, so that the platform's load balancer stops routing
    // to the entry before it refuses requests.
    wait_for("the end of readiness", || async {
        let url = format!("http://{operations}/readyz");
        let response = awc::Client::default().get(url).send().await.ok()?;
        (response.status() == 503).then_some(())
    })
    .await;
    wait_for("the refusal of new requests", || async {
        dump(operations).await?["leaving"].as_bool()?.then_some(())
    })
    .await;
    let refused = caller::book(&cluster.url("entry-1"), "late", "bench 4").await.unwrap();
    assert_refused(&refused);
    assert_eq!(cluster.runs("late"), 0);
    assert_booked(&caller::book(&cluster.url("entry-2"), "late", "bench 4").await.unwrap());
    let elsewhere = caller::chat(&cluster.url("entry-2"), "a heel", 5).await.unwrap();
    assert_eq!(elsewhere.chat(), (engine::expected("a heel", 5), true));

    load.finish(&cluster).await;
    let entry = cluster.entries.get_mut("entry-1").unwrap();
    let status = entry.process.wait(EXIT_LIMIT).expect("the entry ends within its bound");
    assert_eq!(status.code(), Some(0));
}

/// Bookings that take longer than the stop of their entry were cut without an answer.
#[actix_rt::test]
async fn stop_answers_open_bookings() {
    let plan = Plan { drain: Duration::from_secs(1), ..Plan::pairs(EXIT_LIMIT) };
    let mut cluster = Cluster::start(plan).await;
    let url = cluster.url("entry-1");
    let task = actix_rt::spawn(async move { caller::book(&url, "key-1", "bench 4").await });
    wait_for("a run of the booking", || async { (cluster.runs("key-1") == 1).then_some(()) }).await;
    cluster.entries["entry-1"].process.signal("TERM");
    let reply = task.await.unwrap().expect("an answer");
    assert_eq!(reply.status, 502, "{}", String::from_utf8_lossy(&reply.body));
    assert!(reply.complete);
    assert_eq!(reply.execution().as_deref(), Some("may_have_run"));
    let entry = cluster.entries.get_mut("entry-1").unwrap();
    let status = entry.process.wait(EXIT_LIMIT).expect("the entry ends within its bound");
    assert_eq!(status.code(), Some(0));
}

#[actix_rt::test]
async fn drain_agents_under_load() {
    let mut cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let load = Load::start(&cluster, "entry-1").await;
    for agent in ["engine-1", "service-1"] {
        cluster.agents[agent].process.signal("TERM");
        let operations = cluster.agents[agent].operations;
        // The agent may have exited already if it had no work in progress.
        wait_for("the agent's leaving", || async {
            match dump(operations).await {
                Some(dump) => dump["gate"]["leaving"].as_bool()?.then_some(()),
                None => Some(()),
            }
        })
        .await;
    }
    // The remaining agents serve new requests.
    for number in 0..COUNT {
        let url = cluster.url("entry-1");
        assert_booked(&caller::book(&url, &format!("late-{number}"), "bench 4").await.unwrap());
        let reply = caller::chat(&url, "a heel", 5).await.unwrap();
        assert_eq!(reply.chat(), (engine::expected("a heel", 5), true));
    }
    load.finish(&cluster).await;
    for agent in ["engine-1", "service-1"] {
        let agent = cluster.agents.get_mut(agent).unwrap();
        let status = agent.process.wait(EXIT_LIMIT).expect("the agent ends within its bound");
        assert_eq!(status.code(), Some(0));
    }
    for number in 0..COUNT {
        assert_eq!(cluster.runs(&format!("late-{number}")), 1);
    }
}

/// A stopping agent records the answers of its bookings in the claim log.
#[actix_rt::test]
async fn record_bookings_before_stop() {
    let mut cluster = Cluster::start(Plan::pairs(BOOKING)).await;
    let load = Load::start(&cluster, "entry-1").await;
    let services = ["service-1", "service-2"];
    let keys: Vec<String> = load.bookings.iter().map(|(key, _)| key.clone()).collect();
    let of = |name: &str| -> Vec<String> {
        let runs = cluster.services[name].runs();
        keys.iter().filter(|key| runs.contains_key(key.as_str())).cloned().collect()
    };
    let busy = services.into_iter().max_by_key(|name| of(name).len()).unwrap();
    let theirs = of(busy);
    assert!(!theirs.is_empty());
    cluster.agents[busy].process.signal("TERM");
    load.finish(&cluster).await;
    let agent = cluster.agents.get_mut(busy).unwrap();
    let status = agent.process.wait(EXIT_LIMIT).expect("the agent ends within its bound");
    assert_eq!(status.code(), Some(0));
    for key in theirs {
        assert_booked(&caller::book(&cluster.url("entry-2"), &key, "bench 4").await.unwrap());
        assert_eq!(cluster.runs(&key), 1);
    }
}
