//! Tests of the program `sycamoreshift` as an operator runs it: help, file checks, log traces and
//! exit codes.

use std::process::{Command, Output};

/// Runs the program with `args` and waits for its end.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sycamoreshift"))
        .args(args)
        .env_remove("SYCAMORESHIFT_NODE")
        .output()
        .expect("the program runs")
}

/// Returns the exit code of the program run with `args`.
fn exit_code(args: &[&str]) -> Option<i32> {
    run(args).status.code()
}

/// Returns the path of the sample settings file.
fn sample_settings() -> String {
    format!("{}/../../sycamoreshiftd.sample.ini", env!("CARGO_MANIFEST_DIR"))
}

/// Guards against help that lacks the example command or ends with an error code.
#[test]
fn help_shows_an_example() {
    let help = run(&["--help"]);
    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("Example: sycamoreshift sheet import"));
}

/// Guards against another exit code than bad input for an unknown command, an unknown output format
/// and a malformed move identifier.
#[test]
fn invalid_arguments_are_bad_input() {
    assert_eq!(exit_code(&["frobnicate"]), Some(2));
    assert_eq!(exit_code(&["--output", "xml", "nodes"]), Some(2));
    assert_eq!(exit_code(&["abort", "m 1", "--operator", "ana"]), Some(2));
}

/// Guards against a sample settings file that the settings check refuses.
#[test]
fn sample_settings_have_no_fault() {
    assert_eq!(exit_code(&["check", "settings", &sample_settings()]), Some(0));
}

/// Guards against another exit code than bad input where the file to check is missing.
#[test]
fn missing_files_are_bad_input() {
    assert_eq!(exit_code(&["check", "settings", "no-such-file.ini"]), Some(2));
    assert_eq!(exit_code(&["check", "sheet", "no-such-file.csv"]), Some(2));
    assert_eq!(exit_code(&["check", "config", "no-such-file.json"]), Some(2));
}

/// Guards against errors that are not JSON with `--output json`: the query goes to a closed port.
#[test]
fn unreachable_node_is_a_failure_reported_as_json() {
    let failed = run(&["--node", "127.0.0.1:1", "--output", "json", "nodes"]);
    assert_eq!(failed.status.code(), Some(1));
    let error: serde_json::Value = serde_json::from_slice(&failed.stderr).expect("JSON");
    assert_eq!(error["error"], "node 127.0.0.1:1 gave no answer");
}

/// Writes a file for a test and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the test file is written");
    path.display().to_string()
}

/// Guards against a sheet check that stops at the first faulty line or names no lines: two lines
/// are faulty.
#[test]
fn every_faulty_sheet_line_is_reported() {
    let path = write_file(
        "faulty.csv",
        "move,service,from,to,start,deadline\nm1,counter,1,1,today,later\nm 2,counter,1,2,,\n",
    );
    let checked = run(&["check", "sheet", &path]);
    let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("line 2") && stderr.contains("line 3"), "{stderr}");
}

/// Guards against refusing what spreadsheets export: a byte order mark, semicolons and CRLF.
#[test]
fn sheet_with_bom_semicolons_and_crlf_is_accepted() {
    let path = write_file(
        "good.csv",
        "\u{feff}move;service;from;to;start;deadline\r\n\
         m1;counter;1;2;2026-12-04 08:00 Europe/Zagreb;2026-12-04 09:00 Europe/Zagreb\r\n",
    );
    let checked = run(&["check", "sheet", &path]);
    assert_eq!(checked.status.code(), Some(0), "{}", String::from_utf8_lossy(&checked.stderr));
}

/// Guards against accepting a route to a service that the configuration doesn't have.
#[test]
fn configuration_with_a_dangling_route_is_refused() {
    let route = r#"{"kind":"route","name":"r","prefix":"/r","service":"gone","timeout_ms":1000}"#;
    let path = write_file("dangling.json", &format!("[{route}]"));
    let checked = run(&["check", "config", &path]);
    let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("gone"), "{stderr}");
}

/// Guards against checking the files of a folder one by one: a route in one file refers to a
/// service in another.
#[test]
fn configuration_may_be_a_folder_of_files() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("configuration");
    std::fs::create_dir_all(&folder).expect("the test folder is created");
    let route = r#"[{"kind":"route","name":"r","prefix":"/r","service":"s","timeout_ms":1000}]"#;
    std::fs::write(folder.join("routes.json"), route).expect("the test file is written");
    std::fs::write(folder.join("services.json"), r#"[{"kind":"service","name":"s"}]"#)
        .expect("the test file is written");
    assert_eq!(exit_code(&["check", "config", &folder.display().to_string()]), Some(0));
}

/// Guards against example configurations and sheets that the checks refuse.
#[test]
fn examples_have_no_fault() {
    for deployment in ["zlatna-klupa", "sutokatha"] {
        let example =
            |what| format!("{}/../../examples/{deployment}/{what}", env!("CARGO_MANIFEST_DIR"));
        for (kind, path) in [("config", example("config")), ("sheet", example("morning.csv"))] {
            let checked = run(&["check", kind, &path]);
            let stderr = String::from_utf8_lossy(&checked.stderr).into_owned();
            assert_eq!(checked.status.code(), Some(0), "{stderr}");
        }
    }
}

/// Guards against a trace in the order of the files, and against lines about a request whose
/// identifier only begins alike.
#[test]
fn trace_orders_the_lines_about_a_request_by_time() {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("the test file is written");
        path.display().to_string()
    };
    let entry = file(
        "entry.log",
        "level=WARN msg=\"call refused\" time_ms=20 instance=a request=9c41\n\
         level=INFO msg=started time_ms=1 instance=a\n",
    );
    let beside = file(
        "beside.log",
        "level=WARN msg=\"call refused\" time_ms=15 instance=b request=9c41\n\
         level=WARN msg=\"call refused\" time_ms=16 instance=b request=9c41f\n",
    );
    let shown = run(&["trace", "9c41", &entry, &beside]);
    let lines: Vec<String> =
        String::from_utf8_lossy(&shown.stdout).lines().map(str::to_owned).collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].contains("instance=b") && lines[1].contains("instance=a"), "{lines:?}");
    assert_eq!(exit_code(&["trace", "unknown", &entry]), Some(4));
    assert_eq!(exit_code(&["trace", "9c41", "no-such-file.log"]), Some(2));
}
