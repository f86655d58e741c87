//! OpenTelemetry counters, gauges and histograms, rendered in the Prometheus text
//! format.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// OpenTelemetry instrumentation scope of all instruments.
const SCOPE: &str = "wisteriastream";

/// The Prometheus exporter could not be set up.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("can't set up metrics")]
pub struct MetricsError(#[from] OTelSdkError);

/// The instruments of a process. Clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    meter: Meter,
    // Dropping the provider would shut down the instruments.
    _provider: Arc<SdkMeterProvider>,
}

/// A monotonically increasing count.
#[derive(Clone, Debug)]
pub struct Counter {
    counter: opentelemetry::metrics::Counter<u64>,
    labels: Arc<[KeyValue]>,
}

/// A value that can go up and down.
#[derive(Clone, Debug)]
pub struct Gauge {
    gauge: opentelemetry::metrics::Gauge<f64>,
    labels: Arc<[KeyValue]>,
}

/// A distribution of values in fixed buckets.
#[derive(Clone, Debug)]
pub struct Histogram {
    histogram: opentelemetry::metrics::Histogram<f64>,
    labels: Arc<[KeyValue]>,
}

impl Metrics {
    /// Creates an empty set of instruments.
    ///
    /// # Errors
    ///
    /// If the exporter can't register itself.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new().unwrap();
    /// let answered = metrics.counter("answered", "Answers sent", &[("kind", "chat")]);
    /// answered.add(2);
    /// assert!(metrics.render().contains("answered_total{kind=\"chat\"} 2"));
    /// ```
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE);
        Ok(Self { registry, meter, _provider: Arc::new(provider) })
    }

    /// Creates the counter `name` with fixed labels; rendering appends `_total`.
    /// Create it once and reuse it: creation takes a lock and allocates, while
    /// adding costs one look-up.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new().unwrap();
    /// metrics.counter("refused", "Refusals", &[]).add(1);
    /// assert!(metrics.render().contains("refused_total 1"));
    /// ```
    pub fn counter(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Counter {
        let counter = self.meter.u64_counter(name).with_description(help).build();
        Counter { counter, labels: to_labels(labels) }
    }

    /// Creates the gauge `name` with fixed labels.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new().unwrap();
    /// metrics.gauge("open", "Open streams", &[]).set(3.0);
    /// assert!(metrics.render().contains("open 3"));
    /// ```
    pub fn gauge(
        &self,
        name: &'static str,
        help: &'static str,
        labels: &[(&'static str, &str)],
    ) -> Gauge {
        let gauge = self.meter.f64_gauge(name).with_description(help).build();
        Gauge { gauge, labels: to_labels(labels) }
    }

    /// Creates the histogram `name` with fixed labels. `bounds` are the upper
    /// bounds of the buckets in ascending order, in the unit of the recorded
    /// values.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new().unwrap();
    /// let wait = metrics.histogram("wait_seconds", "Waits", &[0.1, 1.0], &[]);
    /// wait.record(0.5);
    /// assert!(metrics.render().contains("wait_seconds_bucket{le=\"1\"} 1"));
    /// ```
    pub fn histogram(
        &self,
        name: &'static str,
        help: &'static str,
        bounds: &[f64],
        labels: &[(&'static str, &str)],
    ) -> Histogram {
        let builder = self.meter.f64_histogram(name).with_description(help);
        let histogram = builder.with_boundaries(bounds.to_vec()).build();
        Histogram { histogram, labels: to_labels(labels) }
    }

    /// Renders all instruments in the Prometheus text format. If encoding fails,
    /// the error is logged and the text is empty.
    ///
    /// ```
    /// assert_eq!(telemetry::Metrics::new().unwrap().render(), "");
    /// ```
    pub fn render(&self) -> String {
        let mut families = self.registry.gather();
        for family in &mut families {
            for metric in family.mut_metric() {
                // All instruments have the same scope, so its labels are omitted.
                let labels = metric.take_label();
                let instrument_labels =
                    labels.into_iter().filter(|label| !label.name().starts_with("otel_"));
                metric.set_label(instrument_labels.collect());
            }
        }
        let text = TextEncoder::new().encode_to_string(&families);
        text.unwrap_or_else(|error| {
            log::error!("metrics can't be encoded: {error}");
            String::new()
        })
    }
}

impl Counter {
    /// Adds `count`.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new().unwrap();
    /// metrics.counter("sent", "Frames sent", &[]).add(4);
    /// ```
    pub fn add(&self, count: u64) {
        self.counter.add(count, &self.labels);
    }
}

impl Gauge {
    /// Sets the current value.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new().unwrap();
    /// metrics.gauge("limit", "Requests allowed at once", &[]).set(12.0);
    /// ```
    pub fn set(&self, value: f64) {
        self.gauge.record(value, &self.labels);
    }
}

impl Histogram {
    /// Records `value`.
    ///
    /// ```
    /// let metrics = telemetry::Metrics::new().unwrap();
    /// metrics.histogram("gap_seconds", "Token gaps", &[0.028], &[]).record(0.02);
    /// ```
    pub fn record(&self, value: f64) {
        self.histogram.record(value, &self.labels);
    }
}

fn to_labels(labels: &[(&'static str, &str)]) -> Arc<[KeyValue]> {
    labels.iter().map(|(name, value)| KeyValue::new(*name, (*value).to_owned())).collect()
}
