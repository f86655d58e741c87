//! The stand-in engine over loopback.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use awc::{Client, ClientRequest};
use futures_util::StreamExt;
use lab::engine::{INCARNATION_HEADER, Load, RESUME_HEADER, Settings, StepRecord, expected, serve};
use lab::load::Reader;
use lab::server::Handle;
use serde_json::{Value, json};

/// Longest wait for anything here.
const DEADLINE: Duration = Duration::from_secs(30);
/// Time between looks at something that is to come.
const LOOK: Duration = Duration::from_millis(10);

fn quick() -> Settings {
    Settings {
        token_interval: Duration::from_millis(1),
        warm_up_tokens: 0,
        report_lag: Duration::ZERO,
        restart: Duration::ZERO,
        crash_marker: Some("boom".into()),
        ..Settings::default()
    }
}

fn chat(engine: &Handle) -> ClientRequest {
    let client = Client::builder().timeout(DEADLINE).finish();
    client.post(format!("{}/v1/chat/completions", engine.to_url()))
}

fn body(prompt: &str, tokens: u32, stream: bool) -> Value {
    let messages = [json!({ "role": "user", "content": prompt })];
    json!({ "model": "m", "messages": messages, "max_tokens": tokens, "stream": stream })
}

async fn load(engine: &Handle) -> Load {
    let request = Client::default().get(format!("{}/v1/load", engine.to_url()));
    request.send().await.unwrap().json().await.unwrap()
}

#[actix_rt::test]
async fn chat_json() {
    let engine = serve(quick()).unwrap();
    let mut response = chat(&engine).send_json(&body("which liner", 5, false)).await.unwrap();
    let answer: Value = response.json().await.unwrap();
    assert_eq!(answer["choices"][0]["message"]["content"], expected("which liner", 5));
    assert_eq!(answer["usage"]["completion_tokens"], 5);
    assert!(response.headers().contains_key(INCARNATION_HEADER));
}

#[actix_rt::test]
async fn chat_stream_resumed() {
    let engine = serve(quick()).unwrap();
    let request = chat(&engine).insert_header((RESUME_HEADER, "4"));
    let mut response = request.send_json(&body("which liner", 9, true)).await.unwrap();
    let bytes = response.body().await.unwrap();
    assert!(bytes.ends_with(b"data: [DONE]\n\n"));
    let mut reader = Reader::default();
    assert_eq!(reader.push(&bytes).unwrap(), 5);
    assert_eq!(expected("which liner", 4) + &reader.text, expected("which liner", 9));
}

#[actix_rt::test]
async fn chat_marked_drops_all_connections() {
    let engine = serve(quick()).unwrap();
    let before = load(&engine).await.incarnation;
    let mut victim = chat(&engine).send_json(&body("which liner", 100_000, true)).await.unwrap();
    assert!(victim.next().await.unwrap().is_ok());
    let marked = chat(&engine).send_json(&body("boom", 5, false)).await;
    if let Ok(mut marked) = marked {
        assert!(marked.body().await.is_err());
    }
    let mut reader = Reader::default();
    let rest = async {
        while let Some(Ok(bytes)) = victim.next().await {
            reader.push(&bytes).unwrap();
        }
    };
    actix_rt::time::timeout(DEADLINE, rest).await.unwrap();
    assert!(!reader.done);
    assert_eq!(load(&engine).await.incarnation, before + 1);
    let again = chat(&engine).send_json(&body("which liner", 2, false)).await.unwrap();
    assert_eq!(again.status(), 200);
}

#[actix_rt::test]
async fn chat_dropped_cancels() {
    let engine = serve(quick()).unwrap();
    let mut response = chat(&engine).send_json(&body("which liner", 100_000, true)).await.unwrap();
    assert!(response.next().await.unwrap().is_ok());
    assert_eq!(load(&engine).await.running, 1);
    drop(response);
    let started = Instant::now();
    while load(&engine).await.running > 0 {
        assert!(started.elapsed() < DEADLINE);
        actix_rt::time::sleep(LOOK).await;
    }
}

#[actix_rt::test]
async fn group_steps_recorded() {
    let engine = serve(Settings { step_interval: Duration::from_millis(1), ..quick() }).unwrap();
    let url = |path: &str| format!("{}/v1/group/{path}", engine.to_url());
    let client = Client::default();
    let prepare = json!({ "fence": 3, "map": 7, "content": [1, 2] });
    let ok = client.post(url("prepare")).send_json(&prepare).await.unwrap();
    assert_eq!(ok.status(), 200);
    let order = json!({ "fence": 3, "from": 0, "to": 4, "map": 7 });
    assert_eq!(client.post(url("steps")).send_json(&order).await.unwrap().status(), 200);
    let old = json!({ "fence": 2, "from": 4, "to": 5, "map": 7 });
    let mut refused = client.post(url("steps")).send_json(&old).await.unwrap();
    assert_eq!(refused.status(), 409);
    let refusal: Value = refused.json().await.unwrap();
    assert_eq!(refusal, json!({ "refused": "fenced", "highest": 3 }));
    let started = Instant::now();
    loop {
        let mut response = client.get(url("steps?since=2")).send().await.unwrap();
        let record: StepRecord = response.json().await.unwrap();
        if record.steps.len() == 2 {
            assert_eq!((record.steps[0].step, record.next, record.fence), (2, 4, 3));
            return;
        }
        assert!(started.elapsed() < DEADLINE);
        actix_rt::time::sleep(LOOK).await;
    }
}
