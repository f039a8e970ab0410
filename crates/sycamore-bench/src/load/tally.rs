//! Counts, latencies and violations of a load.

use super::{Ended, Record};
use crate::measure::Violations;
use crate::witness::Ledger;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

/// Reason of a refusal of a repeated call while the first call with its key is running: a correct
/// answer although the key has run.
const IN_PROGRESS: &str = "in-progress";

/// Histogram of latencies, with microsecond resolution and three significant digits.
#[derive(Debug, Clone)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        Self(Histogram::new(3).expect("a histogram supports up to five significant digits"))
    }
}

impl Latencies {
    /// Adds one latency to the histogram.
    pub fn add(&mut self, latency: Duration) {
        let us = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.record(us).expect("an auto-resizing histogram accepts every value");
    }

    /// Returns the number of latencies in the histogram.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the quantile `q`, from 0.0 to 1.0, in milliseconds.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.0.value_at_quantile(q) as f64 / 1_000.0
    }

    /// Returns the greatest latency in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1_000.0
    }
}

/// Records of a load's calls, and the load's duration and lag.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    records: Vec<Record>,
    took: Duration,
    lag: Duration,
}

impl Tally {
    /// Adds the record of an ended call to the tally.
    pub fn add(&mut self, record: Record) {
        self.records.push(record);
    }

    /// Records that the generator sent a call `lag` after its arrival time.
    pub fn note_lag(&mut self, lag: Duration) {
        self.lag = self.lag.max(lag);
    }

    /// Sets the duration of the load, including the wait for the last answers.
    pub fn took(&mut self, took: Duration) {
        self.took = took;
    }

    /// Merges the records of a concurrent load; duration and lag become the greater of the two.
    pub fn merge(&mut self, other: Tally) {
        self.records.extend(other.records);
        self.took = self.took.max(other.took);
        self.lag = self.lag.max(other.lag);
    }

    /// Returns the records of all calls, in the order in which they ended.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the longest time between a call's arrival time and its sending by the generator.
    pub fn lag(&self) -> Duration {
        self.lag
    }

    /// Returns the duration of the load, including the wait for the last answers.
    pub fn time(&self) -> Duration {
        self.took
    }

    /// Counts the calls with the outcome `ended`.
    pub fn count(&self, ended: Ended) -> usize {
        self.records.iter().filter(|record| record.ended == ended).count()
    }

    /// Returns the latencies of the calls with the outcome `ended`.
    pub fn latencies(&self, ended: Ended) -> Latencies {
        let mut latencies = Latencies::default();
        let such = self.records.iter().filter(|record| record.ended == ended);
        such.for_each(|record| latencies.add(record.latency));
        latencies
    }

    /// Counts the calls with the outcome `ended` by the reason in their answer, `none` if there is none.
    pub fn reasons(&self, ended: Ended) -> BTreeMap<&str, usize> {
        let mut reasons = BTreeMap::new();
        for record in self.records.iter().filter(|record| record.ended == ended) {
            *reasons.entry(record.reason.as_deref().unwrap_or("none")).or_default() += 1;
        }
        reasons
    }

    /// Counts the violations that follow from the answers together with the runs in `ledger`. Runs after
    /// a drain and after a verdict are not counted here, because `ledger` alone shows them.
    pub fn violations(&self, ledger: &Ledger) -> Violations {
        let runs = ledger.runs();
        let ran = |token: &str| runs.get(token).map_or(0, Vec::len);
        let by_token = self.by_token();
        let twice = by_token.iter().filter(|(_, records)| !records[0].idempotent);
        let twice = twice.filter(|(token, _)| ran(token) > 1).count();
        let refused =
            by_token.iter().filter(|(_, records)| records.iter().all(|r| is_refused_as_not_run(r)));
        Violations {
            ran_twice: twice,
            false_not_run: refused.filter(|(token, _)| ran(token) > 0).count(),
            wrong_answer: self.count(Ended::Wrong),
            cut_answer: self.count(Ended::Short),
            ..Violations::default()
        }
    }

    /// Describes each call that ran more than once although it must not: when it was sent to which
    /// address, and when it ran on which instance.
    pub fn describe_repeated_runs(&self, ledger: &Ledger) -> Vec<String> {
        let runs = ledger.runs();
        let by_token = self.by_token();
        let single_run_calls = by_token.iter().filter(|(_, records)| !records[0].idempotent);
        single_run_calls
            .filter_map(|(token, records)| {
                let runs = runs.get(token).filter(|runs| runs.len() > 1)?;
                let first = runs[0].at_us;
                let ms = |us: u64| (us as f64 - first as f64) / 1_000.0;
                let mut line =
                    format!("{token} ran more than once; times in ms from its first run:");
                for record in records {
                    let (sent, took) = (ms(record.sent_us), record.latency.as_secs_f64() * 1_000.0);
                    let addr = record.addr.map_or_else(String::new, |addr| addr.to_string());
                    let ended = record.ended;
                    line += &format!(" sent {sent:.1} to {addr}, {ended:?} after {took:.1};");
                }
                for run in runs {
                    line += &format!(" run {:.1} on {};", ms(run.at_us), run.instance);
                }
                Some(line)
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

/// Returns whether the answer claims that no request with the call's key has run.
fn is_refused_as_not_run(record: &Record) -> bool {
    record.ended == Ended::Refused && record.reason.as_deref() != Some(IN_PROGRESS)
}

impl Tally {
    /// Counts the calls that did not end well by outcome, kind, status, reason and detail; the most
    /// frequent combination comes first.
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
