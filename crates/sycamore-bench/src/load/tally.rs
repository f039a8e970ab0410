//! Counts, latencies and broken promises of a load.

use super::{Ended, Record};
use crate::measure::Violations;
use crate::witness::Ledger;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// A refusal of a repeat because the first is under way; true although the key ran.
const IN_PROGRESS: &str = "in-progress";

/// Latencies, in microseconds with three digits.
#[derive(Debug, Clone)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new(3).expect("three digits are allowed"))
    }
}

impl Latencies {
    /// Adds one.
    pub fn add(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.record(us).expect("a histogram of its own size grows with what it is given");
    }

    /// How many there are.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The quantile `q`, 0.0 to 1.0, in milliseconds.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.0.value_at_quantile(q) as f64 / 1_000.0
    }

    /// The greatest, in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1_000.0
    }
}

/// All that a load brought.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    records: Vec<Record>,
    took: Duration,
    lag: Duration,
}

impl Tally {
    /// Adds one call.
    pub fn add(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Notes that the generator was late by `lag`.
    pub fn note_lag(&mut self, lag: Duration) {
        self.lag = self.lag.max(lag);
    }

    /// Notes how long the load took, answers included.
    pub fn took(&mut self, took: Duration) {
        self.took = took;
    }

    /// Takes in the calls of another load.
    pub fn merge(&mut self, other: Tally) {
        self.records.extend(other.records);
        self.took = self.took.max(other.took);
        self.lag = self.lag.max(other.lag);
    }

    /// Every call.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Greatest delay of the generator itself.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// How long the load took, answers included.
    pub fn time(&self) -> Duration {
        self.took
    }

    /// Calls that ended so.
    pub fn count(&self, ended: Ended) -> usize {
        self.records.iter().filter(|record| record.ended == ended).count()
    }

    /// Latencies of the calls that ended so.
    pub fn latencies(&self, ended: Ended) -> Latencies {
        let mut latencies = Latencies::default();
        let such = self.records.iter().filter(|record| record.ended == ended);
        such.for_each(|record| latencies.add(record.latency));
        latencies
    }

    /// Reasons given with the answers that ended so, with their counts.
    pub fn reasons(&self, ended: Ended) -> BTreeMap<&str, usize> {
        let mut reasons = BTreeMap::new();
        for record in self.records.iter().filter(|record| record.ended == ended) {
            *reasons.entry(record.reason.as_deref().unwrap_or("none")).or_default() += 1;
        }
        reasons
    }

    /// The promises that answers and `ledger` together show broken. Runs after a drain and after a
    /// verdict are the ledger's alone.
    pub fn violations(&self, ledger: &Ledger) -> Violations {
        let runs = ledger.runs();
        let ran = |token: &str| runs.get(token).map_or(0, Vec::len);
        let by_token = self.by_token();
        let twice = by_token.iter().filter(|(_, records)| !records[0].idempotent);
        let twice = twice.filter(|(token, _)| ran(token) > 1).count();
        let refused = by_token.iter().filter(|(_, records)| records.iter().all(|r| is_denied(r)));
        Violations {
            ran_twice: twice,
            false_not_run: refused.filter(|(token, _)| ran(token) > 0).count(),
            wrong_answer: self.count(Ended::Wrong),
            cut_answer: self.count(Ended::Short),
            ..Violations::default()
        }
    }

    /// The story of each call that ran more than once and must not: what was sent where, and the runs.
    pub fn doubled(&self, ledger: &Ledger) -> Vec<String> {
        let runs = ledger.runs();
        let by_token = self.by_token();
        let kept = by_token.iter().filter(|(_, records)| !records[0].idempotent);
        kept.filter_map(|(token, records)| {
            let runs = runs.get(token).filter(|runs| runs.len() > 1)?;
            let first = runs[0].at_us;
            let ms = |us: u64| (us as f64 - first as f64) / 1_000.0;
            let mut story = format!("{token} ran twice, ms from its first run:");
            for record in records {
                let (sent, took) = (ms(record.sent_us), record.latency.as_secs_f64() * 1_000.0);
                let addr = record.addr.map_or_else(String::new, |addr| addr.to_string());
                let ended = record.ended;
                story += &format!(" sent {sent:.1} to {addr}, {ended:?} after {took:.1};");
            }
            for run in runs {
                story += &format!(" run {:.1} on {};", ms(run.at_us), run.instance);
            }
            Some(story)
        })
        .collect()
    }

    fn by_token(&self) -> HashMap<&str, Vec<&Record>> {
        let mut by_token: HashMap<&str, Vec<&Record>> = HashMap::new();
        for record in &self.records {
            by_token.entry(record.token.as_str()).or_default().push(record);
        }
        by_token
    }
}

fn is_denied(record: &Record) -> bool {
    record.ended == Ended::Refused && record.reason.as_deref() != Some(IN_PROGRESS)
}

impl Tally {
    /// For each ending but success, the kind's index, status, reason and detail with its count.
    pub fn failures(&self) -> Vec<(String, usize)> {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for record in self.records.iter().filter(|record| record.ended != Ended::Ok) {
            let status = record.status.map_or(0, |status| status.as_u16());
            let reason = record.reason.as_deref().unwrap_or("-");
            let line = format!(
                "{:?} kind {} status {status} reason {reason}: {}",
                record.ended, record.kind, record.detail
            );
            *counts.entry(line).or_default() += 1;
        }
        let mut counts: Vec<_> = counts.into_iter().collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        counts
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ok = self.latencies(Ended::Ok);
        write!(f, "{} calls: {} ok", self.records.len(), ok.count())?;
        for (ended, name) in [
            (Ended::Refused, "refused"),
            (Ended::Unknown, "unknown"),
            (Ended::Failed, "failed"),
            (Ended::NotConnected, "not connected"),
            (Ended::NoAnswer, "no answer"),
            (Ended::Cut, "cut"),
            (Ended::TimedOut, "timed out"),
            (Ended::Wrong, "wrong"),
            (Ended::Short, "short"),
        ] {
            let count = self.count(ended);
            if count > 0 {
                write!(f, ", {count} {name}")?;
            }
        }
        let (p50, p99) = (ok.quantile_ms(0.5), ok.quantile_ms(0.99));
        write!(f, "; p50 {p50:.1} ms, p99 {p99:.1} ms")
    }
}
