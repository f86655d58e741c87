//! Measures the cost of recording metrics, rendering them and truncating a dump;
//! prints JSON lines.

use std::time::{Duration, Instant};

use serde_json::json;
use telemetry::{Metrics, dump};

/// Timed calls of each recording method.
const CALLS: u32 = 1_000_000;
/// Typical number of instruments in a process.
const COUNTERS: usize = 300;
/// Rows of a dump that far exceeds [`dump::LIMIT`].
const ROWS: usize = 500_000;

fn main() -> Result<(), telemetry::MetricsError> {
    let metrics = Metrics::new()?;
    let counter = metrics.counter("calls", "Calls", &[("kind", "chat")]);
    print_cost("counter_add", CALLS, measure(|| (0..CALLS).for_each(|_| counter.add(1))));
    let histogram = metrics.histogram("gap_seconds", "Gaps", &[0.01, 0.03, 0.1, 0.5], &[]);
    print_cost(
        "histogram_record",
        CALLS,
        measure(|| (0..CALLS).for_each(|_| histogram.record(0.02))),
    );
    for number in 0..COUNTERS {
        metrics.counter("many", "Many", &[("number", &number.to_string())]).add(1);
    }
    print_cost("render_302_series", 1, measure(|| drop(metrics.render())));
    let rows: Vec<_> = (0..ROWS).map(|row| json!({ "row": row, "name": "worker" })).collect();
    let value = json!({ "rows": rows });
    print_cost("bound_500000_rows", 1, measure(|| drop(dump::bound(value, dump::LIMIT))));
    Ok(())
}

fn measure(work: impl FnOnce()) -> Duration {
    let started = Instant::now();
    work();
    started.elapsed()
}

fn print_cost(name: &str, calls: u32, time: Duration) {
    println!("{}", json!({ "name": name, "ns_per_call": time.as_nanos() / u128::from(calls) }));
}
