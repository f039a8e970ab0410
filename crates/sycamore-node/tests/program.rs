//! Tests that the daemon exits with code 2 on invalid settings instead of starting.

use std::process::Command;

/// Runs the daemon on a settings file `name` with `text`; returns its exit code and standard error.
fn run_daemon(name: &str, text: &str) -> (Option<i32>, String) {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_sycamoreshiftd"))
        .arg("--settings")
        .arg(&path)
        .output()
        .expect("the program runs");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn invalid_settings_exit_with_2_and_report_every_fault() {
    let (code, stderr) =
        run_daemon("faulty.ini", "[node]\ninstance = a b\n[peers]\nsuspicion = soon\n");
    assert_eq!(code, Some(2), "{stderr}");
    for place in ["[node] instance", "[node] service: must be given", "[peers] suspicion"] {
        assert!(stderr.contains(place), "{place} is missing in {stderr}");
    }
}

#[test]
fn a_missing_settings_file_exits_with_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_sycamoreshiftd"))
        .args(["--settings", "no-such-file.ini"])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}
