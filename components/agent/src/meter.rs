//! Metrics of the agent.

use admission::gate::Counters;
use telemetry::{Gauge, Metrics};
use wire::Report;

/// The agent's gauges, set from the counters of the gate and the links.
pub struct Meter {
    dispatched: Gauge,
    run: Gauge,
    complete: Gauge,
    refused: Gauge,
    broken: Gauge,
    oversized: Gauge,
    crashes: Gauge,
    run_while_out: Gauge,
    running: Gauge,
    queued: Gauge,
    limit: Gauge,
    revision: Gauge,
    received: Gauge,
    malformed: Gauge,
    dropped: Gauge,
}

impl Meter {
    /// Registers the gauges.
    pub fn new(metrics: &Metrics) -> Meter {
        let gauge = |name, help| metrics.gauge(name, help, &[]);
        Meter {
            dispatched: gauge("agent_dispatched", "Attempts that arrived"),
            run: gauge("agent_run", "Attempts handed over to the backend server"),
            complete: gauge("agent_complete", "Attempts that ended whole"),
            refused: gauge("agent_refused", "Attempts that were refused"),
            broken: gauge("agent_broken", "Attempts that the backend server broke off"),
            oversized: gauge("agent_oversized", "Attempts stopped for the size of their answer"),
            crashes: gauge("agent_crashes", "Crashes of the backend server"),
            run_while_out: gauge("agent_run_while_out", "Attempts handed over while out"),
            running: gauge("agent_running", "Attempts that the backend server runs"),
            queued: gauge("agent_queued", "Attempts that wait"),
            limit: gauge("agent_limit", "Attempts that may run at once"),
            revision: gauge("agent_revision", "Revision of the configuration in force"),
            received: gauge("agent_frames_received", "Frames that arrived"),
            malformed: gauge("agent_frames_malformed", "Frames that could not be decoded"),
            dropped: gauge("agent_frames_dropped", "Frames that a peer did not take"),
        }
    }

    /// Updates the gauges of the gate.
    pub fn update(&self, counters: &Counters, report: &Report, revision: u64) {
        self.dispatched.set(counters.dispatched as f64);
        self.run.set(counters.run as f64);
        self.complete.set(counters.complete as f64);
        self.refused.set(counters.refused as f64);
        self.broken.set(counters.broken as f64);
        self.oversized.set(counters.oversized as f64);
        self.crashes.set(counters.crashes as f64);
        self.run_while_out.set(counters.run_while_out as f64);
        self.running.set(f64::from(report.running));
        self.queued.set(f64::from(report.queued));
        self.limit.set(f64::from(report.limit));
        self.revision.set(revision as f64);
    }

    /// Updates the gauges of the links.
    pub fn update_links(&self, counters: &wire::Counters) {
        use std::sync::atomic::Ordering::Relaxed;
        self.received.set(counters.received.load(Relaxed) as f64);
        self.malformed.set(counters.malformed.load(Relaxed) as f64);
        self.dropped.set(counters.dropped.load(Relaxed) as f64);
    }
}
