//! Metrics of calls.

use error_stack::Report;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use std::io;
use sycamore_call::Load;

/// Metrics of calls.
pub(super) struct Metrics {
    answers: IntCounterVec,
    announcements: IntCounterVec,
    first_attempts: IntCounter,
    retries: IntCounter,
    running: IntGauge,
    limit: IntGauge,
    queued: IntGauge,
    connections: IntGauge,
    body_bytes: IntGauge,
}

impl Metrics {
    pub(super) fn new(registry: &Registry) -> Result<Self, Report<io::Error>> {
        let build = || -> prometheus::Result<Self> {
            let answers = Opts::new("sycamoreshift_call_answers_total", "Answers given to calls");
            let announcements =
                Opts::new("sycamoreshift_announcements_total", "Announcements of the upstream");
            let metrics = Self {
                announcements: IntCounterVec::new(announcements, &["result"])?,
                answers: IntCounterVec::new(answers, &["outcome", "reason"])?,
                first_attempts: counter("first_attempts_total", "First attempts of calls")?,
                retries: counter("retries_total", "Further attempts of calls")?,
                running: gauge("running", "Calls that run on the upstream")?,
                limit: gauge("limit", "Calls that may run on the upstream")?,
                queued: gauge("queued", "Calls that wait for the upstream")?,
                connections: gauge("connections", "Connections accepted and open")?,
                body_bytes: gauge("body_bytes", "Memory that bodies under way hold, in bytes")?,
            };
            registry.register(Box::new(metrics.answers.clone()))?;
            registry.register(Box::new(metrics.announcements.clone()))?;
            registry.register(Box::new(metrics.first_attempts.clone()))?;
            registry.register(Box::new(metrics.retries.clone()))?;
            for gauge in [
                &metrics.running,
                &metrics.limit,
                &metrics.queued,
                &metrics.connections,
                &metrics.body_bytes,
            ] {
                registry.register(Box::new(gauge.clone()))?;
            }
            Ok(metrics)
        };
        build().map_err(|err| Report::new(io::Error::other(err)))
    }

    /// Counts an answer.
    pub(super) fn answered(&self, outcome: &str, reason: &str) {
        self.answers.with_label_values(&[outcome, reason]).inc();
    }

    /// Counts an announcement of the upstream by what became of it.
    pub(super) fn announcement(&self, result: &str) {
        self.announcements.with_label_values(&[result]).inc();
    }

    /// Counts the attempt with this number, from 1.
    pub(super) fn attempt(&self, number: u8) {
        match number {
            1 => self.first_attempts.inc(),
            _ => self.retries.inc(),
        }
    }

    /// Sets the load of the upstream.
    pub(super) fn load(&self, load: Load) {
        self.running.set(load.running.into());
        self.limit.set(load.limit.into());
        self.queued.set(load.queued.into());
    }

    /// The number of open connections.
    pub(super) fn connections(&self) -> &IntGauge {
        &self.connections
    }

    /// The memory that bodies under way hold.
    pub(super) fn body_bytes(&self) -> &IntGauge {
        &self.body_bytes
    }
}

fn counter(name: &str, help: &str) -> prometheus::Result<IntCounter> {
    IntCounter::new(format!("sycamoreshift_call_{name}"), help)
}

fn gauge(name: &str, help: &str) -> prometheus::Result<IntGauge> {
    IntGauge::new(format!("sycamoreshift_calls_{name}"), help)
}
