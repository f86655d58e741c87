//! Service while an availability zone leaves and returns, by real daemons.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tables::Name;

use super::size::Zone;
use crate::engine::Settings;
use crate::experiment::{Bound, Figure, Row, rows};
use crate::fleet::{Error, Fleet, KEY, Plan};
use crate::load::{self, Count, Kind, Tally, Target};
use crate::outage;

/// Name of the study.
const STUDY: &str = "zone";
/// Requests that a warm engine runs at once.
const LIMIT: u32 = 16;
/// Time of a token of one running request.
const TOKEN: Duration = Duration::from_millis(20);
/// Growth of that time with each further running request.
const BATCH_COST: f64 = 0.02;
/// Tokens of an answer: the least and the most.
const TOKENS: (u32, u32) = (8, 64);
/// Share of bookings among all requests.
const BOOKINGS: f64 = 0.2;
/// Target of the first token's 95th percentile, in milliseconds.
const FIRST_TOKEN: Bound = Bound::Most(530.0);
/// Target of the token gap's 95th percentile, in milliseconds.
const GAP: Bound = Bound::Most(28.0);
/// Target of what must not happen.
const NONE: Bound = Bound::Most(0.0);

/// Runs with warm engines, calm and with a change in turn, then with engines
/// that all start cold.
pub(super) async fn measure(size: &Zone, progress: impl Fn(&str)) -> Result<Vec<Row>, Error> {
    let mut figures = Vec::new();
    let fleet = Fleet::start(&plan(size, true)).await?;
    send(&fleet, size, 0, size.warm_up).await;
    for seed in &size.seeds {
        progress(&format!("seed {seed}, warm"));
        leg(&fleet, size, *seed, "warm, no change", false, &mut figures).await;
        leg(&fleet, size, *seed, "warm, out and back", true, &mut figures).await;
    }
    fleet.stop();
    for seed in &size.seeds {
        progress(&format!("seed {seed}, cold"));
        let fleet = Fleet::start(&plan(size, false)).await?;
        leg(&fleet, size, *seed, "cold, out and back", true, &mut figures).await;
        fleet.stop();
    }
    // Rows of a setting stand together.
    figures.sort_by_key(|figure| figure.policy == "warm, out and back");
    figures.sort_by_key(|figure| figure.policy == "cold, out and back");
    let mut rows = rows(&figures);
    rows.iter_mut().for_each(aim);
    Ok(rows)
}

fn aim(row: &mut Row) {
    match row.measure.as_str() {
        "first_token_p95_ms" => row.aim(FIRST_TOKEN),
        "token_gap_p95_ms" => row.aim(GAP),
        "lost" | "doubled" | "begun_while_out" => row.aim(NONE),
        _ => (),
    }
}

fn plan(size: &Zone, is_warm: bool) -> Plan {
    let engine = Settings {
        token_interval: TOKEN,
        batch_cost: BATCH_COST,
        capacity_warm: LIMIT as usize,
        ..Settings::default()
    };
    let warm_up_tokens = if is_warm { 0 } else { engine.warm_up_tokens };
    Plan {
        engines: size.engines,
        engine: Settings { warm_up_tokens, ..engine },
        limit: LIMIT,
        ..Plan::default()
    }
}

/// Requests a second of all kinds that are the wanted share of what all
/// engines carry when warm.
fn rate(size: &Zone, zones: usize) -> f64 {
    let places = f64::from(LIMIT) * (size.engines * zones) as f64;
    let token = TOKEN.as_secs_f64() * (1.0 + BATCH_COST * f64::from(LIMIT - 1));
    let answer = f64::from(TOKENS.0 + TOKENS.1) / 2.0 * token;
    places / answer * size.load / (1.0 - BOOKINGS)
}

/// Sends a load to all entries.
async fn send(fleet: &Fleet, size: &Zone, seed: u64, length: Duration) -> Vec<Tally> {
    let entries = fleet.listen.len();
    let rate = rate(size, Plan::default().zones.len()) / entries as f64;
    let loads = fleet.listen.iter().enumerate().map(|(number, address)| {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seed = seed * entries as u64 + number as u64;
        let plan = load::Plan {
            seed,
            epoch,
            rate,
            length,
            booking_share: BOOKINGS,
            tokens: TOKENS,
            ..load::Plan::default()
        };
        let mut target = Target::new(format!("http://{address}"));
        target.key = Some(KEY.to_owned());
        async move { load::run(&plan, target, |_| ()).await }
    });
    futures_util::future::join_all(loads).await
}

async fn leg(
    fleet: &Fleet,
    size: &Zone,
    seed: u64,
    policy: &'static str,
    change: bool,
    figures: &mut Vec<Figure>,
) {
    let zone: Name = Plan::default().zones[1].clone();
    let doubled = fleet.doubled();
    let outage = async {
        if !change {
            return None;
        }
        Some(outage::run(fleet, &zone, size.times).await)
    };
    let (tallies, begun) = futures_util::join!(send(fleet, size, seed, size.length), outage);
    let mut add = |measure: &'static str, value: f64| {
        figures.push(Figure::new(STUDY, policy, measure, seed, value));
    };
    let mut count = Count::default();
    let (mut first, mut gap) = (0.0f64, 0.0f64);
    for tally in &tallies {
        count.join(tally.count());
        for line in tally.lines().iter().filter(|line| line.kind == Kind::Chat) {
            first = first.max(line.first_ms.p95);
            gap = gap.max(line.gap_ms.p95);
        }
    }
    add("first_token_p95_ms", first);
    add("token_gap_p95_ms", gap);
    add("sent", count.sent as f64);
    add("refused_not_run", count.not_run as f64);
    add("may_have_run", count.may_have_run as f64);
    add("lost", (count.lost + count.wrong) as f64);
    add("doubled", (fleet.doubled() - doubled) as f64);
    if let Some(begun) = begun {
        add("begun_while_out", begun as f64);
    }
}
