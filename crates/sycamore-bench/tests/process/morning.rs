//! Operator commands through the `sycamoreshift` program: configurations, sheets and aborts.

use crate::support::small_fleet;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use sycamore_bench::fleet::{guard, Fleet, TOKEN};
use sycamore_bench::http;

/// Exit code of the program for invalid input.
const BAD_INPUT: i32 = 2;
/// Exit code of the program where another operator's change came first.
const CONFLICT: i32 = 3;
/// Longest time that the test may run before its processes are killed.
const LIMIT: Duration = Duration::from_secs(600);

/// Header row of the test's sheets.
const HEADER: &str = "move,service,from,to,start,deadline,watch";
/// Name of the plan that sheets are imported as.
const PLAN: &str = "friday";

/// The `sycamoreshift` program and the node that it connects to.
struct OperatorCli {
    program: PathBuf,
    node: String,
    dir: PathBuf,
}

impl OperatorCli {
    fn at(fleet: &Fleet, instance: &str) -> Self {
        let own = std::env::current_exe().expect("the test has a path");
        let candidates = own.ancestors().skip(1).take(2).map(|dir| dir.join("sycamoreshift"));
        let program = candidates.into_iter().find(|path| path.is_file());
        Self {
            program: program.expect("the workspace's binaries are built"),
            node: fleet.operator_addr(instance).expect("an instance").to_string(),
            dir: fleet.dir().to_owned(),
        }
    }

    /// Writes `text` to a file in the fleet's directory and returns its path.
    fn write_file(&self, name: &str, text: &str) -> String {
        let path: &Path = &self.dir.join(name);
        std::fs::write(path, text).expect("the file can be written");
        path.display().to_string()
    }

    fn start(&self, format: &str, args: &[&str]) -> Child {
        let mut command = Command::new(&self.program);
        command.args(["--output", format, "--node", &self.node]).args(args);
        command.env("SYCAMORESHIFT_TOKEN", TOKEN).env_remove("SYCAMORESHIFT_NODE");
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command.spawn().expect("the program starts")
    }

    fn run_with(&self, format: &str, args: &[&str]) -> Output {
        self.start(format, args).wait_with_output().expect("the program ends")
    }

    fn run(&self, args: &[&str]) -> Output {
        self.run_with("json", args)
    }

