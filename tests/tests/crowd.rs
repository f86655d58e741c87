//! Clients that never finish what they send, at the listeners of the daemons
//! other than the gateway's listener for callers. Memory and descriptors stay
//! bounded, and an ordinary request is answered while the crowd is connected.
#![allow(clippy::unwrap_used)]

use std::fs::File;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use futures_util::future;
use rstest::rstest;
use system::cluster::{Cluster, KEY, Plan, wait_for};
use system::process::Process;
use system::{caller, port, settings};
use tokio::io::AsyncWriteExt;

/// Connections of a crowd that sends.
const CROWD: usize = 300;
/// Connections of a crowd that sends little: more than a process may open
/// under the usual limit of descriptors.
const CONNECTIONS: usize = 1_200;
/// Most open descriptors of a process: the usual limit of a process.
const DESCRIPTORS: usize = 1_024;
/// Peak memory in KiB of a daemon on the smallest host.
const DAEMON_MEMORY_KB: u64 = 128 << 10;
/// Peak memory in KiB of an entry with the default settings.
const ENTRY_MEMORY_KB: u64 = 256 << 10;
/// Largest request body of an entry, in bytes: the settings' default.
const BODY_LIMIT: usize = 1 << 20;
/// Bytes that a client without end sends at most, which bounds the test.
const ENDLESS: usize = 4 << 20;
/// Longest wait for the crowd to have sent everything. A daemon that doesn't
/// read keeps its clients from sending.
const SENDING: Duration = Duration::from_secs(8);
/// Longest wait for one answer before the request is sent again.
const ATTEMPT: Duration = Duration::from_secs(10);

/// What each client of a crowd sends. It keeps its connection open afterwards.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// Nothing.
    Silence,
    /// A head without end.
    Head,
    /// Empty lines without end.
    EmptyLines,
    /// A request, and after its answer a head without end on the same connection.
    SecondHead,
    /// A body with a length that stops one byte short.
    ShortBody,
    /// A chunked body that stops before its last chunk.
    ShortChunks,
    /// Chunks of one byte, and no last chunk.
    SmallChunks,
    /// A chunked body without end.
    EndlessChunks,
    /// A complete body of the largest size.
    WholeBody,
}

impl Trouble {
    /// The start of what a client sends, then a part and how often it is sent.
    fn parts(self, path: &str) -> (String, String, usize) {
        let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
        let block = "x".repeat(0x10000);
        let field = format!("x-note: {}\r\n", "x".repeat(1000));
        let fields = ENDLESS / field.len();
        match self {
            Trouble::Silence => (String::new(), String::new(), 0),
            Trouble::Head => (head, field, fields),
            Trouble::EmptyLines => (String::new(), "\r\n".repeat(1000), ENDLESS / 2000),
            Trouble::SecondHead => {
                let first = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
                (first, format!("GET {path} HTTP/1.1\r\n{field}"), 1)
            }
            Trouble::ShortBody => {
                let start = format!("{head}content-length: {BODY_LIMIT}\r\n\r\n");
                let start = format!("{start}{}", "x".repeat(0x10000 - 1));
                (start, block, BODY_LIMIT / 0x10000 - 1)
            }
            Trouble::ShortChunks => (chunked, chunk, BODY_LIMIT / 0x10000),
            Trouble::SmallChunks => (chunked, "1\r\nx\r\n".repeat(1000), 200),
            Trouble::EndlessChunks => (chunked, chunk, ENDLESS / 0x10000),
            Trouble::WholeBody => {
                let start = format!("{head}content-length: {BODY_LIMIT}\r\n\r\n");
                (start, block, BODY_LIMIT / 0x10000)
            }
        }
    }
}

/// Connects and sends; returns the connection to keep it open. `None` if the
/// daemon closed it.
async fn send(address: SocketAddr, trouble: Trouble, path: &'static str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let (start, part, count) = trouble.parts(path);
    stream.write_all(start.as_bytes()).await.ok()?;
    if matches!(trouble, Trouble::SecondHead) {
        stream.readable().await.ok()?;
    }
    for _ in 0..count {
        stream.write_all(part.as_bytes()).await.ok()?;
    }
    Some(stream)
}

