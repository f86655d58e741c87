//! Cost of the stand-ins and of the load, as JSON lines: how fast one process
//! of each is, so that a bench knows what it may ask of them.

use std::time::{Duration, Instant};

use lab::engine::{self, Input, Model, Request, Settings};
use lab::load::{Plan, Target, run};
use lab::service;
use serde_json::json;

/// Requests that the model runs at once.
const BATCH: u64 = 64;
/// Tokens of each.
const TOKENS: u32 = 1_000;

fn main() -> Result<(), lab::ServeError> {
    model();
    let runtime = actix_rt::System::new();
    for rate in [200.0, 1_000.0, 3_000.0] {
        let service = service::serve(service::Settings::default())?;
        let length = Duration::from_secs(3);
        let plan = Plan { rate, length, booking_share: 1.0, ..Plan::default() };
        let tally = runtime.block_on(run(&plan, Target::new(service.handle.to_url()), |_| ()));
        println!("{}", json!({ "name": "service", "rate": rate, "lines": tally.lines() }));
    }
    for rate in [20.0, 60.0] {
        let engine = engine::serve(Settings { warm_up_tokens: 0, ..Settings::default() })?;
        let length = Duration::from_secs(3);
        let plan = Plan { rate, length, booking_share: 0.0, ..Plan::default() };
        let tally = runtime.block_on(run(&plan, Target::new(engine.to_url()), |_| ()));
        println!("{}", json!({ "name": "engine", "rate": rate, "lines": tally.lines() }));
    }
    Ok(())
}

fn model() {
    let mut model = Model::new(Settings { warm_up_tokens: 0, ..Settings::default() }, 1);
    for id in 1..=BATCH {
        let prompt = format!("word {id} ").repeat(40).into();
        let request = Request { id, prompt, tokens: TOKENS, resume: 0, priority: 0 };
        model.step(Duration::ZERO, Input::Arrive(request));
    }
    let started = Instant::now();
    let outputs = model.step(Duration::from_secs(3600), Input::Tick).len();
    let nanos = started.elapsed().as_nanos();
    println!("{}", json!({ "name": "model", "ns_per_token": nanos / outputs as u128 }));
}
