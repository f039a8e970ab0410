//! The measurement of release moves against its bounds.

use std::process::Command;

/// Bound on the part of good versions that are taken back.
const MAX_FALSE: f64 = 0.01;

#[test]
fn good_moves_are_done_while_nodes_are_killed() {
    let args = "measure moves --seed 12 --good 16 --bad 0 --fault kill";
    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamoreshift-bench"));
    let output = command.args(args.split(' ')).output().expect("the tool runs");
    let result: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("one object on standard output");
    let taken_back = result["false_taken_back"].as_f64().expect("a number");
    assert!(taken_back <= MAX_FALSE, "{}", String::from_utf8_lossy(&output.stderr));
}
