//! Carries out scheduled fault events on a fleet.

use super::flood::Flood;
use super::names;
use super::promises::Invariants;
use super::schedule::{Action, Event, Part};
use crate::fleet::{Fleet, Hop};
use crate::proxy::Fault;
use crate::stand_in::platform::Control;
use crate::stand_in::upstream::report::SelfReport;
use crate::witness::now_us;
use crate::Result;
use nix::sys::signal::Signal;
use serde_json::{json, Value};
use std::cell::Cell;
use std::time::Duration;
use sycamore_types::prelude::*;

/// Time within which a node must exit after SIGTERM, as the users require; time while paused does
/// not count.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);
/// Duration of the outage in which an upstream leaves: some seconds beyond the time that a node waits
/// for the platform.
const LEAVE_OUTAGE: Duration = Duration::from_secs(3);
/// Time from the begin of an outage to the leave in it.
const LEAVE_DELAY: Duration = Duration::from_millis(500);
/// Time between the kill of a node and its start.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Time after the start of a node for which its callers may still miss answers.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time between two checks of whether a node has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Carries out events on a fleet and records which callers they may affect.
pub struct Player<'a> {
    /// Fleet on which events are carried out.
    pub fleet: &'a Fleet,
    /// Checker to which disturbances and violations are reported.
    pub invariants: &'a Invariants,
    /// Number of configurations that were sent so far, also without success.
    pub changes: &'a Cell<u64>,
    /// Highest version of a configuration that a node acknowledged; 0 before the first.
    pub newest: &'a Cell<u64>,
}