    /// Runs the program, which must succeed, and returns the JSON that it prints.
    fn run_ok(&self, args: &[&str]) -> Value {
        let output = self.run(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
        serde_json::from_slice(&output.stdout).expect("one JSON value")
    }

    /// Runs the program, which must exit with `code`, and returns its standard error.
    fn run_refused(&self, args: &[&str], code: i32) -> String {
        let output = self.run(args);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {output:?}");
        String::from_utf8(output.stderr).expect("text")
    }

    fn moves(&self, query: &str) -> Vec<Value> {
        let answer = self.run_ok(&[query, "--plan", PLAN]);
        answer["moves"].as_array().expect("a list of moves").clone()
    }
}

fn import(file: &str) -> [&str; 7] {
    ["sheet", "import", "--plan", PLAN, "--operator", "ana", file]
}

/// Returns a number, or the length of a list.
fn count(value: &Value) -> u64 {
    let len = value.as_array().map(|list| list.len() as u64);
    len.or(value.as_u64()).expect("a count")
}

fn counts(answer: &Value) -> [u64; 3] {
    ["added", "changed", "same"].map(|key| count(&answer[key]))
}

/// Guards against commands that fail, or report another result than the nodes reach, in the order
/// in which an operator uses them: apply a configuration, import a sheet, abort a move.
#[test]
fn operator_commands_apply_import_abort_and_report() {
    let _permit = crate::support::fleet_permit();
    let _limit = guard::limit_run(LIMIT);
    http::run(async {
        let fleet = Fleet::start(small_fleet()).await.expect("the fleet starts");
        let (cli, other) =
            (OperatorCli::at(&fleet, "counter-1"), OperatorCli::at(&fleet, "intake-1"));
        let resources = fleet.options().deployment.resources();
        let config = cli.write_file("config.json", &Value::Array(resources).to_string());
        apply_and_race(&fleet, &cli, &other, &config).await;
        import_sheets(&cli);
        abort_move(&fleet, &cli).await;
    });
}

/// Checks and applies a configuration, then lets two operators replace the same version: exactly
/// one is accepted, and the other learns the winner.
async fn apply_and_race(fleet: &Fleet, cli: &OperatorCli, other: &OperatorCli, config: &str) {
    cli.run_ok(&["check", "config", config]);
    let applied = cli.run_ok(&["config", "apply", "--operator", "ana", config]);
    let version = applied["version"].as_u64().expect("a version");
    let expect = version.to_string();
    let at_version = || async {
        let query = fleet.query("intake-1", "config").await;
        query.is_ok_and(|config| config["version"] == version)
    };
    fleet.wait_for("the configuration on intake-1", at_version).await.expect("intake-1 applies it");
    let args = |operator| ["config", "apply", "--operator", operator, "--expect", &expect, config];
    let racing = [cli.start("json", &args("ana")), other.start("json", &args("rahim"))];
    let ended = racing.map(|child| child.wait_with_output().expect("the program ends"));
    let codes = [0, 1].map(|index| ended[index].status.code());
    let (loser, winner) = match codes {
        [Some(0), Some(CONFLICT)] => (&ended[1], "ana"),
        [Some(CONFLICT), Some(0)] => (&ended[0], "rahim"),
        _ => panic!("not exactly one was accepted: {ended:?}"),
    };
    let refusal = String::from_utf8_lossy(&loser.stderr);
    assert!(refusal.contains(winner), "{refusal}");
}

/// Imports a valid sheet twice, which adds its moves once, and a faulty one, which adds none.
fn import_sheets(cli: &OperatorCli) {
    let row = |mv: &str, service: &str, start: &str| {
        format!("{mv},{service},1.0.0,2.0.0,{start},2099-01-05T08:00:00Z,10m")
    };
    let good = format!(
        "{HEADER}\r\n{}\r\n{}\r\n",
        row("counter-2", "counter", "2099-01-05T06:00:00Z"),
        row("intake-2", "intake", "2099-01-05T06:00:00Z")
    );
    let faulty = format!(
        "{HEADER}\r\n{}\r\n{}\r\n",
        row("counter-3", "counter", "2099-01-06T06:00:00Z"),
        row("intake-3", "intake", "at noon")
    );
    let (good, faulty) = (cli.write_file("good.csv", &good), cli.write_file("faulty.csv", &faulty));
    cli.run_ok(&["check", "sheet", &good]);
    let refusal = cli.run_refused(&["check", "sheet", &faulty], BAD_INPUT);
    assert!(refusal.contains("at noon") || refusal.contains("line 3"), "{refusal}");
    assert_eq!(counts(&cli.run_ok(&import(&good))), [2, 0, 0]);
    assert_eq!(counts(&cli.run_ok(&import(&good))), [0, 0, 2]);
    let again = cli.run_with("table", &import(&good));
    let text = String::from_utf8(again.stdout).expect("text");
    assert!(text.contains("0 moves added, 0 changed, 2 as before"), "{text}");
    cli.run_refused(&import(&faulty), BAD_INPUT);
    let names: Vec<Value> = cli.moves("moves").iter().map(|mv| mv["move"].clone()).collect();
    assert_eq!(names, ["counter-2", "intake-2"]);
    assert!(cli.moves("report").iter().all(|mv| mv["state"] == "planned"));
}

/// Returns whether the timeline shows that the move counter-2 was taken back.
fn timeline_shows_taken_back(cli: &OperatorCli) -> bool {
    let output = cli.run(&["timeline", "--move", "counter-2"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let events = output.stdout.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let mut events = events.map(|line| serde_json::from_slice::<Value>(line).expect("JSON"));
    events.any(|event| event["event"] == "move-ended" && event["done"] == false)
}

/// Aborts a planned move, which must be reported as taken back, also on the timeline, and can't be
/// aborted again.
async fn abort_move(fleet: &Fleet, cli: &OperatorCli) {
    cli.run_ok(&["abort", "--operator", "rahim", "--reason", "no staff", "counter-2"]);
    let is_taken_back = || async {
        let answer = fleet.query("counter-1", &format!("report?plan={PLAN}")).await;
        answer.is_ok_and(|answer| answer["moves"][0]["state"] == "taken-back")
    };
    fleet
        .wait_for("counter-2 reported as taken back", is_taken_back)
        .await
        .expect("it is reported");
    let report = cli.moves("report");
    assert_eq!(report[0]["move"], "counter-2");
    assert_eq!(report[0]["state"], "taken-back");
    assert_eq!(report[0]["cause"], "aborted");
    assert_eq!(report[1]["state"], "planned");
    let is_shown = || async { timeline_shows_taken_back(cli) };
    fleet.wait_for("the end of counter-2 on the timeline", is_shown).await.expect("it is shown");
    let again = cli.run_refused(&["abort", "--operator", "ana", "counter-2"], CONFLICT);
    assert!(again.contains("rahim"), "{again}");
}
