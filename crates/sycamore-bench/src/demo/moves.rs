//! The sheet's way to its report.

use crate::fleet::{ConfigWatch, Fleet};
use crate::stand_in::upstream::{self, Badness};
use crate::witness::Ledger;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use jiff::{Timestamp, ToSpan, Unit};
use serde_json::{json, Value};
use std::fmt;
use std::time::{Duration, Instant};

/// The plan's name.
const PLAN: &str = "morning";
/// The new version of both moves.
const NEW_VERSION: &str = "2.0.0";
/// Seconds from the import to both moves' deadline.
const WINDOW_S: i64 = 32;
/// Watch period of both moves.
const WATCH: &str = "6s";
/// Time between two looks at the report.
const LOOK: Duration = Duration::from_millis(500);
/// Time after the deadline for which the report is still asked.
const AFTER_DEADLINE: Duration = Duration::from_secs(6);
/// Upstreams of the bad version.
const BAD_UPSTREAMS: usize = 2;

/// How a move ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The new version has taken over.
    Done,
    /// The new version has lost its traffic.
    TakenBack,
    /// Neither is known.
    Open,
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ending::Done => "done",
            Ending::TakenBack => "taken back",
            Ending::Open => "not known yet",
        })
    }
}

/// One move and what was reported of it.
#[derive(Debug, Clone)]
pub struct Move {
    /// Its name.
    pub name: &'static str,
    /// Its service.
    pub service: &'static str,
    /// How its new version is bad.
    pub badness: Badness,
    /// How it ended.
    pub ending: Ending,
    /// Its last report.
    pub report: Value,
}

/// What was done and came of it.
#[derive(Debug, Clone)]
pub struct Morning {
    /// The good move.
    pub good: Move,
    /// The bad move.
    pub bad: Move,
}

impl Move {
    /// Whether its report says that it was decided by its deadline.
    pub fn in_time(&self) -> bool {
        self.report["in_time"] == true
    }
}

impl Morning {
    /// Runs on the bad version that began more than `allowed_us` after the verdict.
    pub fn runs_after_verdict(&self, ledger: &Ledger, allowed_us: u64) -> usize {
        let Some(decided_ms) = self.bad.report["decided"].as_u64() else { return 0 };
        let latest = decided_ms * 1_000 + allowed_us;
        let runs = ledger.runs_of_version(self.bad.service, NEW_VERSION);
        runs.filter(|run| run.at_us > latest).count()
    }

    /// Runs of `mv`'s service in all and on its new version, since it began.
    pub fn runs(mv: &Move, ledger: &Ledger) -> (usize, usize) {
        let start = mv.report["start"].as_u64().unwrap_or(0) * 1_000;
        let all = ledger.sightings().iter().filter(|s| {
            s.service == mv.service
                && s.at_us >= start
                && s.kind == crate::witness::SightingKind::Start
        });
        let new = ledger.runs_of_version(mv.service, NEW_VERSION).filter(|r| r.at_us >= start);
        (all.count(), new.count())
    }
}

/// Applies a configuration, starts the new versions, imports the sheet and follows its report.
///
/// # Errors
/// Where a command is refused or the fleet does not get ready.
pub async fn run(fleet: &Fleet, watch: &ConfigWatch) -> Result<Morning> {
    monoio::time::sleep(Duration::from_secs(1)).await;
    let (config, converged) = change_config(fleet, watch).await?;
    println!("configuration {config} in force on every node after {converged:.1?} at most");
    let good = mv("counter-2", "counter", Badness::None);
    let bad = mv("intake-2", "intake", Badness::FailsAtOnce);
    start_new(fleet, &good, fleet.of_service(good.service).len())?;
    start_new(fleet, &bad, BAD_UPSTREAMS)?;
    fleet.wait_ready().await?;
    fleet.wait_members().await?;
    println!("new versions run: counter {NEW_VERSION} (good), intake {NEW_VERSION} (bad)");
    let imported = Instant::now();
    import(fleet).await?;
    let mut morning = Morning { good, bad };
    follow(fleet, &mut morning, imported).await;
    Ok(morning)
}

