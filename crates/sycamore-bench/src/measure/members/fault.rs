//! Faults of nodes, and how long the others take to notice.

use super::{agree, Options};
use crate::fleet::Fleet;
use crate::{BenchError, Result};
use error_stack::Report;
use nix::sys::signal::Signal;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Time that a frozen node stays frozen: longer than it takes to be found dead.
const FREEZE: Duration = Duration::from_secs(15);
/// Share of the nodes that a herd is, in percent.
const HERD_PERCENT: usize = 30;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// One node is killed, and started again when all know it dead.
    Kill,
    /// 30% of the nodes are killed at once, and started again at once.
    Herd,
    /// One node is frozen, and thawed.
    Freeze,
}

/// How long the nodes took to agree again.
#[derive(Debug, Serialize)]
pub(super) struct Noticed {
    fault: Fault,
    /// Until the survivors knew the dead: median and longest.
    gone_p50_ms: u128,
    gone_max_ms: u128,
    /// From the restart, or thaw, until all nodes knew all: median and longest.
    back_p50_ms: u128,
    back_max_ms: u128,
}

impl Fault {
    /// Reads a comma list.
    ///
    /// # Errors
    /// Names the first that is unknown.
    pub fn parse_list(list: &str) -> std::result::Result<Vec<Fault>, String> {
        list.split(',')
            .map(|name| match name {
                "kill" => Ok(Fault::Kill),
                "herd" => Ok(Fault::Herd),
                "freeze" => Ok(Fault::Freeze),
                _ => Err(format!("unknown fault {name}; kill, herd and freeze can be had here")),
            })
            .collect()
    }

    /// Causes the fault, waits until it is noticed, and mends it.
    pub(super) async fn run(self, fleet: &Fleet, options: &Options) -> Result<Noticed> {
        let victims = self.victims(fleet)?;
        let left = options.nodes - victims.len();
        let start = Instant::now();
        for victim in &victims {
            match self {
                Fault::Kill | Fault::Herd => fleet.kill_node(victim)?,
                Fault::Freeze => fleet.signal_node(victim, Signal::SIGSTOP)?,
            }
        }
        let gone = agree(fleet, left, &victims).await?;
        let (gone_p50_ms, gone_max_ms) = spread(start, gone);
        if self == Fault::Freeze {
            monoio::time::sleep(FREEZE.saturating_sub(start.elapsed())).await;
        }
        let start = Instant::now();
        for victim in &victims {
            match self {
                Fault::Kill | Fault::Herd => fleet.start_node(victim)?,
                Fault::Freeze => fleet.signal_node(victim, Signal::SIGCONT)?,
            }
        }
        let back = agree(fleet, options.nodes, &[]).await?;
        let (back_p50_ms, back_max_ms) = spread(start, back);
        let noticed = Noticed { fault: self, gone_p50_ms, gone_max_ms, back_p50_ms, back_max_ms };
        eprintln!("{noticed:?}");
        Ok(noticed)
    }

    fn victims(self, fleet: &Fleet) -> Result<Vec<String>> {
        let running = fleet.running();
        let count = match self {
            Fault::Kill | Fault::Freeze => 1,
            Fault::Herd => running.len() * HERD_PERCENT / 100,
        };
        // Every third node, so that the herd is spread over services and data centres.
        let victims: Vec<String> = running.into_iter().step_by(3).take(count).collect();
        if victims.len() < count {
            return Err(Report::new(BenchError::Option("too few nodes".into())));
        }
        Ok(victims)
    }
}

fn spread(start: Instant, mut times: Vec<Instant>) -> (u128, u128) {
    times.sort();
    let since = |at: Option<&Instant>| at.map_or(0, |at| (*at - start).as_millis());
    (since(times.get(times.len() / 2)), since(times.last()))
}
