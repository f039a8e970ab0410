//! The program as an operator runs it: help, checks and exit codes.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sycamoreshift"))
        .args(args)
        .env_remove("SYCAMORESHIFT_NODE")
        .output()
        .expect("the program runs")
}

fn code(args: &[&str]) -> Option<i32> {
    run(args).status.code()
}

fn sample() -> String {
    format!("{}/../../sycamoreshiftd.sample.ini", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn help_shows_an_example() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("Example: sycamoreshift sheet import"));
}

#[test]
fn wrong_arguments_are_bad_input() {
    assert_eq!(code(&["frobnicate"]), Some(2));
    assert_eq!(code(&["--output", "xml", "nodes"]), Some(2));
    assert_eq!(code(&["abort", "m 1", "--operator", "ana"]), Some(2));
}

#[test]
fn the_sample_settings_have_no_fault() {
    assert_eq!(code(&["check", "settings", &sample()]), Some(0));
}

#[test]
fn a_file_that_is_not_there_is_bad_input() {
    assert_eq!(code(&["check", "settings", "no-such-file.ini"]), Some(2));
    assert_eq!(code(&["check", "sheet", "no-such-file.csv"]), Some(2));
    assert_eq!(code(&["check", "config", "no-such-file.json"]), Some(2));
}

#[test]
fn a_node_that_is_not_there_is_a_failure_told_as_json() {
    let failed = run(&["--node", "127.0.0.1:1", "--output", "json", "nodes"]);
    assert_eq!(failed.status.code(), Some(1));
    let told: serde_json::Value = serde_json::from_slice(&failed.stderr).expect("JSON");
    assert_eq!(told["error"], "node 127.0.0.1:1 gave no answer");
}
