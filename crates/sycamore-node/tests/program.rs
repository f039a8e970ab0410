//! The daemon's program: settings that can't be used start nothing.

use std::process::Command;

fn run(name: &str, text: &str) -> (Option<i32>, String) {
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
fn faulty_settings_exit_with_2_and_name_each_fault() {
    let (code, told) = run("faulty.ini", "[node]\ninstance = a b\n[peers]\nsuspicion = soon\n");
    assert_eq!(code, Some(2), "{told}");
    for place in ["[node] instance", "[node] service: must be given", "[peers] suspicion"] {
        assert!(told.contains(place), "{place} is missing in {told}");
    }
}

#[test]
fn missing_settings_exit_with_2() {
    let output = Command::new(env!("CARGO_BIN_EXE_sycamoreshiftd"))
        .args(["--settings", "no-such-file.ini"])
        .output()
        .expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
}
