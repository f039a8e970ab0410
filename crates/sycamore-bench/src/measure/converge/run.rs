//! Runs configuration changes, with faults, against the processes of a fleet.

use super::bytes::Bytes;
use super::report::Report;
use super::{change, observe, Fault, Options};
use crate::fleet::{ConfigWatch, Deployment, Fleet, Options as FleetOptions, Upstreams, Usage};
use crate::measure::Violations;
use crate::stand_in::platform::{Control, Stats};
use crate::Result;
use futures::future::{join, select, Either};
use nix::sys::signal::Signal;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::pin::pin;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wait before the first measurement, so that membership traffic settles.
const SETTLE: Duration = Duration::from_secs(15);
/// Mean pause between two changes; each pause is 50% to 150% of it.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);
/// Time from killing nodes until they are restarted.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Length of the platform's outage after a change.
const OUTAGE: Duration = Duration::from_secs(5);
/// Longest wait until all nodes are ready.
const READY_LIMIT: Duration = Duration::from_secs(90);
/// Share of the nodes that the `herd` fault kills, in percent.
const HERD_PERCENT: usize = 30;

/// Starts a fleet, runs the changes of `options` on it and reports the times.
pub(super) async fn run(options: &Options) -> Result<Report> {
    let deployment = Deployment::scaled(options.nodes);
    let fleet = Fleet::start(FleetOptions {
        deployment,
        seed: options.seed,
        upstreams: Upstreams::Announced,
        ready_limit: READY_LIMIT,
        ..FleetOptions::default()
    })
    .await?;
    let report = match select(pin!(measure(options, &fleet)), pin!(fleet.supervise())).await {
        Either::Left((report, _)) => report?,
        Either::Right(_) => Report::new(options, Vec::new()),
    };
    fleet.stop().await;
    Ok(report)
}

/// Counters and resource usage of a fleet at one moment; the difference of two is the consumption
/// between them.
struct Snapshot {
    at: Instant,
    bytes: Bytes,
    stats: Stats,
    /// Instance, process id and usage of each running node.
    usages: Vec<(String, i32, Usage)>,
}

impl Snapshot {
    async fn take(fleet: &Fleet) -> Result<Self> {
        let usage = |name: String| {
            let pid = fleet.node_pid(&name).ok()?;
            Some((name.clone(), pid, fleet.node_usage(&name).ok()?))
        };
        Ok(Self {
            at: Instant::now(),
            bytes: Bytes::of(fleet).await,
            stats: fleet.platform_stats().await?,
            usages: fleet.running().into_iter().filter_map(usage).collect(),
        })
    }
}

/// State of a run of changes: its random choices and what was measured so far.
struct Run<'a> {
    options: &'a Options,
    fleet: &'a Fleet,
    rng: SmallRng,
    /// Milliseconds from each command, or from the resume of a paused node, until a node applied the
    /// change.
    times: Vec<f64>,
    /// Milliseconds from each restart until the node applied the change.
    restarts: Vec<f64>,
    /// Number of commands that were refused with the winner's name.
    race_lost: usize,
    /// Number of failures in races; see [`Report::race_broken`].
    race_broken: usize,
}

async fn measure(options: &Options, fleet: &Fleet) -> Result<Report> {
    let deployment = &fleet.options().deployment;
    fleet.apply_resources("bench", change::resources(deployment, 0)).await?;
    monoio::time::sleep(SETTLE).await;
    let idle = Snapshot::take(fleet).await?;
    monoio::time::sleep(Duration::from_secs(options.idle)).await;
    let start = Snapshot::take(fleet).await?;
    let mut run = Run {
        options,
        fleet,
        rng: SmallRng::seed_from_u64(options.seed),
        times: Vec::new(),
        restarts: Vec::new(),
        race_lost: 0,
        race_broken: 0,
    };
    let watch = ConfigWatch::default();
    for number in 1..=options.changes {
        run.change(number).await?;
    }
    let end = Snapshot::take(fleet).await?;
    watch.check_once(fleet).await;
    let mut violations = watch.violations();
    violations += observe::count_regressions(fleet).await;
    Ok(run.report(&idle, &start, &end, violations))
}

