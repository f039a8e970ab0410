//! Creates and registers Prometheus metrics under the node's common prefix.

use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, Result,
};

/// Prefix of every metric name.
const PREFIX: &str = "sycamoreshift";

/// Upper bounds of the buckets of latency histograms, in seconds: from a call on loopback to the
/// longest time that callers wait.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Creates metrics and registers them with a registry.
#[derive(Debug, Clone, Copy)]
pub struct Meter<'a>(&'a Registry);

impl<'a> Meter<'a> {
    /// Creates a meter that registers metrics with `registry`.
    pub fn new(registry: &'a Registry) -> Self {
        Self(registry)
    }

    /// Creates a counter.
    ///
    /// # Errors
    /// [`prometheus::Error`] if `name` is taken or malformed; the same holds for all metrics below.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.register(IntCounter::with_opts(opts(name, help))?)
    }

    /// Creates a counter for each combination of `labels`.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.register(IntCounterVec::new(opts(name, help), labels)?)
    }

    /// Creates an integer gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(IntGauge::with_opts(opts(name, help))?)
    }

    /// Creates an integer gauge for each combination of `labels`.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(opts(name, help), labels)?)
    }

    /// Creates a floating-point gauge.
    pub fn level(&self, name: &str, help: &str) -> Result<Gauge> {
        self.register(Gauge::with_opts(opts(name, help))?)
    }

    /// Creates a floating-point gauge for each combination of `labels`.
    pub fn levels(&self, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec> {
        self.register(GaugeVec::new(opts(name, help), labels)?)
    }

    /// Creates a histogram of durations, in seconds.
    pub fn times(&self, name: &str, help: &str) -> Result<Histogram> {
        self.register(Histogram::with_opts(times(name, help))?)
    }

    /// Creates a histogram of durations, in seconds, for each combination of `labels`.
    pub fn times_by(&self, name: &str, help: &str, labels: &[&str]) -> Result<HistogramVec> {
        self.register(HistogramVec::new(times(name, help), labels)?)
    }

    fn register<M: Collector + Clone + 'static>(&self, metric: M) -> Result<M> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("{PREFIX}_{name}"), help)
}

fn times(name: &str, help: &str) -> HistogramOpts {
    HistogramOpts::from(opts(name, help)).buckets(LATENCY_BUCKETS_S.into())
}

/// Raises `counter` to `total`, a count kept elsewhere; a lower total changes nothing.
pub fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
