//! The demonstration: the whole path under load, with a zone taken out and back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use tables::Name;

use crate::fleet::{Error, Fleet, KEY, Plan};
use crate::load::{self, Count, Kind, Tally, Target};
use crate::outage::{self, Times};

/// When the zone leaves and returns.
const TIMES: Times = Times {
    out_at: Duration::from_secs(3),
    settle: Duration::from_secs(3),
    back_at: Duration::from_secs(9),
};
/// Time during which requests start.
const LENGTH: Duration = Duration::from_secs(14);
/// Requests a second to each entry.
const RATE: f64 = 20.0;

/// What the demonstration shows.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Counts of all requests.
    pub count: Count,
    /// Runs of bookings beyond the first.
    pub doubled: u64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub token_gap_p95_ms: f64,
    /// Requests begun in the zone later than three seconds after it was out.
    pub begun_while_out: u64,
}

impl Report {
    /// Whether nothing was lost, wrong or doubled, and nothing began in the
    /// zone that was out.
    pub fn passed(&self) -> bool {
        let answered = self.count.lost == 0 && self.count.wrong == 0;
        self.count.sent > 0 && answered && self.doubled == 0 && self.begun_while_out == 0
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let count = &self.count;
        writeln!(f, "sent                          {:>8}", count.sent)?;
        writeln!(f, "answered whole                {:>8}", count.whole)?;
        writeln!(f, "refused, not run              {:>8}", count.not_run)?;
        writeln!(f, "may have run                  {:>8}", count.may_have_run)?;
        writeln!(f, "lost                          {:>8}", count.lost + count.wrong)?;
        writeln!(f, "doubled                       {:>8}", self.doubled)?;
        writeln!(f, "first token p95, ms           {:>8.1}", self.first_token_p95_ms)?;
        writeln!(f, "token gap p95, ms             {:>8.1}", self.token_gap_p95_ms)?;
        write!(f, "begun in the zone while out   {:>8}", self.begun_while_out)
    }
}

/// Runs the demonstration.
///
/// # Errors
///
/// If the system can't be started.
pub async fn run(seed: u64) -> Result<Report, Error> {
    let fleet = Fleet::start(&Plan::default()).await?;
    let zone: Name = Plan::default().zones[1].clone();
    let loads = fleet.listen.iter().enumerate().map(|(number, address)| {
        let plan = plan(seed + number as u64);
        let mut target = Target::new(format!("http://{address}"));
        target.key = Some(KEY.to_owned());
        async move { load::run(&plan, target, |_| ()).await }
    });
    let loads = futures_util::future::join_all(loads);
    let (tallies, begun_while_out) = futures_util::join!(loads, outage::run(&fleet, &zone, TIMES));
    let doubled = fleet.doubled();
    fleet.stop();
    Ok(report(&tallies, doubled, begun_while_out))
}

fn plan(seed: u64) -> load::Plan {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    load::Plan { seed, epoch, rate: RATE, length: LENGTH, ..load::Plan::default() }
}

fn report(tallies: &[Tally], doubled: u64, begun_while_out: u64) -> Report {
    let mut count = Count::default();
    let (mut first, mut gap) = (0.0f64, 0.0f64);
    for tally in tallies {
        count.join(tally.count());
        for line in tally.lines().iter().filter(|line| line.kind == Kind::Chat) {
            first = first.max(line.first_ms.p95);
            gap = gap.max(line.gap_ms.p95);
        }
    }
    Report { count, doubled, first_token_p95_ms: first, token_gap_p95_ms: gap, begun_while_out }
}
