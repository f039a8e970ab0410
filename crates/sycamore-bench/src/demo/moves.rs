//! The moves of the demonstration: applies a configuration, starts the new versions, imports a
//! sheet and polls its report.

use crate::fleet::{ConfigWatch, Fleet};
use crate::stand_in::upstream::{self, Badness};
use crate::witness::Ledger;
use crate::{BenchError, Result};
use error_stack::{Report, ResultExt};
use jiff::{Timestamp, ToSpan, Unit};
use serde_json::{json, Value};
use std::fmt;
use std::time::{Duration, Instant};

/// Name of the plan that the sheet is imported as.
const PLAN: &str = "morning";
/// Version that both moves lead to.
const NEW_VERSION: &str = "2.0.0";
/// Time from the import until both moves' deadline, in seconds.
const WINDOW_S: i64 = 32;
/// Watch period of both moves, as written in the sheet.
const WATCH_PERIOD: &str = "6s";
/// Time between two queries of the report.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the deadline for which the report is still polled.
const AFTER_DEADLINE: Duration = Duration::from_secs(6);
/// Number of upstreams that run the bad version.
const BAD_UPSTREAMS: usize = 2;

/// State of a move as last reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The new version gets all traffic.
    Done,
    /// The new version gets no traffic.
    TakenBack,
    /// No outcome is reported yet.
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

/// Move of the demonstration with its last report.
#[derive(Debug, Clone)]
pub struct Move {
    /// Name of the move in the sheet.
    pub name: &'static str,
    /// Service whose version the move changes.
    pub service: &'static str,
    /// Defect of the new version's upstreams.
    pub badness: Badness,
    /// State of the move as last reported.
    pub ending: Ending,
    /// Entry of the move in the last report; null before the first report.
    pub report: Value,
}

/// The two moves of the demonstration.
#[derive(Debug, Clone)]
pub struct DemoMoves {
    /// Move to a good version, which must be done.
    pub good: Move,
    /// Move to a bad version, which must be taken back.
    pub bad: Move,
}

impl Move {
    /// Returns whether the report says that the move was decided by its deadline.
    pub fn in_time(&self) -> bool {
        self.report["in_time"] == true
    }
}

impl DemoMoves {
    /// Counts the requests that began on the bad version more than `allowed_us` microseconds after
    /// the verdict; 0 without a verdict.
    pub fn runs_after_verdict(&self, ledger: &Ledger, allowed_us: u64) -> usize {
        let Some(decided_ms) = self.bad.report["decided"].as_u64() else { return 0 };
        let latest = decided_ms * 1_000 + allowed_us;
        let runs = ledger.runs_of_version(self.bad.service, NEW_VERSION);
        runs.filter(|run| run.at_us > latest).count()
    }

    /// Counts the requests that began on `mv`'s service since the move's start: on all versions,
    /// and on the new version.
    pub fn runs(mv: &Move, ledger: &Ledger) -> (usize, usize) {
        let start = mv.report["start"].as_u64().unwrap_or(0) * 1_000;
        let all = ledger.events().iter().filter(|s| {
            s.service == mv.service
                && s.at_us >= start
                && s.kind == crate::witness::UpstreamEventKind::Start
        });
        let new = ledger.runs_of_version(mv.service, NEW_VERSION).filter(|r| r.at_us >= start);
        (all.count(), new.count())
    }
}

