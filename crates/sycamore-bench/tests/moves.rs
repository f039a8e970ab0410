//! Bound on the result of `measure moves`.

use std::process::Command;

/// Highest share of the good versions that may be taken back.
const MAX_FALSE_TAKEN_BACK: f64 = 0.01;

/// Guards against good versions that are taken back because restarts of nodes, one every 8 seconds,
/// lose the evidence for them.
#[test]
fn good_moves_are_done_while_nodes_are_killed() {
    let args = "measure moves --seed 12 --good 16 --bad 0 --fault kill";
    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamoreshift-bench"));
    let output =
        command.args(args.split(' ')).output().expect("sycamoreshift-bench can be started");
    let result: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("standard output holds one JSON object");
    let taken_back = result["false_taken_back"].as_f64().expect("false_taken_back is a number");
    assert!(taken_back <= MAX_FALSE_TAKEN_BACK, "{}", String::from_utf8_lossy(&output.stderr));
}