impl Run<'_> {
    fn has_fault(&self, fault: Fault) -> bool {
        self.options.faults.contains(&fault)
    }

    /// Applies change `number` with the faults, and waits until all nodes use it or the wait is
    /// over.
    async fn change(&mut self, number: usize) -> Result<()> {
        let names = self.fleet.running();
        let herd = self.draw_herd(&names);
        let rest: Vec<String> = names.into_iter().filter(|name| !herd.contains(name)).collect();
        let Some(at) = rest.choose(&mut self.rng).cloned() else { return Ok(()) };
        let paused = self.draw_paused(&rest, &at);
        if self.has_fault(Fault::LostAnswer) {
            // Loses the answers to the object's put, which the node repeats, and to the head's
            // write, which the node reads back.
            self.control(Control { lost_answers: Some(2), ..Control::default() }).await?;
        }
        if let Some(name) = &paused {
            self.fleet.signal_node(name, Signal::SIGSTOP)?;
        }
        for name in &herd {
            self.fleet.kill_node(name)?;
        }
        let sent = wall_ms();
        let version = self.apply(&at, number).await?;
        if self.has_fault(Fault::PlatformOut) {
            let outage_ms = Some(u64::try_from(OUTAGE.as_millis()).unwrap_or(u64::MAX));
            self.control(Control { outage_ms, ..Control::default() }).await?;
        }
        let responsive: Vec<String> =
            rest.iter().filter(|n| Some(*n) != paused.as_ref()).cloned().collect();
        let (applied, restarts) = join(
            observe::wait_until_applied(self.fleet, &responsive, version),
            restart_killed(self.fleet, &herd, version),
        )
        .await;
        self.record_times(sent, &responsive, &applied);
        self.restarts.extend(restarts?);
        if let Some(name) = paused {
            let resumed = wall_ms();
            self.fleet.signal_node(&name, Signal::SIGCONT)?;
            let applied =
                observe::wait_until_applied(self.fleet, std::slice::from_ref(&name), version).await;
            self.record_times(resumed, &[name], &applied);
        }
        if self.has_fault(Fault::PlatformOut) {
            self.control(Control { outage_ms: Some(0), ..Control::default() }).await?;
        }
        let pause = CHANGE_PAUSE.mul_f64(self.rng.random_range(0.5..1.5));
        monoio::time::sleep(pause).await;
        Ok(())
    }

    /// Draws the nodes that the `herd` fault kills; none without the fault.
    fn draw_herd(&mut self, names: &[String]) -> Vec<String> {
        let count = match self.has_fault(Fault::Herd) {
            true => names.len() * HERD_PERCENT / 100,
            false => 0,
        };
        names.choose_multiple(&mut self.rng, count).cloned().collect()
    }

    /// Draws the node that the `freeze` fault pauses, other than `not`; `None` without the fault.
    fn draw_paused(&mut self, names: &[String], not: &str) -> Option<String> {
        if !self.has_fault(Fault::Freeze) {
            return None;
        }
        let others: Vec<&String> = names.iter().filter(|name| *name != not).collect();
        others.choose(&mut self.rng).map(|name| (*name).clone())
    }

    /// Applies change `number` at the node `at` and returns the accepted version.
    async fn apply(&mut self, at: &str, number: usize) -> Result<u64> {
        let resources = change::resources(&self.fleet.options().deployment, number);
        let command = |operator: &str, op: u128| {
            json!({
                "operator": operator, "op": format!("{op:032x}"), "expect": null,
                "resources": resources,
            })
        };
        let first = command("ana", self.rng.random());
        if !self.has_fault(Fault::Race) {
            let answer = self.fleet.command(at, "config-apply", &first).await?;
            return Ok(answer["version"].as_u64().unwrap_or_default());
        }
        let second = command("rahim", self.rng.random());
        let other = self.fleet.running().choose(&mut self.rng).cloned().unwrap_or_default();
        let (one, two) = join(
            self.fleet.command(at, "config-apply", &first),
            self.fleet.command(&other, "config-apply", &second),
        )
        .await;
        Ok(self.count_race_failures([one, two]))
    }

    /// Counts the failures among the two answers of a race and returns the highest accepted
    /// version. Both commands may be accepted, one after the other, as two versions.
    fn count_race_failures(&mut self, answers: [Result<serde_json::Value>; 2]) -> u64 {
        let mut versions = Vec::new();
        for answer in answers {
            match answer {
                Ok(answer) => versions.push(answer["version"].as_u64().unwrap_or_default()),
                Err(report) if format!("{report:?}").contains("winner") => self.race_lost += 1,
                Err(_) => self.race_broken += 1,
            }
        }
        let same = versions.len() == 2 && versions[0] == versions[1];
        if versions.is_empty() || same {
            self.race_broken += 1;
        }
        versions.into_iter().max().unwrap_or_default()
    }

    fn record_times(&mut self, since: u64, nodes: &[String], applied: &observe::AppliedAt) {
        let time = |node: &String| match applied.get(node) {
            Some(at) => at.saturating_sub(since) as f64,
            None => f64::INFINITY,
        };
        self.times.extend(nodes.iter().map(time));
    }

    async fn control(&self, control: Control) -> Result<()> {
        self.fleet.control_platform(&control).await.map(|_| ())
    }

    fn report(
        self,
        idle: &Snapshot,
        start: &Snapshot,
        end: &Snapshot,
        violations: Violations,
    ) -> Report {
        let nodes = self.options.nodes as f64;
        let (idle_s, changes_s) = (seconds(idle, start), seconds(start, end));
        let idle_bytes = start.bytes.total() - idle.bytes.total();
        let idle_peer_bytes = start.bytes.peers - idle.bytes.peers;
        let change_bytes = end.bytes.total() - start.bytes.total();
        let extra_bytes = change_bytes - idle_bytes / idle_s * changes_s;
        let (reads, writes) =
            (end.stats.reads - idle.stats.reads, end.stats.writes - idle.stats.writes);
        let usage = UsageShares::between(idle, end);
        let mut report =
            Report::new(self.options, self.times.clone()).with_restarts(self.restarts.clone());
        report.seconds = idle_s + changes_s;
        report.idle_bytes_per_node_s = idle_bytes / idle_s / nodes;
        report.idle_peer_bytes_per_node_s = idle_peer_bytes / idle_s / nodes;
        // Killed nodes lose their counters, so a run with a herd has no such figure.
        report.bytes_per_change_per_node = match self.has_fault(Fault::Herd) {
            true => f64::NAN,
            false => extra_bytes / (self.options.changes.max(1) as f64 * nodes),
        };
        report.platform_reads_per_s = reads as f64 / (idle_s + changes_s);
        report.platform_writes_per_s = writes as f64 / (idle_s + changes_s);
        report.platform_refused = end.stats.refused - idle.stats.refused;
        report.cpu_core_share_mean = Some(usage.cpu_mean);
        report.cpu_core_share_max = Some(usage.cpu_max);
        report.rss_mb_mean = Some(usage.rss_mean);
        report.rss_mb_max = Some(usage.rss_max);
        report.race_lost = self.race_lost;
        report.race_broken = self.race_broken;
        report.violations = violations;
        report
    }
}