impl Player<'_> {
    /// Waits until `event` is due, begins it, and undoes it after its duration.
    ///
    /// # Errors
    /// The error of a fleet operation that failed.
    pub async fn play(&self, event: &Event) -> Result<()> {
        monoio::time::sleep(event.at).await;
        eprintln!(
            "{:6.2} s {:?} {} for {:?}",
            event.at.as_secs_f64(),
            event.action,
            event.instance,
            event.lasts
        );
        let addr = self.fleet.front_for_callers(&event.instance)?;
        let disturbs = disturbs_callers(event.action);
        if disturbs {
            self.invariants.begin_disturbance(addr, now_us());
        }
        // Read before the event, because another event may restart the node meanwhile.
        let node_pid = self.fleet.node_pid(&event.instance).ok();
        let flood = self.begin(event).await?;
        monoio::time::sleep(event.lasts).await;
        drop(flood);
        self.end(event, node_pid).await?;
        if disturbs {
            self.invariants.end_disturbance(addr, now_us());
        }
        Ok(())
    }

    /// Causes the fault or change of `event`. Returns the flood that lasts until the event's end.
    async fn begin(&self, event: &Event) -> Result<Option<Flood>> {
        let (fleet, instance) = (self.fleet, &*event.instance);
        match event.action {
            Action::Kill(Part::Node) => fleet.kill_node(instance)?,
            Action::Kill(Part::Upstream) => fleet.kill_upstream(instance)?,
            Action::Skew(ahead) => {
                fleet.set_clock_ahead(instance, ahead)?;
                fleet.kill_node(instance)?;
            }
            Action::Stop(part) => self.signal(instance, part, Signal::SIGTERM),
            Action::Pause(part) => self.signal(instance, part, Signal::SIGSTOP),
            Action::Disturb(hop, fault) => fleet.link(instance, hop)?.set(fault),
            Action::Reset(hop) => fleet.link(instance, hop)?.reset(),
            Action::Mute(hop) => {
                fleet.link(instance, hop)?.mute();
                if hop == Hop::Caller {
                    let addr = fleet.front_for_callers(instance)?;
                    self.invariants.begin_silence(addr, now_us());
                }
            }
            Action::Outage => {
                let outage_ms = Some(event.lasts.as_millis() as u64);
                self.control_platform(Control { outage_ms, ..Control::default() }).await;
            }
            Action::Slow(time) => {
                let slow_ms = Some(time.as_millis() as u64);
                self.control_platform(Control { slow_ms, ..Control::default() }).await;
            }
            Action::LoseAnswers(count) => {
                self.control_platform(Control { lost_answers: Some(count), ..Control::default() })
                    .await;
            }
            Action::Change => self.change_config(&event.instance).await,
            Action::Limit(limit) => {
                let rate_limit = Some(f64::from(limit));
                self.report(instance, SelfReport { rate_limit, leaving: false }).await;
            }
            Action::Leave => {
                self.report(instance, SelfReport { rate_limit: None, leaving: true }).await;
            }
            Action::Depart => self.depart(instance, &[instance.to_owned()]).await?,
            Action::DepartInOutage => {
                let outage_ms = Some(LEAVE_OUTAGE.as_millis() as u64);
                self.control_platform(Control { outage_ms, ..Control::default() }).await;
                monoio::time::sleep(LEAVE_DELAY).await;
                self.depart(instance, &fleet.running()).await?;
            }
            Action::Flood(flooding) => {
                let path = format!("/{}/flood", fleet.service_of(instance)?);
                return Ok(Some(Flood::start(fleet.addrs(instance)?.caller, &path, flooding)));
            }
            Action::OddRows => {
                if let Err(report) = fleet.write_rows(&odd_rows()).await {
                    eprintln!("         odd rows: {}", report.current_context());
                }
            }
        }
        Ok(None)
    }

    /// Has the upstream of `instance` leave, and kills the nodes of `killed` and starts them again once
    /// the leave is acknowledged.
    async fn depart(&self, instance: &str, killed: &[String]) -> Result<()> {
        if let Err(report) = self.fleet.depart(instance).await {
            eprintln!("         departure of {instance}: {}", report.current_context());
            return Ok(());
        }
        let fronts = killed.iter().map(|name| self.fleet.front_for_callers(name));
        let fronts = fronts.collect::<Result<Vec<_>>>()?;
        for (name, addr) in killed.iter().zip(&fronts) {
            self.invariants.begin_disturbance(*addr, now_us());
            self.fleet.kill_node(name)?;
        }
        monoio::time::sleep(RESTART_PAUSE).await;
        for name in killed {
            self.fleet.start_node(name)?;
        }
        monoio::time::sleep(RESTART_TIME).await;
        fronts.iter().for_each(|addr| self.invariants.end_disturbance(*addr, now_us()));
        Ok(())
    }

    /// Undoes `event`; `node_pid` is the id of the node's process when the event began.
    async fn end(&self, event: &Event, node_pid: Option<i32>) -> Result<()> {
        let (fleet, instance) = (self.fleet, &*event.instance);
        match event.action {
            Action::Kill(Part::Node) | Action::Skew(_) => fleet.start_node(instance),
            Action::Kill(Part::Upstream) => fleet.start_upstream(instance),
            Action::Stop(Part::Node) => {
                if let Some(pid) = node_pid {
                    self.check_exit(instance, pid).await;
                }
                fleet.start_node(instance)
            }
            Action::Stop(Part::Upstream) => fleet.start_upstream(instance),
            Action::Pause(part) => {
                self.signal(instance, part, Signal::SIGCONT);
                Ok(())
            }
            Action::Disturb(hop, _) => {
                fleet.link(instance, hop)?.set(Fault::None);
                Ok(())
            }
            Action::Limit(_) => {
                self.report(instance, SelfReport::default()).await;
                Ok(())
            }
            Action::Leave | Action::Depart | Action::DepartInOutage => {
                fleet.kill_upstream(instance)?;
                fleet.start_upstream(instance)
            }
            Action::Slow(_) => {
                self.control_platform(Control { slow_ms: Some(0), ..Control::default() }).await;
                Ok(())
            }
            Action::Reset(_)
            | Action::Mute(_)
            | Action::Outage
            | Action::LoseAnswers(_)
            | Action::OddRows
            | Action::Flood(_)
            | Action::Change => Ok(()),
        }
    }

    /// Sends `signal` to a process of `instance`. A failure is only printed, because events overlap and
    /// the process may be dead already.
    fn signal(&self, instance: &str, part: Part, signal: Signal) {
        let sent = match part {
            Part::Node => self.fleet.signal_node(instance, signal),
            Part::Upstream => self.fleet.signal_upstream(instance, signal),
        };
        if let Err(report) = sent {
            eprintln!("         {signal} {instance}: {}", report.current_context());
        }
    }

    /// Waits for the exit of the node's process `pid`, which got SIGTERM, and records a violation if
    /// it takes longer than [`SHUTDOWN_LIMIT`]. Time during which another event keeps the process
    /// paused does not count.
    async fn check_exit(&self, instance: &str, pid: i32) {
        let mut ran = Duration::ZERO;
        let is_running = || {
            let same = self.fleet.node_pid(instance).is_ok_and(|now| now == pid);
            same && self.fleet.node_ended(instance).is_none()
        };
        while is_running() {
            if ran > SHUTDOWN_LIMIT {
                let seen = format!("{instance}, process {pid}");
                return self.invariants.add_violation("node outlives its grace", seen);
            }
            monoio::time::sleep(POLL_INTERVAL).await;
            if !is_paused(pid) {
                ran += POLL_INTERVAL;
            }
        }
    }

    /// Sets what the upstream of `instance` reports in its answers. A failure is only printed: another
    /// event may have ended or paused the upstream.
    async fn report(&self, instance: &str, report: SelfReport) {
        if let Err(err) = self.fleet.report(instance, Some(report)).await {
            eprintln!("         report of {instance}: {}", err.current_context());
        }
    }

    async fn control_platform(&self, control: Control) {
        if let Err(report) = self.fleet.control_platform(&control).await {
            eprintln!("         control of the platform: {}", report.current_context());
        }
    }

    /// Applies a configuration with names of any text, after one that the node of `instance` has to refuse.
    /// A failure is only printed: during faults no node may be able to accept it.
    async fn change_config(&self, instance: &str) {
        let number = self.changes.get() + 1;
        self.changes.set(number);
        let deployment = &self.fleet.options().deployment;
        self.submit_refused(instance, names::refused_resources(deployment, number)).await;
        let resources = names::resources(deployment, number);
        match self.fleet.apply_resources("soak", resources).await {
            Ok(version) => self.newest.set(self.newest.get().max(version)),
            Err(report) => {
                eprintln!("         configuration {number}: {}", report.current_context());
            }
        }
    }

    /// Submits a configuration that no node may accept.
    async fn submit_refused(&self, instance: &str, resources: Vec<Value>) {
        let op = OpId(rand::random());
        let body = json!({ "operator": "soak", "op": op, "expect": null, "resources": resources });
        if let Ok(answer) = self.fleet.command(instance, "config-apply", &body).await {
            let seen = format!("{instance} accepted version {}", answer["version"]);
            self.invariants.add_violation("configuration with a name that no field carries", seen);
        }
    }
}

