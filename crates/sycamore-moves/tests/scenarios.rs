//! Scripted scenarios of a move: the machines of a few nodes, with traffic, membership, cuts and the
//! platform's table faked and a clock of whole seconds. The files under `scenarios/` read like a
//! story.

mod support;
mod town;

use datadriven::TestCase;
use town::Town;

fn run(town: &mut Town, case: &TestCase) -> String {
    match case.directive.as_str() {
        "start" => *town = Town::new(&values(case, "new"), &values(case, "old")),
        "wait" => return town.wait(number(case, "s")),
        "fail" => town.failing = number(case, "percent"),
        "platform" => town.platform_up = values(case, "is") == ["up"],
        "cut" => town.cut(&word(case), values(case, "platform") == ["cut"]),
        "heal" => town.heal(),
        "pause" => town.pause(&word(case)),
        "thaw" => town.thaw(&word(case)),
        "abort" => town.abort(&word(case)),
        "report" => return town.reports(),
        other => panic!("unknown directive {other}"),
    }
    "ok\n".to_owned()
}

fn word(case: &TestCase) -> String {
    let word = case.args.iter().find(|(_, values)| values.is_empty());
    word.expect("a word").0.clone()
}

fn values(case: &TestCase, key: &str) -> Vec<String> {
    case.args.get(key).cloned().unwrap_or_default()
}

fn number(case: &TestCase, key: &str) -> u64 {
    values(case, key).first().expect("a number").parse().expect("a number")
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |f| {
        let mut town = Town::new(&[], &[]);
        f.run(|case| run(&mut town, case));
    });
}
