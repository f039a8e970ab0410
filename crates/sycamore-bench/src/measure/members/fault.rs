//! Node faults of `measure members`, and the time until all other nodes have detected them.

use super::{wait_until_all_know, Options};
use crate::fleet::Fleet;
use crate::{BenchError, Result};
use error_stack::Report;
use nix::sys::signal::Signal;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Shortest time for which the `freeze` fault pauses a node: longer than the other nodes take to
/// consider it dead.
const MIN_PAUSE_TIME: Duration = Duration::from_secs(15);
/// Share of the nodes that the `herd` fault kills, in percent.
const HERD_PERCENT: usize = 30;

/// Fault of one or more nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// One node is killed, and restarted when all others consider it dead.
    Kill,
    /// 30% of the nodes are killed at the same time, and restarted together when all others
    /// consider them dead.
    Herd,
    /// One node is paused with SIGSTOP, and resumed at least 15 seconds later.
    Freeze,
}

/// Detection and recovery times of one fault, in milliseconds over the nodes.
#[derive(Debug, Serialize)]
pub(super) struct FaultTimes {
    fault: Fault,
    /// Median time from the fault until a surviving node considered the failed ones dead.
    gone_p50_ms: u128,
    /// Longest time from the fault until a surviving node considered the failed ones dead.
    gone_max_ms: u128,
    /// Median time from the restart or resume until a node knew all nodes.
    back_p50_ms: u128,
    /// Longest time from the restart or resume until a node knew all nodes.
    back_max_ms: u128,
}

impl Fault {
    /// Parses a comma-separated list of faults.
    ///
    /// # Errors
    /// The first unknown name, with the names that are expected.
    pub fn parse_list(list: &str) -> std::result::Result<Vec<Fault>, String> {
        list.split(',')
            .map(|name| match name {
                "kill" => Ok(Fault::Kill),
                "herd" => Ok(Fault::Herd),
                "freeze" => Ok(Fault::Freeze),
                _ => Err(format!("unknown fault {name:?}, expected kill, herd or freeze")),
            })
            .collect()
    }

    /// Causes the fault, waits until all other nodes have detected it, and ends it.
    pub(super) async fn run(self, fleet: &Fleet, options: &Options) -> Result<FaultTimes> {
        let victims = self.victims(fleet)?;
        let left = options.nodes - victims.len();
        let start = Instant::now();
        for victim in &victims {
            match self {
                Fault::Kill | Fault::Herd => fleet.kill_node(victim)?,
                Fault::Freeze => fleet.signal_node(victim, Signal::SIGSTOP)?,
            }
        }
        let gone = wait_until_all_know(fleet, left, &victims).await?;
        let (gone_p50_ms, gone_max_ms) = median_and_max_ms(start, gone);
        if self == Fault::Freeze {
            monoio::time::sleep(MIN_PAUSE_TIME.saturating_sub(start.elapsed())).await;
        }
        let start = Instant::now();
        for victim in &victims {
            match self {
                Fault::Kill | Fault::Herd => fleet.start_node(victim)?,
                Fault::Freeze => fleet.signal_node(victim, Signal::SIGCONT)?,
            }
        }
        let back = wait_until_all_know(fleet, options.nodes, &[]).await?;
        let (back_p50_ms, back_max_ms) = median_and_max_ms(start, back);
        let outcome =
            FaultTimes { fault: self, gone_p50_ms, gone_max_ms, back_p50_ms, back_max_ms };
        eprintln!("{outcome:?}");
        Ok(outcome)
    }

    fn victims(self, fleet: &Fleet) -> Result<Vec<String>> {
        let running = fleet.running();
        let count = match self {
            Fault::Kill | Fault::Freeze => 1,
            Fault::Herd => running.len() * HERD_PERCENT / 100,
        };
        // Every third node, so that the killed nodes are spread over services and data centres.
        let victims: Vec<String> = running.into_iter().step_by(3).take(count).collect();
        if victims.len() < count {
            return Err(Report::new(BenchError::Option(format!(
                "--nodes: the fault needs {count} nodes to disturb, found {}",
                victims.len()
            ))));
        }
        Ok(victims)
    }
}

/// Returns the median and longest of `times` since `start`, in milliseconds.
fn median_and_max_ms(start: Instant, mut times: Vec<Instant>) -> (u128, u128) {
    times.sort();
    let since = |at: Option<&Instant>| at.map_or(0, |at| (*at - start).as_millis());
    (since(times.get(times.len() / 2)), since(times.last()))
}
