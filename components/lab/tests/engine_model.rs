//! The stand-in engine's state machine.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use lab::engine::{
    Input, Model, Output, Prepare, Refusal, Request, Settings, Step, Steps, blocks, expected,
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const LATER: Duration = Duration::from_secs(60);

/// Warm from the start, without lag or loss.
fn warm() -> Settings {
    Settings {
        warm_up_tokens: 0,
        cache_event_lag: Duration::ZERO,
        cache_event_loss: 0.0,
        report_lag: Duration::ZERO,
        ..Settings::default()
    }
}

fn request(id: u64, prompt: &str, tokens: u32) -> Request {
    Request { id, prompt: prompt.into(), tokens, resume: 0, priority: 0 }
}

/// Runs to the end; the text of `id` and the times of its tokens.
fn finish(model: &mut Model, id: u64) -> (String, Vec<Duration>) {
    let mut text = String::new();
    let mut times = Vec::new();
    while let Some(due) = model.due() {
        for output in model.step(due, Input::Tick) {
            if let Output::Token { id: owner, text: part, .. } = output
                && owner == id
            {
                text += &part;
                times.push(due);
            }
        }
    }
    (text, times)
}

/// Time of the first token of a prompt that arrives at `now`.
fn first_token(model: &mut Model, now: Duration, request: Request) -> Duration {
    let id = request.id;
    model.step(now, Input::Arrive(request));
    finish(model, id).1[0] - now
}

#[rstest]
#[case::cold_light_load(true, 4, false)]
#[case::cold_full_load(true, 5, true)]
#[case::warm_full_load(false, 5, false)]
fn step_arrivals(#[case] cold: bool, #[case] count: u64, #[case] crashes: bool) {
    let warm_up_tokens = if cold { 100 } else { 0 };
    let mut model = Model::new(Settings { warm_up_tokens, capacity_cold: 4, ..warm() }, 7);
    let arrive = |id| Input::Arrive(request(id, "which liner", 3));
    let outputs: Vec<_> = (0..count).flat_map(|id| model.step(MS, arrive(id))).collect();
    assert_eq!(outputs.contains(&Output::Crashed), crashes);
    assert_eq!(model.incarnation(), if crashes { 8 } else { 7 });
    let finished = model.step(LATER, Input::Tick);
    let whole = finished.iter().filter(|output| matches!(output, Output::Finish(_))).count();
    assert_eq!(whole as u64, if crashes { 0 } else { count });
}

#[test]
fn step_light_load_warms() {
    let mut model = Model::new(Settings { warm_up_tokens: 50, ..warm() }, 1);
    assert!(model.is_cold());
    model.step(MS, Input::Arrive(request(1, "which liner", 60)));
    model.step(LATER, Input::Tick);
    assert!(!model.is_cold());
    model.step(LATER, Input::Chill);
    assert!(model.is_cold());
}

#[test]
fn step_after_crash_unavailable() {
    let mut model = Model::new(Settings { restart: 100 * MS, ..warm() }, 1);
    assert_eq!(model.step(MS, Input::Crash), [Output::Crashed]);
    let early = model.step(50 * MS, Input::Arrive(request(1, "which liner", 1)));
    assert_eq!(early, [Output::Unavailable(1)]);
    model.step(101 * MS, Input::Arrive(request(2, "which liner", 1)));
    assert!(model.step(LATER, Input::Tick).contains(&Output::Finish(2)));
}

#[test]
fn step_crash_marker() {
    let mut model = Model::new(Settings { crash_marker: Some("boom".into()), ..warm() }, 1);
    model.step(MS, Input::Arrive(request(1, "which liner", 9)));
    assert_eq!(model.step(MS, Input::Arrive(request(2, "go boom now", 9))), [Output::Crashed]);
    assert!(model.step(LATER, Input::Tick).is_empty());
}

#[test]
fn step_large_batch_slower() {
    let settings = Settings { batch_cost: 0.5, ..warm() };
    let gap = |count: u64| {
        let mut model = Model::new(settings.clone(), 1);
        for id in 1..=count {
            model.step(Duration::ZERO, Input::Arrive(request(id, "which liner", 20)));
        }
        let (_, times) = finish(&mut model, 1);
        times[10] - times[9]
    };
    assert_eq!(gap(1), settings.token_interval);
    assert_eq!(gap(5), settings.token_interval * 3);
}

#[test]
fn step_cached_prefix_sooner() {
    let settings = Settings { prefill_rate: 1_000.0, ..warm() };
    let mut model = Model::new(settings.clone(), 1);
    let prompt = "word ".repeat(64);
    let fresh = first_token(&mut model, MS, request(1, &prompt, 1));
    let cached = first_token(&mut model, LATER, request(2, &prompt, 1));
    assert_eq!(fresh, settings.token_interval + 64 * MS);
    assert_eq!(cached, settings.token_interval);
    model.step(2 * LATER, Input::Chill);
    assert_eq!(first_token(&mut model, 2 * LATER, request(3, &prompt, 1)), fresh);
}