fn mv(name: &'static str, service: &'static str, badness: Badness) -> Move {
    Move { name, service, badness, ending: Ending::Open, report: Value::Null }
}

/// Shortens every route's timeout and waits until all nodes have it.
async fn change_config(fleet: &Fleet, watch: &ConfigWatch) -> Result<(u64, Duration)> {
    let mut resources = fleet.options().deployment.resources();
    for resource in resources.iter_mut().filter(|resource| resource["kind"] == "route") {
        resource["timeout_ms"] = json!(4_000);
    }
    let start = Instant::now();
    let version = fleet.apply_resources("demo", resources).await?;
    let at_new = || async {
        watch.check_once(fleet).await;
        watch.all_at(fleet, version)
    };
    fleet.wait_for(&format!("configuration {version} on every node"), at_new).await?;
    Ok((version, start.elapsed()))
}

fn start_new(fleet: &Fleet, mv: &Move, count: usize) -> Result<()> {
    for i in 0..count {
        let mut spec = fleet.spec(mv.service, i, NEW_VERSION);
        spec.upstream = upstream::Options { bad: mv.badness, ..spec.upstream };
        fleet.add(spec)?;
    }
    Ok(())
}

async fn import(fleet: &Fleet) -> Result<()> {
    let instance = first(fleet)?;
    let body = json!({
        "operator": "demo",
        "op": format!("{:032x}", rand::random::<u128>()),
        "plan": PLAN,
        "sheet": sheet()?,
    });
    let answer = fleet.command(&instance, "sheet-import", &body).await?;
    println!("sheet imported: {answer}");
    Ok(())
}

fn sheet() -> Result<String> {
    let context = || BenchError::Option("time of the sheet".into());
    let now = Timestamp::now().round(Unit::Second).change_context_lazy(context)?;
    let deadline = now.checked_add(WINDOW_S.seconds()).change_context_lazy(context)?;
    let row = |name: &str, service: &str| {
        format!("{name},{service},1.0.0,{NEW_VERSION},{now},{deadline},{WATCH}\r\n")
    };
    let header = "move,service,from,to,start,deadline,watch\r\n";
    Ok(format!("{header}{}{}", row("counter-2", "counter"), row("intake-2", "intake")))
}

async fn follow(fleet: &Fleet, morning: &mut Morning, imported: Instant) {
    let window = Duration::from_secs(WINDOW_S.unsigned_abs()) + AFTER_DEADLINE;
    let mut shown = [String::new(), String::new()];
    while imported.elapsed() < window {
        monoio::time::sleep(LOOK).await;
        for name in fleet.running() {
            if let Ok(report) = fleet.query(&name, &format!("report?plan={PLAN}")).await {
                take_in(&mut morning.good, &report);
                take_in(&mut morning.bad, &report);
                break;
            }
        }
        for (mv, shown) in [&morning.good, &morning.bad].into_iter().zip(&mut shown) {
            super::print::progress(mv, imported.elapsed(), shown);
        }
        if morning.good.ending != Ending::Open && morning.bad.ending != Ending::Open {
            return;
        }
    }
}

/// Finds the move's line in `report`, which is a list or holds one.
fn take_in(mv: &mut Move, report: &Value) {
    let list = report.as_array().or_else(|| report["moves"].as_array());
    let Some(found) = list.and_then(|list| list.iter().find(|line| line["move"] == mv.name)) else {
        return;
    };
    mv.report = found.clone();
    mv.ending = match found["state"].as_str() {
        Some("done") => Ending::Done,
        Some("taken-back") => Ending::TakenBack,
        _ => Ending::Open,
    };
}

fn first(fleet: &Fleet) -> Result<String> {
    let none = || Report::new(BenchError::Unmet("no node runs".into()));
    fleet.running().into_iter().next().ok_or_else(none)
}
