//! Daemons whose backend server or platform sends bytes without end. They stay alive and
//! within the memory of their hosts, and requests to other backend servers are served.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use futures_util::future;
use rstest::rstest;
use serde_json::json;
use system::cluster::{Cluster, Plan};
use system::endless::{self, Answer};
use system::process::Process;
use system::{caller, port};

/// Peak memory in KiB of an agent on the smallest host.
const AGENT_MEMORY_KB: u64 = 128 << 10;
/// Peak memory in KiB of an entry with the default settings.
const ENTRY_MEMORY_KB: u64 = 256 << 10;
/// Requests at the same time.
const REQUESTS: usize = 60;

const HEADERS: Answer = Answer { begin: "HTTP/1.1 200 OK\r\n", part: "x: y\r\n" };
const HEADER_LINE: Answer = Answer { begin: "HTTP/1.1 200 OK\r\nx: ", part: "y" };
const INTERIM: Answer = Answer { begin: "", part: "HTTP/1.1 103 x\r\n\r\n" };
const EXTENSION: Answer =
    Answer { begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;", part: "x" };
const TRAILER: Answer = Answer {
    begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    part: "x: y\r\n",
};
const CHUNKS: Answer = Answer {
    begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    part: "8\r\nxxxxxxxx\r\n",
};
const BODY: Answer = Answer { begin: "HTTP/1.1 200 OK\r\n\r\n", part: "x" };
const LONG_BODY: Answer =
    Answer { begin: "HTTP/1.1 200 OK\r\ncontent-length: 4000000000\r\n\r\n", part: "x" };
const EVENTS: Answer = Answer {
    begin: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
            transfer-encoding: chunked\r\n\r\n",
    part: "a\r\ndata: {}\n\n\r\n",
};
const EVENT: Answer = Answer {
    begin: "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
            transfer-encoding: chunked\r\n\r\n6\r\ndata: \r\n",
    part: "8\r\nxxxxxxxx\r\n",
};

/// A cluster in which the second backend server of both kinds sends this answer.
async fn start(answer: Answer, healthy: bool) -> Cluster {
    let url = format!("http://{}", endless::serve(answer, healthy));
    let backends = BTreeMap::from([("engine-2", url.clone()), ("service-2", url)]);
    Cluster::start(Plan { backends, ..Plan::pairs(Duration::from_millis(20)) }).await
}

/// Asserts that all daemons are alive and stayed within their memory.
fn assert_bounded(cluster: &mut Cluster) {
    let entries = cluster.entries.iter_mut();
    let entries = entries.map(|(name, entry)| (name, &mut entry.process, ENTRY_MEMORY_KB));
    let agents = cluster.agents.iter_mut();
    let agents = agents.map(|(name, agent)| (name, &mut agent.process, AGENT_MEMORY_KB));
    for (name, process, limit) in entries.chain(agents) {
        assert_alive(name, process, limit);
    }
}

fn assert_alive(name: &str, process: &mut Process, memory_kb: u64) {
    assert!(process.wait(Duration::from_millis(1)).is_none(), "{name} ended");
    let peak = process.peak_memory_kb();
    println!("{name}: peak memory {peak} KiB");
    assert!(peak < memory_kb, "{name}: peak memory of {peak} KiB");
}

/// The agent and the entry kept endless answers until they ran out of memory.
#[rstest]
#[actix_rt::test]
async fn serve_beside_endless_answers(
    #[values(
        HEADERS,
        HEADER_LINE,
        INTERIM,
        EXTENSION,
        TRAILER,
        CHUNKS,
        BODY,
        LONG_BODY,
        EVENTS,
        EVENT
    )]
    answer: Answer,
) {
    let _alone = port::lock("crowd");
    let mut cluster = start(answer, true).await;
    let url = cluster.url("entry-1");
    let bodies: Vec<String> = (0..REQUESTS).map(|index| format!("bench {index}")).collect();
    let lookups = future::join_all(bodies.iter().map(|body| caller::lookup(&url, body)));
    let bookings = future::join_all(bodies.iter().map(|body| caller::book(&url, body, body)));
    let chats = future::join_all(bodies.iter().map(|body| caller::chat(&url, body, 4)));
    let all = async { future::join3(lookups, bookings, chats).await };
    // Requests without an answer by then are given up.
    let _ = actix_rt::time::timeout(Duration::from_secs(12), all).await;
    assert_bounded(&mut cluster);
    let served = actix_rt::time::timeout(Duration::from_secs(60), async {
        while caller::lookup(&url, "last").await.is_none_or(|reply| reply.status != 200) {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    });
    served.await.expect("an ordinary request is served");
    assert_bounded(&mut cluster);
}

/// Answers to health checks without end.
#[rstest]
#[actix_rt::test]
async fn check_endless_server(#[values(HEADERS, INTERIM, CHUNKS, BODY, LONG_BODY)] answer: Answer) {
    let _alone = port::lock("crowd");
    let backends = BTreeMap::from(
        [("engine-1", answer), ("service-1", answer)]
            .map(|(name, answer)| (name, format!("http://{}", endless::serve(answer, false)))),
    );
    let mut plan = Plan::pairs(Duration::from_millis(20));
    plan.backends = backends;
    let mut cluster = Cluster::start(plan).await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert_bounded(&mut cluster);
    let reply = caller::lookup(&cluster.url("entry-1"), "bench 4").await.unwrap();
    assert_eq!(reply.status, 200);
}

/// Replies of the platform without end, to an entry and to the agent of a rank.
#[rstest]
#[actix_rt::test]
async fn follow_endless_platform(
    #[values(HEADERS, INTERIM, EXTENSION, CHUNKS, BODY, LONG_BODY)] answer: Answer,
) {
    let _alone = port::lock("crowd");
    let platform = format!("http://{}", endless::serve(answer, false));
    let link = || format!("tcp://{}", port::free());
    let own = link();
    let entry = json!({
        "name": "entry-1", "zone": "accra-1", "listen": port::free(), "operations": port::free(),
        "link": link(), "peers": [], "platform": [platform],
    });
    let agent = json!({
        "name": "engine-1", "zone": "accra-1", "pool": "chat", "kind": "model",
        "backend": format!("http://{}", port::free()), "operations": port::free(), "link": own,
        "peers": [], "platform": [platform],
        "group": { "name": "g", "rank": 0, "members": [own, link()] },
    });
    let mut entry = Process::start(&["wisteria-entry"], "entry-1", &entry);
    let mut agent = Process::start(&["wisteria-agent"], "engine-1", &agent);
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    assert_alive("entry-1", &mut entry, AGENT_MEMORY_KB);
    assert_alive("engine-1", &mut agent, AGENT_MEMORY_KB);
}
