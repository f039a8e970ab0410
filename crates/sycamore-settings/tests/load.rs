//! Reading settings files.

use quickcheck::quickcheck;
use std::time::Duration;
use sycamore_settings::{from_text, Fault, Settings, SettingsError};

const SAMPLE: &str = include_str!("../../../sycamoreshiftd.sample.ini");

const NODE: &str = "[node]\ndeployment = sample\ninstance = counter-1\nservice = counter\n\
                    data_centre = hr-north-a\nregion = hr-north\n";

fn faults(text: &str) -> Vec<Fault> {
    match from_text("test.ini", text) {
        Ok(settings) => panic!("accepted: {settings:?}"),
        Err(report) => match report.current_context() {
            SettingsError::Faulty(faults) => faults.clone(),
            SettingsError::Unreadable(why) => panic!("unreadable: {why}"),
        },
    }
}

fn places(text: &str) -> Vec<String> {
    faults(text).iter().map(|fault| format!("{}.{}", fault.section, fault.key)).collect()
}

#[test]
fn the_sample_equals_the_defaults() {
    assert_eq!(from_text("sample", SAMPLE).expect("the sample is valid"), Settings::default());
}

#[test]
fn the_sample_names_every_key() {
    let settings = serde_json::to_value(Settings::default()).expect("settings serialise");
    for (section, keys) in settings.as_object().expect("sections") {
        assert!(SAMPLE.contains(&format!("[{section}]")), "[{section}] is missing");
        for key in keys.as_object().expect("keys").keys() {
            assert!(SAMPLE.contains(&format!("\n{key} =")), "{section}.{key} is missing");
        }
    }
}

#[test]
fn the_identity_must_be_given() {
    assert_eq!(
        places(""),
        ["node.data_centre", "node.deployment", "node.instance", "node.region", "node.service"]
    );
}

#[test]
fn all_faults_are_told_at_once() {
    let text = format!(
        "{NODE}[peers]\nprobe_interval = 5 parsecs\nfrobnicate = 1\n[calls]\nhop_limit = 999\n\
         [cheese]\nkind = edam\n"
    );
    assert_eq!(
        places(&text),
        ["calls.hop_limit", "peers.frobnicate", "peers.probe_interval", "cheese."]
    );
    let told = faults(&text)[1].to_string();
    assert!(told.starts_with("test.ini: [peers] frobnicate: unknown field"), "{told}");
}

#[test]
fn contradictions_are_refused() {
    let text = format!(
        "{NODE}[listen]\ncaller = 127.0.0.1:7402\noperator = 192.0.2.1:7404\n\
         upstream = 192.0.2.1:7401\n[operator]\ntoken = short\n\
         [peers]\nprobe_timeout = 2s\n"
    );
    assert_eq!(
        places(&text),
        [
            "listen.relay",
            "listen.operator",
            "listen.upstream",
            "operator.token",
            "peers.probe_timeout"
        ]
    );
}

#[test]
fn the_memory_of_bodies_holds_two_exchanges_at_least() {
    let text = |bytes: u64| format!("{NODE}[calls]\nbody_memory = {bytes}B\n");
    let least = 2 * sycamore_settings::calls::EXCHANGE_BYTES;
    assert_eq!(places(&text(least - 1)), ["calls.body_memory"]);
    let settings = from_text("test.ini", &text(least)).expect("valid");
    assert_eq!(settings.calls.body_memory, least);
}

#[test]
fn a_token_is_never_printed() {
    let text = format!("{NODE}[operator]\ntoken = 0123456789abcdef\n");
    let settings = from_text("test.ini", &text).expect("valid");
    assert!(settings.operator.token.matches(b"0123456789abcdef"));
    assert!(!settings.operator.token.matches(b"0123456789abcdeg"));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
    let json = serde_json::to_string(&settings).expect("serialises");
    assert!(!json.contains("0123456789abcdef"));
}

#[test]
fn an_empty_token_matches_nothing() {
    assert!(!Settings::default().operator.token.matches(b""));
}

quickcheck! {
    fn durations_round_trip(millis: u32) -> bool {
        let mut settings = Settings::default();
        settings.peers.suspicion = Duration::from_millis(u64::from(millis));
        let value = serde_json::to_value(&settings.peers).expect("serialises");
        let text = format!("{NODE}[peers]\nsuspicion = {}\n", value["suspicion"].as_str().unwrap());
        from_text("test.ini", &text).expect("valid") == settings
    }

    fn any_text_is_answered(text: String) -> bool {
        let _ = from_text("test.ini", &text);
        true
    }
}
