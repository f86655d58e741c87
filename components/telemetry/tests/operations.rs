//! Routes of the operations address, dump truncation and metrics rendering.
#![allow(clippy::unwrap_used)]

use actix_web::http::StatusCode;
use actix_web::test::{TestRequest, call_service, init_service, read_body};
use actix_web::{App, HttpResponse, web};
use rstest::rstest;
use serde_json::{Value, json};
use telemetry::{Metrics, Readiness, dump, operations};

/// Sends a GET to a process with the given readiness and dump. Returns the status,
/// whether the dump was truncated, and the body.
async fn fetch(path: &str, ready: Readiness, value: Value) -> (StatusCode, bool, String) {
    let metrics = Metrics::new().unwrap();
    metrics.counter("answered", "Answers", &[("kind", "chat")]).add(3);
    let configure = operations(
        metrics,
        move || std::future::ready(ready.clone()),
        move || std::future::ready(value.clone()),
    );
    let extra =
        web::get().to(async |id: web::Path<String>| HttpResponse::Ok().body(id.into_inner()));
    let app = App::new().configure(configure).route("/explain/{id}", extra);
    let app = init_service(app).await;
    let response = call_service(&app, TestRequest::get().uri(path).to_request()).await;
    let status = response.status();
    let truncated = response.headers().get("x-dump-cut").is_some_and(|value| value == "true");
    let body = read_body(response).await;
    (status, truncated, String::from_utf8(body.to_vec()).unwrap())
}

#[rstest]
#[case::metrics("/metrics", 200, "answered_total{kind=\"chat\"} 3")]
#[case::healthz("/healthz", 200, "running")]
#[case::readyz("/readyz", 200, "ready")]
#[case::dump("/dump", 200, "{\"open\":1}")]
#[case::extra_route("/explain/r7", 200, "r7")]
#[case::unknown("/other", 404, "")]
#[actix_web::test]
async fn get_ready(#[case] path: &str, #[case] status: u16, #[case] expected: &str) {
    let (actual, truncated, body) = fetch(path, Readiness::Ready, json!({ "open": 1 })).await;
    assert_eq!(actual.as_u16(), status);
    assert!(body.contains(expected), "{body}");
    assert!(!truncated);
}

#[actix_web::test]
async fn get_readyz_waiting() {
    let waiting = Readiness::Waiting(vec!["tables".into()]);
    let (status, _, body) = fetch("/readyz", waiting, Value::Null).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(body.contains("tables"), "{body}");
}

#[actix_web::test]
async fn get_dump_too_large() {
    let rows: Vec<_> = (0..200_000).map(|row| json!({ "row": row })).collect();
    let (_, truncated, body) = fetch("/dump", Readiness::Ready, json!({ "rows": rows })).await;
    assert!(truncated);
    assert!(body.len() <= dump::LIMIT);
    let value: Value = serde_json::from_str(&body).unwrap();
    assert_eq!(value["rows"][0]["row"], 0);
    let rows = value["rows"].as_array().unwrap();
    let omitted = rows.last().unwrap()[dump::OMITTED].as_u64().unwrap();
    assert_eq!(omitted as usize + rows.len() - 1, 200_000);
}

#[rstest]
#[case::long_string(json!("x".repeat(90_000)))]
#[case::many_fields((0..9_000).map(|key| (format!("k{key}"), json!(key))).collect())]
#[case::wide_and_deep(json!(vec![vec![vec![vec![1; 30]; 30]; 30]; 30]))]
fn bound_to_limit(#[case] value: Value) {
    let (bounded, truncated) = dump::bound(value, 2_000);
    assert!(truncated);
    assert!(bounded.to_string().len() <= 2_000);
}

#[test]
fn render_counter_created_twice() {
    let metrics = Metrics::new().unwrap();
    metrics.counter("sent", "Frames", &[]).add(1);
    metrics.clone().counter("sent", "Frames", &[]).add(2);
    metrics.gauge("open", "Streams", &[]).set(4.5);
    metrics.histogram("gap_seconds", "Gaps", &[0.01, 0.1], &[]).record(0.05);
    let text = metrics.render();
    for line in
        ["sent_total 3", "open 4.5", "gap_seconds_bucket{le=\"0.01\"} 0", "gap_seconds_count 1"]
    {
        assert!(text.contains(line), "{line} not in {text}");
    }
}
