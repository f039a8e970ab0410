//! Playing events on a fleet.

use super::promises::Promises;
use super::schedule::{Deed, Event, Part};
use crate::fleet::{Fleet, Hop};
use crate::proxy::Fault;
use crate::stand_in::platform::Control;
use crate::witness::now_us;
use crate::Result;
use nix::sys::signal::Signal;
use serde_json::json;
use std::cell::Cell;
use std::time::Duration;

/// Time that a node has to end by itself, which the users allow.
const GRACE: Duration = Duration::from_secs(6);
/// Time between two looks at whether it has.
const LOOK: Duration = Duration::from_millis(100);

/// Plays events on `fleet`.
pub struct Player<'a> {
    /// The fleet.
    pub fleet: &'a Fleet,
    /// What was promised.
    pub promises: &'a Promises,
    /// Configurations written so far.
    pub changes: &'a Cell<u64>,
    /// The newest configuration that was acknowledged.
    pub newest: &'a Cell<u64>,
}

impl Player<'_> {
    /// Plays `event` to its end.
    ///
    /// # Errors
    /// Where the fleet itself can't be used.
    pub async fn play(&self, event: &Event) -> Result<()> {
        monoio::time::sleep(event.at).await;
        eprintln!(
            "{:6.2} s {:?} {} for {:?}",
            event.at.as_secs_f64(),
            event.deed,
            event.instance,
            event.lasts
        );
        let addr = self.fleet.front_for_callers(&event.instance)?;
        let disturbs = disturbs_callers(event.deed);
        if disturbs {
            self.promises.disturbed(addr, now_us());
        }
        // Another event may start the process again meanwhile.
        let told = self.fleet.node_pid(&event.instance).ok();
        self.begin(event).await?;
        monoio::time::sleep(event.lasts).await;
        self.end(event, told).await?;
        if disturbs {
            self.promises.calmed(addr, now_us());
        }
        Ok(())
    }

    async fn begin(&self, event: &Event) -> Result<()> {
        let (fleet, instance) = (self.fleet, &*event.instance);
        match event.deed {
            Deed::Kill(Part::Node) => fleet.kill_node(instance)?,
            Deed::Kill(Part::Upstream) => fleet.kill_upstream(instance)?,
            Deed::Skew(ahead) => {
                fleet.set_clock_ahead(instance, ahead)?;
                fleet.kill_node(instance)?;
            }
            Deed::Stop(part) => self.signal(instance, part, Signal::SIGTERM),
            Deed::Pause(part) => self.signal(instance, part, Signal::SIGSTOP),
            Deed::Disturb(hop, fault) => fleet.link(instance, hop)?.set(fault),
            Deed::Reset(hop) => fleet.link(instance, hop)?.reset(),
            Deed::Mute(hop) => {
                fleet.link(instance, hop)?.mute();
                if hop == Hop::Caller {
                    let addr = fleet.front_for_callers(instance)?;
                    self.promises.silenced(addr, now_us());
                }
            }
            Deed::Outage => {
                let outage_ms = Some(event.lasts.as_millis() as u64);
                self.control(Control { outage_ms, ..Control::default() }).await;
            }
            Deed::Slow(time) => {
                let slow_ms = Some(time.as_millis() as u64);
                self.control(Control { slow_ms, ..Control::default() }).await;
            }
            Deed::LoseAnswers(count) => {
                self.control(Control { lost_answers: Some(count), ..Control::default() }).await;
            }
            Deed::Change => self.change().await,
        }
        Ok(())
    }

    /// `told` is the node's process when the event began.
    async fn end(&self, event: &Event, told: Option<i32>) -> Result<()> {
        let (fleet, instance) = (self.fleet, &*event.instance);
        match event.deed {
            Deed::Kill(Part::Node) | Deed::Skew(_) => fleet.start_node(instance),
            Deed::Kill(Part::Upstream) => fleet.start_upstream(instance),
            Deed::Stop(Part::Node) => {
                if let Some(pid) = told {
                    self.wait_end(instance, pid).await;
                }
                fleet.start_node(instance)
            }
            Deed::Stop(Part::Upstream) => fleet.start_upstream(instance),
            Deed::Pause(part) => {
                self.signal(instance, part, Signal::SIGCONT);
                Ok(())
            }
            Deed::Disturb(hop, _) => {
                fleet.link(instance, hop)?.set(Fault::None);
                Ok(())
            }
            Deed::Slow(_) => {
                self.control(Control { slow_ms: Some(0), ..Control::default() }).await;
                Ok(())
            }
            Deed::Reset(_) | Deed::Mute(_) | Deed::Outage | Deed::LoseAnswers(_) | Deed::Change => {
                Ok(())
            }
        }
    }

    /// Events overlap: the process may be dead already.
    fn signal(&self, instance: &str, part: Part, signal: Signal) {
        let told = match part {
            Part::Node => self.fleet.signal_node(instance, signal),
            Part::Upstream => self.fleet.signal_upstream(instance, signal),
        };
        if let Err(report) = told {
            eprintln!("         {signal} {instance}: {}", report.current_context());
        }
    }

    /// Waits for the node's process `pid`, which was told to stop. Time for which another event has
    /// it paused does not count.
    async fn wait_end(&self, instance: &str, pid: i32) {
        let mut ran = Duration::ZERO;
        let is_there = || {
            let same = self.fleet.node_pid(instance).is_ok_and(|now| now == pid);
            same && self.fleet.node_ended(instance).is_none()
        };
        while is_there() {
            if ran > GRACE {
                let seen = format!("{instance}, process {pid}");
                return self.promises.broken("node outlives its grace", seen);
            }
            monoio::time::sleep(LOOK).await;
            if !is_paused(pid) {
                ran += LOOK;
            }
        }
    }

    async fn control(&self, control: Control) {
        if let Err(report) = self.fleet.control_platform(&control).await {
            eprintln!("         platform: {}", report.current_context());
        }
    }

    /// Writes a configuration with one route more; an operator gives up where no node takes it.
    async fn change(&self) {
        let number = self.changes.get() + 1;
        self.changes.set(number);
        let mut resources = self.fleet.options().deployment.resources();
        let service = self.fleet.options().deployment.services[0].name.clone();
        resources.push(json!({
            "kind": "route", "name": format!("more-{number}"), "service": service,
            "prefix": format!("/more-{number}/"), "timeout_ms": 2_000,
        }));
        match self.fleet.apply_resources("soak", resources).await {
            Ok(version) => self.newest.set(self.newest.get().max(version)),
            Err(report) => eprintln!("         change: {}", report.current_context()),
        }
    }
}

/// Whether the process was stopped by a signal, as the kernel tells.
fn is_paused(pid: i32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The state follows the name, which ends with the last parenthesis.
    stat.rsplit_once(") ").is_some_and(|(_, rest)| rest.starts_with('T'))
}

/// Whether callers of the instance may feel an event there, however the node is built.
fn disturbs_callers(deed: Deed) -> bool {
    match deed {
        Deed::Kill(Part::Node) | Deed::Stop(Part::Node) | Deed::Pause(Part::Node) => true,
        Deed::Skew(_) => true,
        Deed::Disturb(hop, _) | Deed::Reset(hop) | Deed::Mute(hop) => hop == Hop::Caller,
        Deed::Kill(Part::Upstream) | Deed::Stop(Part::Upstream) | Deed::Pause(Part::Upstream) => {
            false
        }
        Deed::Outage | Deed::Slow(_) | Deed::LoseAnswers(_) | Deed::Change => false,
    }
}