/// Applies a configuration, starts the new versions, imports the sheet and polls its report until
/// both moves have an outcome or the wait is over.
///
/// # Errors
/// A command was refused, or the fleet did not become ready.
pub async fn run(fleet: &Fleet, watch: &ConfigWatch) -> Result<DemoMoves> {
    monoio::time::sleep(Duration::from_secs(1)).await;
    let (config, converged) = change_config(fleet, watch).await?;
    println!("configuration {config} applied on every node within {converged:.1?}");
    let good = new_move("counter-2", "counter", Badness::None);
    let bad = new_move("intake-2", "intake", Badness::FailsAtOnce);
    start_new_version(fleet, &good, fleet.of_service(good.service).len())?;
    start_new_version(fleet, &bad, BAD_UPSTREAMS)?;
    fleet.wait_ready().await?;
    fleet.wait_members().await?;
    println!("new versions run: counter {NEW_VERSION} (good), intake {NEW_VERSION} (bad)");
    let imported = Instant::now();
    import_sheet(fleet).await?;
    let mut moves = DemoMoves { good, bad };
    poll_report(fleet, &mut moves, imported).await;
    Ok(moves)
}

fn new_move(name: &'static str, service: &'static str, badness: Badness) -> Move {
    Move { name, service, badness, ending: Ending::Open, report: Value::Null }
}

/// Shortens every route's timeout and waits until all nodes use the new configuration; returns its
/// version and the time taken.
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

/// Adds `count` instances of the new version of `mv`'s service, with the move's defect.
fn start_new_version(fleet: &Fleet, mv: &Move, count: usize) -> Result<()> {
    for i in 0..count {
        let mut spec = fleet.spec(mv.service, i, NEW_VERSION);
        spec.upstream = upstream::Options { bad: mv.badness, ..spec.upstream };
        fleet.add(spec)?;
    }
    Ok(())
}

async fn import_sheet(fleet: &Fleet) -> Result<()> {
    let instance = first_running(fleet)?;
    let body = json!({
        "operator": "demo",
        "op": format!("{:032x}", rand::random::<u128>()),
        "plan": PLAN,
        "sheet": sheet_csv()?,
    });
    let answer = fleet.command(&instance, "sheet-import", &body).await?;
    println!("sheet imported: {answer}");
    Ok(())
}

/// Writes the sheet with both moves, from now to [`WINDOW_S`] from now.
fn sheet_csv() -> Result<String> {
    let context = || BenchError::Option("start and deadline of the sheet's moves".into());
    let now = Timestamp::now().round(Unit::Second).change_context_lazy(context)?;
    let deadline = now.checked_add(WINDOW_S.seconds()).change_context_lazy(context)?;
    let row = |name: &str, service: &str| {
        format!("{name},{service},1.0.0,{NEW_VERSION},{now},{deadline},{WATCH_PERIOD}\r\n")
    };
    let header = "move,service,from,to,start,deadline,watch\r\n";
    Ok(format!("{header}{}{}", row("counter-2", "counter"), row("intake-2", "intake")))
}

/// Polls the report until both moves have an outcome or [`AFTER_DEADLINE`] has passed.
async fn poll_report(fleet: &Fleet, moves: &mut DemoMoves, imported: Instant) {
    let window = Duration::from_secs(WINDOW_S.unsigned_abs()) + AFTER_DEADLINE;
    let mut shown = [String::new(), String::new()];
    while imported.elapsed() < window {
        monoio::time::sleep(POLL_INTERVAL).await;
        for name in fleet.running() {
            if let Ok(report) = fleet.query(&name, &format!("report?plan={PLAN}")).await {
                update_from_report(&mut moves.good, &report);
                update_from_report(&mut moves.bad, &report);
                break;
            }
        }
        for (mv, shown) in [&moves.good, &moves.bad].into_iter().zip(&mut shown) {
            super::print::progress(mv, imported.elapsed(), shown);
        }
        if moves.good.ending != Ending::Open && moves.bad.ending != Ending::Open {
            return;
        }
    }
}

/// Updates `mv` from its entry in `report`, which is a list of moves or an object with one.
fn update_from_report(mv: &mut Move, report: &Value) {
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

fn first_running(fleet: &Fleet) -> Result<String> {
    let none =
        || Report::new(BenchError::Unmet("no node is running, expected at least one".into()));
    fleet.running().into_iter().next().ok_or_else(none)
}
