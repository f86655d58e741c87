//! Cost of counters, of their rendering and of a bounded dump, as JSON lines.

use std::time::{Duration, Instant};

use serde_json::json;
use telemetry::{Metrics, dump};

/// Calls of each kind that are timed.
const CALLS: u32 = 1_000_000;
/// Counters of a process with a few hundred instruments.
const COUNTERS: usize = 300;
/// Rows of a dump far beyond its limit.
const ROWS: usize = 500_000;

fn main() -> Result<(), telemetry::MetricsError> {
    let metrics = Metrics::new()?;
    let counter = metrics.counter("calls", "Calls", &[("kind", "chat")]);
    show("counter_add", CALLS, timed(|| (0..CALLS).for_each(|_| counter.add(1))));
    let histogram = metrics.histogram("gap_seconds", "Gaps", &[0.01, 0.03, 0.1, 0.5], &[]);
    show("histogram_record", CALLS, timed(|| (0..CALLS).for_each(|_| histogram.record(0.02))));
    for number in 0..COUNTERS {
        metrics.counter("many", "Many", &[("number", &number.to_string())]).add(1);
    }
    show("render_302_series", 1, timed(|| drop(metrics.render())));
    let rows: Vec<_> = (0..ROWS).map(|row| json!({ "row": row, "name": "worker" })).collect();
    let value = json!({ "rows": rows });
    show("bound_500000_rows", 1, timed(|| drop(dump::bound(value, dump::LIMIT))));
    Ok(())
}

fn timed(work: impl FnOnce()) -> Duration {
    let started = Instant::now();
    work();
    started.elapsed()
}

fn show(name: &str, calls: u32, time: Duration) {
    println!("{}", json!({ "name": name, "ns_per_call": time.as_nanos() / u128::from(calls) }));
}