/// Returns rows under keys of members and of moves that hold no valid one.
fn odd_rows() -> Vec<(String, Value)> {
    let nested = (0..100).fold(json!(1), |inner, _| json!([inner]));
    let member = json!({
        "instance": "odd", "incarnation": u64::MAX, "state": "serving", "service": "counter",
        "version": "1.0.0", "data_centre": "a", "region": "r", "slots": 1,
        "endpoints": { "peer": "127.0.0.1:99999", "relay": "127.0.0.1:0" },
    });
    let step = json!({ "share": 65_535, "at": u64::MAX, "hold_ms": u64::MAX, "margin": 0 });
    let move_of = |steps: Vec<Value>| {
        json!({
            "plan": "odd", "spec": { "mv": "m", "service": "counter", "from": "1", "to": "2",
                "start": 0, "deadline": u64::MAX, "cap": 1, "watch_ms": null,
                "on_timeout": "take-back" },
            "schedule": { "steps": steps, "deadline": u64::MAX }, "outcome": null,
            "author": { "operator": "odd" }, "op": "0".repeat(32), "at": 0,
        })
    };
    vec![
        ("member/odd".to_owned(), member),
        ("member/odd-deep".to_owned(), nested.clone()),
        ("member/odd-text".to_owned(), json!("odd")),
        ("move/odd/m".to_owned(), move_of(Vec::new())),
        ("move/odd/n".to_owned(), move_of(vec![step; 200])),
        ("move/odd/deep".to_owned(), nested),
    ]
}

/// Returns whether the process `pid` is paused by a signal, according to `/proc/{pid}/stat`.
fn is_paused(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The state follows the command name, which ends with the last parenthesis of the line.
    stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
}

/// Returns whether an event may delay or break calls sent to the instance's node, whatever the node
/// does about it.
fn disturbs_callers(action: Action) -> bool {
    match action {
        Action::Kill(Part::Node) | Action::Stop(Part::Node) | Action::Pause(Part::Node) => true,
        Action::Skew(_) | Action::Depart | Action::DepartInOutage => true,
        Action::Disturb(hop, _) | Action::Reset(hop) | Action::Mute(hop) => hop == Hop::Caller,
        Action::Kill(Part::Upstream)
        | Action::Stop(Part::Upstream)
        | Action::Pause(Part::Upstream) => false,
        Action::Outage | Action::Slow(_) | Action::LoseAnswers(_) | Action::Change => false,
        Action::Limit(_) | Action::Leave | Action::OddRows | Action::Flood(_) => false,
    }
}