/// Clients that stay connected until it is dropped.
struct Crowd {
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts the clients, waits until they have sent what the daemon takes, and
    /// returns the most descriptors that the daemon had open.
    async fn start(
        process: &Process,
        address: SocketAddr,
        trouble: Trouble,
        path: &'static str,
    ) -> (Crowd, usize) {
        let many = matches!(trouble, Trouble::Silence | Trouble::SecondHead);
        let count = if many { CONNECTIONS } else { CROWD };
        let sent = std::rc::Rc::new(std::cell::Cell::new(0));
        let client = |_| {
            let sent = sent.clone();
            actix_rt::spawn(async move {
                let _open = send(address, trouble, path).await;
                sent.set(sent.get() + 1);
                future::pending::<()>().await;
            })
        };
        let crowd = Crowd { clients: (0..count).map(client).collect() };
        let started = Instant::now();
        let mut most = 0;
        while sent.get() < count && started.elapsed() < SENDING {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            most = most.max(process.descriptors());
        }
        // The daemon accepts the last connections after they are established.
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        (crowd, most.max(process.descriptors()))
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

/// Waits until the other tests of this file are over.
fn alone() -> File {
    port::lock("crowd")
}

/// Asserts that the process is alive and stayed within its bounds.
fn assert_bounded(process: &mut Process, descriptors: usize, memory_kb: u64) {
    assert!(process.wait(Duration::from_millis(1)).is_none(), "the process ended");
    let peak = process.peak_memory_kb();
    println!("peak memory {peak} KiB, {descriptors} descriptors");
    assert!(peak < memory_kb, "peak memory of {peak} KiB");
    assert!(descriptors < DESCRIPTORS, "{descriptors} descriptors");
}

/// Waits for an answer to an ordinary request and returns its status.
async fn wait_for_answer(address: SocketAddr, path: &str) -> u16 {
    let url = format!("http://{address}{path}");
    wait_for("an answer", || async {
        let request = caller::client().get(&url);
        let response = actix_rt::time::timeout(ATTEMPT, request.send()).await.ok()?.ok()?;
        Some(response.status().as_u16())
    })
    .await
}

/// A crowd at a listener that takes no request bodies.
async fn crowd_without_bodies(
    mut process: Process,
    address: SocketAddr,
    path: &'static str,
    trouble: Trouble,
) {
    let ordinary = wait_for_answer(address, path).await;
    let (crowd, descriptors) = Crowd::start(&process, address, trouble, path).await;
    assert_eq!(wait_for_answer(address, path).await, ordinary);
    drop(crowd);
    assert_bounded(&mut process, descriptors, DAEMON_MEMORY_KB);
}

/// The gateway's operations and readiness listeners stay bounded.
#[rstest]
#[actix_rt::test]
async fn serve_gateway_crowd(
    #[values("operations", "ready")] listener: &str,
    #[values(
        Trouble::Silence,
        Trouble::Head,
        Trouble::EmptyLines,
        Trouble::SecondHead,
        Trouble::ShortBody,
        Trouble::ShortChunks,
        Trouble::EndlessChunks
    )]
    trouble: Trouble,
) {
    let _alone = alone();
    let settings = settings::gateway("front-1", port::free(), port::free(), &[]);
    let address = settings[listener].as_str().unwrap().parse().unwrap();
    let process = Process::start(&["wisteria-gateway"], "front-1", &settings);
    let path = if listener == "ready" { adapter::header::READY_PATH } else { "/metrics" };
    crowd_without_bodies(process, address, path, trouble).await;
}

/// The operations listener of a rank's agent stays bounded.
#[rstest]
#[actix_rt::test]
async fn serve_rank_crowd(
    #[values(
        Trouble::Silence,
        Trouble::Head,
        Trouble::EmptyLines,
        Trouble::SecondHead,
        Trouble::ShortBody,
        Trouble::ShortChunks,
        Trouble::EndlessChunks
    )]
    trouble: Trouble,
) {
    let _alone = alone();
    let settings = settings::rank("side-1", port::free(), port::free());
    let address = settings["operations"].as_str().unwrap().parse().unwrap();
    let process = Process::start(&["wisteria-rank"], "side-1", &settings);
    crowd_without_bodies(process, address, "/metrics", trouble).await;
}

/// The operations listeners of an entry and of an agent stay bounded.
#[rstest]
#[actix_rt::test]
async fn serve_operations_crowd(
    #[values("entry-1", "service-1")] name: &str,
    #[values(
        Trouble::Silence,
        Trouble::Head,
        Trouble::EmptyLines,
        Trouble::SecondHead,
        Trouble::ShortBody,
        Trouble::ShortChunks,
        Trouble::EndlessChunks
    )]
    trouble: Trouble,
) {
    let _alone = alone();
    let mut cluster = Cluster::start(Plan::default()).await;
    let entry = cluster.entries.remove(name).map(|entry| (entry.process, entry.operations));
    let agent = || cluster.agents.remove(name).map(|agent| (agent.process, agent.operations));
    let (process, address) = entry.or_else(agent).unwrap();
    crowd_without_bodies(process, address, "/metrics", trouble).await;
}

/// An entry's listener for callers stays bounded, and a lookup is served.
#[rstest]
#[actix_rt::test]
async fn serve_entry_crowd(
    #[values(
        Trouble::Silence,
        Trouble::Head,
        Trouble::EmptyLines,
        Trouble::SecondHead,
        Trouble::ShortBody,
        Trouble::ShortChunks,
        Trouble::SmallChunks,
        Trouble::EndlessChunks,
        Trouble::WholeBody
    )]
    trouble: Trouble,
) {
    let _alone = alone();
    let mut cluster = Cluster::start(Plan::default()).await;
    let url = cluster.url("entry-1");
    let entry = &cluster.entries["entry-1"];
    let (crowd, descriptors) = Crowd::start(&entry.process, entry.listen, trouble, "/free").await;
    wait_for("an answer to a lookup", || async {
        let reply = actix_rt::time::timeout(ATTEMPT, caller::lookup(&url, "bench 4"));
        (reply.await.ok()??.status == 200).then_some(())
    })
    .await;
    drop(crowd);
    let entry = cluster.entries.get_mut("entry-1").unwrap();
    assert_bounded(&mut entry.process, descriptors, ENTRY_MEMORY_KB);
}
