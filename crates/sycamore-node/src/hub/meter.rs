//! Making and registering metrics, all under one prefix.

use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, Result,
};

/// Prefix of every metric's name.
const PREFIX: &str = "sycamoreshift";

/// Upper bounds of the buckets of times, in seconds: from a call on loopback to the longest that
/// callers wait.
const SECONDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Makes metrics and registers them.
#[derive(Debug, Clone, Copy)]
pub struct Meter<'a>(&'a Registry);

impl<'a> Meter<'a> {
    /// A meter that registers with `registry`.
    pub fn new(registry: &'a Registry) -> Self {
        Self(registry)
    }

    /// A count that only grows.
    ///
    /// # Errors
    /// Where the name is taken or malformed, as for all others.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.register(IntCounter::with_opts(opts(name, help))?)
    }

    /// Counts that only grow, by `labels`.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.register(IntCounterVec::new(opts(name, help), labels)?)
    }

    /// A whole number that goes up and down.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(IntGauge::with_opts(opts(name, help))?)
    }

    /// Whole numbers that go up and down, by `labels`.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(opts(name, help), labels)?)
    }

    /// A number with a fraction that goes up and down.
    pub fn level(&self, name: &str, help: &str) -> Result<Gauge> {
        self.register(Gauge::with_opts(opts(name, help))?)
    }

    /// Numbers with a fraction that go up and down, by `labels`.
    pub fn levels(&self, name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec> {
        self.register(GaugeVec::new(opts(name, help), labels)?)
    }

    /// How times are spread, in seconds.
    pub fn times(&self, name: &str, help: &str) -> Result<Histogram> {
        self.register(Histogram::with_opts(times(name, help))?)
    }

    /// How times are spread by `labels`, in seconds.
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
    HistogramOpts::from(opts(name, help)).buckets(SECONDS.into())
}

/// Raises `counter` to `total`, counted elsewhere.
pub fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
