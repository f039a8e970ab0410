//! An operator's morning through the command line.

use crate::support::small;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use sycamore_bench::fleet::{guard, Fleet, TOKEN};
use sycamore_bench::http;

/// Exit code for an input that is wrong.
const BAD_INPUT: i32 = 2;
/// Exit code where somebody else was first.
const CONFLICT: i32 = 3;
/// Longest time that the test may take before its processes are ended.
const LIMIT: Duration = Duration::from_secs(600);

const HEADER: &str = "move,service,from,to,start,deadline,watch";
const PLAN: &str = "friday";

/// The program and the node that it asks.
struct Desk {
    program: PathBuf,
    node: String,
    dir: PathBuf,
}

impl Desk {
    fn at(fleet: &Fleet, instance: &str) -> Self {
        let own = std::env::current_exe().expect("the test's path");
        let beside = own.ancestors().skip(1).take(2).map(|dir| dir.join("sycamoreshift"));
        let program = beside.into_iter().find(|path| path.is_file());
        Self {
            program: program.expect("the workspace's programs are built"),
            node: fleet.operator_addr(instance).expect("an instance").to_string(),
            dir: fleet.dir().to_owned(),
        }
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path: &Path = &self.dir.join(name);
        std::fs::write(path, text).expect("a file");
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

    /// What the program prints where it must succeed.
    fn ask(&self, args: &[&str]) -> Value {
        let output = self.run(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
        serde_json::from_slice(&output.stdout).expect("one JSON value")
    }

    /// What the program says where it must end with `code`.
    fn refuse(&self, args: &[&str], code: i32) -> String {
        let output = self.run(args);
        assert_eq!(output.status.code(), Some(code), "{args:?}: {output:?}");
        String::from_utf8(output.stderr).expect("text")
    }

    fn moves(&self, query: &str) -> Vec<Value> {
        let answer = self.ask(&[query, "--plan", PLAN]);
        answer["moves"].as_array().expect("a list of moves").clone()
    }
}

fn import(file: &str) -> [&str; 7] {
    ["sheet", "import", "--plan", PLAN, "--operator", "ana", file]
}

/// A number, or the length of a list.
fn count(value: &Value) -> u64 {
    let len = value.as_array().map(|list| list.len() as u64);
    len.or(value.as_u64()).expect("a count")
}

fn counts(answer: &Value) -> [u64; 3] {
    ["added", "changed", "same"].map(|key| count(&answer[key]))
}

#[test]
fn an_operators_morning_through_the_command_line() {
    let _turn = crate::support::turn();
    let _limit = guard::limit_run(LIMIT);
    http::run(async {
        let fleet = Fleet::start(small()).await.expect("the fleet starts");
        let (desk, other) = (Desk::at(&fleet, "counter-1"), Desk::at(&fleet, "intake-1"));
        let resources = fleet.options().deployment.resources();
        let config = desk.file("config.json", &Value::Array(resources).to_string());
        races_for_the_configuration(&fleet, &desk, &other, &config).await;
        imports(&desk);
        aborts(&fleet, &desk).await;
    });
}

/// The file is checked and applied; of two operators who replace the same version one wins.
async fn races_for_the_configuration(fleet: &Fleet, desk: &Desk, other: &Desk, config: &str) {
    desk.ask(&["check", "config", config]);
    let applied = desk.ask(&["config", "apply", "--operator", "ana", config]);
    let version = applied["version"].as_u64().expect("a version");
    let expect = version.to_string();
    let at_version = || async {
        let query = fleet.query("intake-1", "config").await;
        query.is_ok_and(|config| config["version"] == version)
    };
    fleet.wait_for("the configuration on the other node", at_version).await.expect("it comes");
    let args = |operator| ["config", "apply", "--operator", operator, "--expect", &expect, config];
    let racing = [desk.start("json", &args("ana")), other.start("json", &args("rahim"))];
    let ended = racing.map(|child| child.wait_with_output().expect("the program ends"));
    let codes = [0, 1].map(|index| ended[index].status.code());
    let (loser, winner) = match codes {
        [Some(0), Some(CONFLICT)] => (&ended[1], "ana"),
        [Some(CONFLICT), Some(0)] => (&ended[0], "rahim"),
        _ => panic!("not exactly one was accepted: {ended:?}"),
    };
    let told = String::from_utf8_lossy(&loser.stderr);
    assert!(told.contains(winner), "{told}");
}

/// A sheet is taken whole and once; a faulty one is not taken at all.
fn imports(desk: &Desk) {
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
    let (good, faulty) = (desk.file("good.csv", &good), desk.file("faulty.csv", &faulty));
    desk.ask(&["check", "sheet", &good]);
    let told = desk.refuse(&["check", "sheet", &faulty], BAD_INPUT);
    assert!(told.contains("at noon") || told.contains("line 3"), "{told}");
    assert_eq!(counts(&desk.ask(&import(&good))), [2, 0, 0]);
    assert_eq!(counts(&desk.ask(&import(&good))), [0, 0, 2]);
    let again = desk.run_with("table", &import(&good));
    let text = String::from_utf8(again.stdout).expect("text");
    assert!(text.contains("0 moves added, 0 changed, 2 as before"), "{text}");
    desk.refuse(&import(&faulty), BAD_INPUT);
    let names: Vec<Value> = desk.moves("moves").iter().map(|mv| mv["move"].clone()).collect();
    assert_eq!(names, ["counter-2", "intake-2"]);
    assert!(desk.moves("report").iter().all(|mv| mv["state"] == "planned"));
}

fn is_told_as_taken_back(desk: &Desk) -> bool {
    let output = desk.run(&["timeline", "--move", "counter-2"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let events = output.stdout.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let mut events = events.map(|line| serde_json::from_slice::<Value>(line).expect("JSON"));
    events.any(|event| event["event"] == "move-ended" && event["done"] == false)
}

/// A planned move that is aborted is reported as taken back, and the time line tells it.
async fn aborts(fleet: &Fleet, desk: &Desk) {
    desk.ask(&["abort", "--operator", "rahim", "--reason", "no staff", "counter-2"]);
    let is_taken_back = || async {
        let answer = fleet.query("counter-1", &format!("report?plan={PLAN}")).await;
        answer.is_ok_and(|answer| answer["moves"][0]["state"] == "taken-back")
    };
    fleet.wait_for("the report on the aborted move", is_taken_back).await.expect("it comes");
    let report = desk.moves("report");
    assert_eq!(report[0]["move"], "counter-2");
    assert_eq!(report[0]["state"], "taken-back");
    assert_eq!(report[0]["cause"], "aborted");
    assert_eq!(report[1]["state"], "planned");
    let is_told = || async { is_told_as_taken_back(desk) };
    fleet.wait_for("the end on the time line", is_told).await.expect("it comes");
    let again = desk.refuse(&["abort", "--operator", "ana", "counter-2"], CONFLICT);
    assert!(again.contains("rahim"), "{again}");
}
