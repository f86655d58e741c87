//! What an entry and an agent add to a call, against the same call made
//! straight to the stand-in.

use std::time::{SystemTime, UNIX_EPOCH};

use super::size::Overhead;
use crate::engine::Settings;
use crate::experiment::{Figure, Row, rows};
use crate::fleet::{Error, Fleet, KEY, Plan};
use crate::load::{self, Kind, Quantiles, Target};

/// Name of the study.
const STUDY: &str = "overhead";
/// Time of a token of one running request, in milliseconds.
const TOKEN_MS: u64 = 5;
/// Tokens of an answer: the least and the most.
const TOKENS: (u32, u32) = (2, 4);

/// Runs each load straight to the stand-in and by way of the entry in turn.
pub(super) async fn measure(size: &Overhead) -> Result<Vec<Row>, Error> {
    let plan = Plan {
        entries: 1,
        zones: vec!["accra-1".into()],
        engines: 1,
        engine: Settings {
            token_interval: std::time::Duration::from_millis(TOKEN_MS),
            warm_up_tokens: 0,
            ..Settings::default()
        },
        ..Plan::default()
    };
    let fleet = Fleet::start(&plan).await?;
    let entry = format!("http://{}", fleet.listen[0]);
    let service = fleet.services[0].handle.to_url();
    let engine = fleet.engines[0].to_url();
    let mut figures = Vec::new();
    // The first load lets the limits grow and is not counted.
    send(size, 0, Kind::Chat, &entry).await;
    for seed in &size.seeds {
        for (kind, stand_in) in [(Kind::Booking, &service), (Kind::Chat, &engine)] {
            let direct = send(size, *seed, kind, stand_in).await;
            let through = send(size, *seed, kind, &entry).await;
            note(*seed, kind, direct, through, &mut figures);
        }
    }
    fleet.stop();
    figures.sort_by_key(|figure| figure.policy != "booking");
    Ok(rows(&figures))
}

/// Latencies of whole answers, and the number of requests not so answered.
struct Sent {
    latency: Quantiles,
    unanswered: u64,
}

async fn send(size: &Overhead, seed: u64, kind: Kind, url: &str) -> Sent {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let plan = load::Plan {
        seed,
        epoch,
        rate: size.rate,
        length: size.length,
        booking_share: if kind == Kind::Booking { 1.0 } else { 0.0 },
        tokens: TOKENS,
        ..load::Plan::default()
    };
    let mut target = Target::new(url);
    target.key = Some(KEY.to_owned());
    let tally = load::run(&plan, target, |_| ()).await;
    let count = tally.count();
    let lines = tally.lines();
    let latency = lines.first().map(|line| match kind {
        Kind::Booking => line.total_ms,
        Kind::Chat => line.first_ms,
    });
    Sent { latency: latency.unwrap_or_default(), unanswered: count.sent - count.whole }
}

fn note(seed: u64, kind: Kind, direct: Sent, through: Sent, figures: &mut Vec<Figure>) {
    let policy = match kind {
        Kind::Booking => "booking",
        Kind::Chat => "stream's first token",
    };
    let mut add = |measure: &'static str, value| {
        figures.push(Figure::new(STUDY, policy, measure, seed, value));
    };
    add("direct_p50_ms", direct.latency.p50);
    add("added_p50_ms", through.latency.p50 - direct.latency.p50);
    add("direct_p99_ms", direct.latency.p99);
    add("added_p99_ms", through.latency.p99 - direct.latency.p99);
    add("not_whole_requests", (direct.unanswered + through.unanswered) as f64);
}
