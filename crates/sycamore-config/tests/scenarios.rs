//! Scripted scenarios of [`Apply`], in the files under `scenarios/`.

mod common;

use bytes::Bytes;
use common::{route, service};
use datadriven::TestCase;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;
use sycamore_config::{Action, Apply, ApplySettings, Encoded, FetchAnswer, Input, Source};
use sycamore_types::prelude::*;

/// State of one script: a node, and the configurations defined so far by name.
struct Scenario {
    node: Apply,
    configs: BTreeMap<String, Encoded>,
    now: Time,
}

impl Scenario {
    fn new() -> Self {
        let settings =
            ApplySettings { peer_attempts: 1, max_failures: 15, ..ApplySettings::default() };
        Self { node: Apply::new(settings), configs: BTreeMap::new(), now: Time::default() }
    }

    fn run(&mut self, case: &TestCase) -> String {
        match case.directive.as_str() {
            "config" => self.config(case),
            "restart" => {
                *self = Self { configs: std::mem::take(&mut self.configs), ..Self::new() };
                "nothing kept\n".to_owned()
            }
            "floor" => self.step(Input::Floor(ConfigVersion(number(case, "version")))),
            "learn" => {
                let head = self.named(case).head;
                let from = match values(case, "from").next() {
                    Some("row") => Source::Store,
                    _ => Source::Peer,
                };
                let fetch_delay =
                    values(case, "fetch_delay_ms").next().map_or(0, |ms| ms.parse().expect("ms"));
                self.step(Input::HeadLearned {
                    head,
                    from,
                    fetch_delay: Duration::from_millis(fetch_delay),
                })
            }
            "receive" => {
                let encoded = self.named(case);
                self.step(Input::PackReceived { head: encoded.head, pack: encoded.pack() })
            }
            "answer" => self.answer(case),
            "delta" => self.delta(case),
            "wait" => {
                self.now = self.now + Duration::from_millis(number(case, "ms"));
                self.step(Input::Tick)
            }
            other => panic!("unknown directive {other}"),
        }
    }

    /// Runs `config NAME version=N services=(NAME, ..) routes=(NAME-SERVICE-MS, ..)`, which defines
    /// a configuration.
    fn config(&mut self, case: &TestCase) -> String {
        let mut resources: Vec<Resource> = values(case, "services").map(service).collect();
        for text in values(case, "routes") {
            let parts: Vec<&str> = text.split('-').collect();
            resources.push(route(parts[0], parts[1], parts[2].parse().expect("milliseconds")));
        }
        let encoded = Encoded::new(&resources, ConfigVersion(number(case, "version")));
        let text = format!("{} resources\n", encoded.resources.len());
        self.configs.insert(name(case), encoded);
        text
    }

    /// Runs `answer NAME with=(all|pack|manifest|noise|nothing|absent)`, which ends the pending
    /// fetch of a configuration.
    fn answer(&mut self, case: &TestCase) -> String {
        let encoded = self.named(case).clone();
        let all = || std::iter::once(&encoded.manifest).chain(&encoded.resources).cloned();
        let answer = match values(case, "with").next() {
            Some("all") => FetchAnswer::Objects(all().collect()),
            Some("pack") => FetchAnswer::Pack(encoded.pack()),
            Some("manifest") => FetchAnswer::Objects(vec![encoded.manifest.clone()]),
            Some("noise") => FetchAnswer::Objects(vec![Bytes::from_static(b"noise")]),
            Some("nothing") => FetchAnswer::Failed,
            Some("absent") => FetchAnswer::Absent,
            other => panic!("unknown answer {other:?}"),
        };
        self.step(Input::Fetched { head: encoded.head, answer })
    }

    /// Runs `delta path=(NAME, ..)`, in which a peer that had these configurations in force one
    /// after the other sends the difference from the first to the last.
    fn delta(&mut self, case: &TestCase) -> String {
        let path: Vec<&Encoded> = values(case, "path").map(|name| &self.configs[name]).collect();
        let mut peer = Apply::new(ApplySettings::default());
        peer.step(self.now, Input::Floor(ConfigVersion(0)));
        for encoded in &path {
            let (head, pack) = (encoded.head, encoded.pack());
            peer.step(self.now, Input::PackReceived { head, pack });
        }
        match peer.delta_from(&path.first().expect("a base").head.manifest) {
            Some(delta) => self.step(Input::DeltaReceived(delta)),
            None => "the peer has no difference from there\n".to_owned(),
        }
    }

    fn named(&self, case: &TestCase) -> &Encoded {
        &self.configs[&name(case)]
    }

    fn step(&mut self, input: Input) -> String {
        let mut text = String::new();
        for action in self.node.step(self.now, input) {
            writeln!(text, "{}", self.describe(&action)).expect("writes to a string");
        }
        match text.is_empty() {
            true => "nothing\n".to_owned(),
            false => text,
        }
    }

    fn describe(&self, action: &Action) -> String {
        match action {
            Action::Fetch { head, source, hashes, .. } => {
                let from = match source {
                    Source::Peer => "a peer",
                    Source::Store => "the store",
                };
                let objects = hashes.len();
                format!("fetch {objects} object(s) of {} from {from}", self.name_of(*head))
            }
            Action::RequestDelta { base } => {
                let base = self.configs.iter().find(|(_, c)| c.head.manifest == *base);
                format!("ask for the difference from {}", base.map_or("?", |(name, _)| name))
            }
            Action::Apply(snapshot) => format!("in force: version {}", snapshot.version),
            Action::Reject { head, reason } => {
                format!("rejected {}: {reason}", self.name_of(*head))
            }
        }
    }

    fn name_of(&self, head: ConfigHead) -> &str {
        let found = self.configs.iter().find(|(_, encoded)| encoded.head == head);
        found.map_or("?", |(name, _)| name)
    }
}

fn name(case: &TestCase) -> String {
    let name = case.args.iter().find(|(_, values)| values.is_empty());
    name.expect("a configuration's name").0.clone()
}

fn values<'a>(case: &'a TestCase, key: &str) -> impl Iterator<Item = &'a str> {
    case.args.get(key).into_iter().flatten().map(String::as_str)
}

fn number(case: &TestCase, key: &str) -> u64 {
    values(case, key).next().expect("a number").parse().expect("a number")
}

/// Guards the order of fetches and applications against the expected output in each script.
#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |f| {
        let mut scenario = Scenario::new();
        f.run(|case| scenario.run(case));
    });
}
