//! Requests through the complete path of real processes.
#![allow(clippy::unwrap_used)]

use lab::{engine, service};
use system::caller;
use system::cluster::{Cluster, Plan};

/// Tokens of the streamed answer.
const TOKENS: u32 = 40;

#[actix_rt::test]
async fn serve_stream_and_booking() {
    let cluster = Cluster::start(Plan::default()).await;
    let url = cluster.url("entry-1");

    let reply = caller::chat(&url, "which liner for a wide foot", TOKENS).await.unwrap();
    assert_eq!(reply.status, 200);
    assert!(reply.complete);
    let (text, done) = reply.chat();
    assert_eq!(text, engine::expected("which liner for a wide foot", TOKENS));
    assert!(done);

    let reply = caller::book(&url, "key-1", "bench 4 at ten").await.unwrap();
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, service::expected("/book", b"bench 4 at ten").into_bytes());
    let runs = cluster.services["service-1"].runs();
    assert_eq!(runs.get("key-1"), Some(&1));
}

/// The service runs a booking and then breaks the connection: the reply must not
/// be `not_run`, and a resend must not run the booking again.
#[actix_rt::test]
async fn book_with_broken_connection() {
    let service = service::Settings { crash_marker: Some("break".into()), ..Default::default() };
    let cluster = Cluster::start(Plan { service, ..Plan::default() }).await;
    let url = cluster.url("entry-1");

    let reply = caller::book(&url, "key-1", "break after running").await.unwrap();
    assert_eq!(reply.execution().as_deref(), Some("may_have_run"));
    let reply = caller::book(&url, "key-1", "break after running").await.unwrap();
    assert_eq!(reply.execution().as_deref(), Some("may_have_run"));
    let runs = cluster.services["service-1"].runs();
    assert_eq!(runs.get("key-1"), Some(&1));
}
