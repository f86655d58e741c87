//! `wisteria-lab load`: sends an open-loop load and prints the results.

use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lab::load::{Plan, Record, Tally, Target, progress_bar, run as send};
use settings::Check;

use crate::cmd::flags::Load;

/// Exit code for a bad command line.
const EXIT_BAD_INPUT: u8 = 2;

/// Runs the load described by the flags.
pub fn run(flags: Load) -> ExitCode {
    let plan = plan(&flags);
    let faults = plan.faults();
    if !faults.is_empty() {
        for fault in faults {
            eprintln!("{fault}");
        }
        return ExitCode::from(EXIT_BAD_INPUT);
    }
    let total = plan.arrivals().count() as u64;
    let tally = actix_rt::System::new().block_on(send(&plan, target(flags), progress_bar(total)));
    print(&plan, &tally);
    let count = tally.count();
    let passed = count.sent == total && count.lost == 0 && count.wrong == 0;
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn plan(flags: &Load) -> Plan {
    let defaults = Plan::default();
    Plan {
        seed: flags.seed.unwrap_or(defaults.seed),
        epoch: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        rate: flags.rate.unwrap_or(defaults.rate),
        length: flags.seconds.map_or(defaults.length, seconds),
        booking_share: flags.booking_share.unwrap_or(defaults.booking_share),
        tokens: (
            flags.tokens_min.unwrap_or(defaults.tokens.0),
            flags.tokens_max.unwrap_or(defaults.tokens.1),
        ),
        ..defaults
    }
}

fn target(flags: Load) -> Target {
    let defaults = Target::new(flags.url.trim_end_matches('/'));
    Target {
        key: flags.key,
        model: flags.model.unwrap_or(defaults.model),
        booking_path: flags.booking_path.unwrap_or(defaults.booking_path),
        timeout: flags.timeout.map_or(defaults.timeout, seconds),
        ..defaults
    }
}

fn seconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number).unwrap_or_default()
}

fn print(plan: &Plan, tally: &Tally) {
    for line in tally.lines() {
        let record = Record { seed: plan.seed, rate: plan.rate, line };
        match serde_json::to_string(&record) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("can't serialize a result line: {error}"),
        }
    }
}