/// Restarts the killed nodes `herd` after [`RESTART_DELAY`] and returns the milliseconds until each
/// applied `version`; infinite for a node that did not in time.
async fn restart_killed(fleet: &Fleet, herd: &[String], version: u64) -> Result<Vec<f64>> {
    if herd.is_empty() {
        return Ok(Vec::new());
    }
    monoio::time::sleep(RESTART_DELAY).await;
    let started = wall_ms();
    for name in herd {
        fleet.start_node(name)?;
    }
    let applied = observe::wait_until_applied(fleet, herd, version).await;
    let time = |name: &String| match applied.get(name) {
        Some(at) => at.saturating_sub(started) as f64,
        None => f64::INFINITY,
    };
    Ok(herd.iter().map(time).collect())
}

/// CPU and memory usage of nodes between two snapshots: CPU time as a share of one core, over the nodes
/// that ran without a restart, and memory in MiB at the second snapshot, over all nodes.
struct UsageShares {
    cpu_mean: f64,
    cpu_max: f64,
    rss_mean: f64,
    rss_max: f64,
}

impl UsageShares {
    fn between(from: &Snapshot, to: &Snapshot) -> Self {
        let time = seconds(from, to);
        let mut cpu = Vec::new();
        for (name, pid, before) in &from.usages {
            let same = |(other, of, _): &&(String, i32, Usage)| other == name && of == pid;
            if let Some((_, _, after)) = to.usages.iter().find(same) {
                cpu.push(after.cpu.saturating_sub(before.cpu).as_secs_f64() / time);
            }
        }
        let rss: Vec<f64> =
            to.usages.iter().map(|(_, _, usage)| usage.rss as f64 / f64::from(1 << 20)).collect();
        Self { cpu_mean: mean(&cpu), cpu_max: max(&cpu), rss_mean: mean(&rss), rss_max: max(&rss) }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn seconds(from: &Snapshot, to: &Snapshot) -> f64 {
    to.at.duration_since(from.at).as_secs_f64()
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