#[test]
fn step_limited_cache_evicts() {
    let mut model = Model::new(Settings { cache_tokens: 32, ..warm() }, 1);
    for (id, word) in ["a ", "b ", "c "].into_iter().enumerate() {
        first_token(&mut model, LATER * id as u32, request(id as u64, &word.repeat(16), 1));
    }
    let events = model.cache_events(LATER * 9, 0).events;
    let evicted = events.iter().find(|event| event.number == 4).unwrap();
    assert_eq!(events.len(), 4);
    assert_eq!(evicted.block, blocks(&"a ".repeat(16))[0]);
    assert_eq!(model.load(LATER * 9).kv_used, 32);
}

#[test]
fn step_resume_joins() {
    let prompt = "which liner fits";
    let mut model = Model::new(warm(), 1);
    model.step(MS, Input::Arrive(request(1, prompt, 30)));
    let (whole, _) = finish(&mut model, 1);
    let mut other = Model::new(Settings { seed: 99, ..warm() }, 5);
    other.step(MS, Input::Arrive(Request { resume: 12, ..request(4, prompt, 30) }));
    let (rest, _) = finish(&mut other, 4);
    assert_eq!(whole, expected(prompt, 30));
    assert_eq!(expected(prompt, 12) + &rest, whole);
}

#[test]
fn step_cancel_frees_place() {
    let mut model = Model::new(Settings { capacity_warm: 1, ..warm() }, 1);
    model.step(MS, Input::Arrive(request(1, "which liner", 1_000_000)));
    model.step(MS, Input::Arrive(request(2, "which boot", 1)));
    model.step(50 * MS, Input::Cancel(1));
    assert!(model.step(LATER, Input::Tick).contains(&Output::Finish(2)));
    assert_eq!(model.load(LATER).running, 0);
}

#[test]
fn step_higher_priority_first() {
    let mut model = Model::new(Settings { capacity_warm: 1, ..warm() }, 1);
    for (id, priority) in [(1, 0), (2, 0), (3, 5)] {
        let request = Request { priority, ..request(id, "which liner", 2) };
        model.step(MS, Input::Arrive(request));
    }
    let ends = model.step(LATER, Input::Tick).into_iter();
    let ends = ends.filter_map(|output| match output {
        Output::Finish(id) => Some(id),
        _ => None,
    });
    assert_eq!(ends.collect::<Vec<_>>(), [1, 3, 2]);
}

#[test]
fn load_lags() {
    let mut model = Model::new(Settings { report_lag: 100 * MS, ..warm() }, 1);
    model.step(200 * MS, Input::Arrive(request(1, "which liner", 1_000_000)));
    model.step(250 * MS, Input::Tick);
    assert_eq!(model.load(299 * MS).running + model.load(299 * MS).queued, 0);
    assert_eq!(model.load(301 * MS).running + model.load(301 * MS).queued, 1);
}

#[test]
fn cache_events_late_with_gaps() {
    let settings = Settings { cache_event_lag: 100 * MS, cache_event_loss: 0.5, ..warm() };
    let mut model = Model::new(settings, 1);
    let prompt: String = (0..640).map(|word| format!("w{word} ")).collect();
    let end = MS + first_token(&mut model, MS, request(1, &prompt, 1));
    assert!(model.cache_events(MS, 0).events.is_empty());
    let events = model.cache_events(end + 100 * MS, 0).events;
    let last = events.last().unwrap().number;
    assert!((10..=30).contains(&events.len()), "{}", events.len());
    assert!(last as usize > events.len());
    assert_eq!(model.cache_events(LATER, last).events, []);
}

#[rstest]
#[case::obeyed(true)]
#[case::ignored(false)]
fn run_old_fence(#[case] fencing: bool) {
    let mut model = Model::new(Settings { fencing, step_interval: MS, ..warm() }, 1);
    for (fence, map) in [(1, 10), (2, 20)] {
        model.prepare(&Prepare { fence, map, content: Default::default() }).unwrap();
    }
    model.run(Duration::ZERO, Steps { fence: 2, from: 0, to: 2, map: 20 }).unwrap();
    let old = model.run(10 * MS, Steps { fence: 1, from: 1, to: 3, map: 10 });
    let ran = model.steps(LATER, 0).steps;
    let new = [0, 1].map(|step| Step { step, map: 20, fence: 2 });
    let late = [1, 2].map(|step| Step { step, map: 10, fence: 1 });
    if fencing {
        assert_eq!(old, Err(Refusal::Fenced { highest: 2 }));
        assert_eq!(ran, new);
    } else {
        assert_eq!(old, Ok(()));
        assert_eq!(ran, [new, late].concat());
    }
}

#[test]
fn run_new_fence_drops_waiting_steps() {
    let mut model = Model::new(Settings { step_interval: 10 * MS, ..warm() }, 1);
    for (fence, map) in [(1, 10), (2, 20)] {
        model.prepare(&Prepare { fence, map, content: Default::default() }).unwrap_or(());
        model.run(5 * MS, Steps { fence, from: 0, to: 3, map }).unwrap();
    }
    let ran = model.steps(LATER, 0).steps;
    let fences: Vec<_> = ran.iter().map(|step| (step.step, step.fence)).collect();
    assert_eq!(fences, [(0, 1), (1, 2), (2, 2)]);
}

#[test]
fn run_unprepared_map() {
    let mut model = Model::new(warm(), 1);
    let refused = model.run(MS, Steps { fence: 1, from: 0, to: 1, map: 3 });
    assert_eq!(refused, Err(Refusal::Unprepared { map: 3 }));
}
