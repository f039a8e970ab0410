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

fn written(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file is written");
    path.display().to_string()
}

#[test]
fn a_sheet_with_faults_names_each_by_line() {
    let path = written(
        "faulty.csv",
        "move,service,from,to,start,deadline\nm1,counter,1,1,today,later\nm 2,counter,1,2,,\n",
    );
    let checked = run(&["check", "sheet", &path]);
    let told = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2), "{told}");
    assert!(told.contains("line 2") && told.contains("line 3"), "{told}");
}

#[test]
fn a_sheet_as_a_spreadsheet_exports_it_is_accepted() {
    let path = written(
        "good.csv",
        "\u{feff}move;service;from;to;start;deadline\r\n\
         m1;counter;1;2;2026-12-04 08:00 Europe/Zagreb;2026-12-04 09:00 Europe/Zagreb\r\n",
    );
    let checked = run(&["check", "sheet", &path]);
    assert_eq!(checked.status.code(), Some(0), "{}", String::from_utf8_lossy(&checked.stderr));
}

#[test]
fn a_configuration_with_a_dangling_route_is_refused() {
    let route = r#"{"kind":"route","name":"r","prefix":"/r","service":"gone","timeout_ms":1000}"#;
    let path = written("dangling.json", &format!("[{route}]"));
    let checked = run(&["check", "config", &path]);
    let told = String::from_utf8_lossy(&checked.stderr).into_owned();
    assert_eq!(checked.status.code(), Some(2), "{told}");
    assert!(told.contains("gone"), "{told}");
}

#[test]
fn a_configuration_may_be_a_folder_of_files() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("configuration");
    std::fs::create_dir_all(&folder).expect("a folder is made");
    let route = r#"[{"kind":"route","name":"r","prefix":"/r","service":"s","timeout_ms":1000}]"#;
    std::fs::write(folder.join("routes.json"), route).expect("a file is written");
    std::fs::write(folder.join("services.json"), r#"[{"kind":"service","name":"s"}]"#)
        .expect("a file is written");
    assert_eq!(code(&["check", "config", &folder.display().to_string()]), Some(0));
}

#[test]
fn the_examples_have_no_fault() {
    for deployment in ["zlatna-klupa", "sutokatha"] {
        let example =
            |what| format!("{}/../../examples/{deployment}/{what}", env!("CARGO_MANIFEST_DIR"));
        for (kind, path) in [("config", example("config")), ("sheet", example("morning.csv"))] {
            let checked = run(&["check", kind, &path]);
            let told = String::from_utf8_lossy(&checked.stderr).into_owned();
            assert_eq!(checked.status.code(), Some(0), "{told}");
        }
    }
}

#[test]
fn a_trace_merges_the_lines_about_a_request_in_the_order_of_their_times() {
    let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let file = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).expect("a file is written");
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
    assert_eq!(code(&["trace", "unknown", &entry]), Some(4));
    assert_eq!(code(&["trace", "9c41", "no-such-file.log"]), Some(2));
}
