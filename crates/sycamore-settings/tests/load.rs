//! Tests of reading and checking settings files.

use quickcheck::quickcheck;
use std::time::Duration;
use sycamore_settings::{from_text, Fault, Settings, SettingsError};

const SAMPLE: &str = include_str!("../../../sycamoreshiftd.sample.ini");

const NODE: &str = "[node]\ndeployment = sample\ninstance = counter-1\nservice = counter\n\
                    data_centre = hr-north-a\nregion = hr-north\n";

/// Reads faulty settings and returns the faults; panics if there are none.
fn faults(text: &str) -> Vec<Fault> {
    match from_text("test.ini", text) {
        Ok(settings) => panic!("accepted: {settings:?}"),
        Err(report) => match report.current_context() {
            SettingsError::Faulty(faults) => faults.clone(),
            SettingsError::Unreadable(why) => panic!("unreadable: {why}"),
        },
    }
}

/// Reads faulty settings and returns the place of each fault as `section.key`.
fn fault_places(text: &str) -> Vec<String> {
    faults(text).iter().map(|fault| format!("{}.{}", fault.section, fault.key)).collect()
}

// Guards against a sample file that shows other values than the defaults.
#[test]
fn sample_file_equals_the_defaults() {
    assert_eq!(from_text("sample", SAMPLE).expect("the sample is valid"), Settings::default());
}

// Guards against a new key that is missing from the sample file.
#[test]
fn sample_file_names_every_key() {
    let settings = serde_json::to_value(Settings::default()).expect("settings serialise");
    for (section, keys) in settings.as_object().expect("sections") {
        assert!(SAMPLE.contains(&format!("[{section}]")), "[{section}] is missing");
        for key in keys.as_object().expect("keys").keys() {
            assert!(SAMPLE.contains(&format!("\n{key} =")), "{section}.{key} is missing");
        }
    }
}

// Guards against a node that starts with the identity of the sample file because a key is missing.
#[test]
fn all_keys_of_the_node_section_are_required() {
    assert_eq!(
        fault_places(""),
        ["node.data_centre", "node.deployment", "node.instance", "node.region", "node.service"]
    );
}

// Guards against a reader that stops at the first fault, so that a file needs one run per fault.
#[test]
fn all_faults_are_reported_at_once() {
    let text = format!(
        "{NODE}[peers]\nprobe_interval = 5 parsecs\nfrobnicate = 1\n[calls]\nhop_limit = 999\n\
         [cheese]\nkind = edam\n"
    );
    assert_eq!(
        fault_places(&text),
        ["calls.hop_limit", "peers.frobnicate", "peers.probe_interval", "cheese."]
    );
    let message = faults(&text)[1].to_string();
    assert!(message.starts_with("test.ini: [peers] frobnicate: unknown field"), "{message}");
}

// Guards against accepting keys that are valid alone but contradict each other: an address in use
// twice, a listener beyond loopback that is not allowed, a short token, a timeout over its
// interval.
#[test]
fn contradicting_settings_are_refused() {
    let text = format!(
        "{NODE}[listen]\ncaller = 127.0.0.1:7402\noperator = 192.0.2.1:7404\n\
         upstream = 192.0.2.1:7401\n[operator]\ntoken = short\n\
         [peers]\nprobe_timeout = 2s\n"
    );
    assert_eq!(
        fault_places(&text),
        [
            "listen.relay",
            "listen.operator",
            "listen.upstream",
            "operator.token",
            "peers.probe_timeout"
        ]
    );
}

// Guards against a body memory in which a call that enters and ends at one node never fits.
#[test]
fn body_memory_must_hold_two_exchanges() {
    let text = |bytes: u64| format!("{NODE}[calls]\nbody_memory = {bytes}B\n");
    let min = 2 * sycamore_settings::calls::EXCHANGE_BYTES;
    assert_eq!(fault_places(&text(min - 1)), ["calls.body_memory"]);
    let settings = from_text("test.ini", &text(min)).expect("valid");
    assert_eq!(settings.calls.body_memory, min);
}

// Guards against the operators' token in logs or answers, through Debug or serialisation.
#[test]
fn token_is_never_printed_or_serialised() {
    let text = format!("{NODE}[operator]\ntoken = 0123456789abcdef\n");
    let settings = from_text("test.ini", &text).expect("valid");
    assert!(settings.operator.token.matches(b"0123456789abcdef"));
    assert!(!settings.operator.token.matches(b"0123456789abcdeg"));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    let json = serde_json::to_string(&settings).expect("serialises");
    assert!(!json.contains("0123456789abcdef"));
}

// Guards against commands that pass with an empty token when none is set.
#[test]
fn empty_token_matches_nothing() {
    assert!(!Settings::default().operator.token.matches(b""));
}

quickcheck! {
    // Guards against a duration that is written with a unit from which it reads back differently.
    fn durations_round_trip(millis: u32) -> bool {
        let mut settings = Settings::default();
        settings.peers.suspicion = Duration::from_millis(u64::from(millis));
        let value = serde_json::to_value(&settings.peers).expect("serialises");
        let text = format!("{NODE}[peers]\nsuspicion = {}\n", value["suspicion"].as_str().unwrap());
        from_text("test.ini", &text).expect("valid") == settings
    }

    // Guards against a panic of the reader on arbitrary text.
    fn arbitrary_text_never_panics(text: String) -> bool {
        let _ = from_text("test.ini", &text);
        true
    }
}

// Guards against a name that changes by the syntax of the file, and against texts that take the place of
// other values.
#[test]
fn a_value_after_a_literal_sign_is_taken_as_it_stands() {
    let text = NODE.replace("service = counter", "service := \"literal-0\\\" ; # x = y");
    let settings = from_text("test.ini", &text).expect("a literal name");
    assert_eq!(settings.node.service.as_str(), "\"literal-0\\\" ; # x = y");
    assert_eq!(settings.node.instance.as_str(), "counter-1");
    let quoted = NODE.replace("service = counter", "service = \"counter\"");
    let settings = from_text("test.ini", &quoted).expect("a quoted name");
    assert_eq!(settings.node.service.as_str(), "counter");
    assert_eq!(fault_places(&NODE.replace("service = counter", "service :=")), ["node.service"]);
}
