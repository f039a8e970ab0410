//! Runs the scripts under `scenarios/`: moves on a few nodes with simulated traffic, membership,
//! network partitions and platform table, on a clock of whole seconds.

mod support;
mod town;

use datadriven::TestCase;
use town::SimulatedService;

/// Carries out one directive of a script and returns its output.
fn run(service: &mut SimulatedService, case: &TestCase) -> String {
    match case.directive.as_str() {
        "start" => *service = SimulatedService::new(&values(case, "new"), &values(case, "old")),
        "wait" => return service.wait(number(case, "s")),
        "fail" => service.failing_percent = number(case, "percent"),
        "platform" => service.platform_up = values(case, "is") == ["up"],
        "partition" => service.partition(&argument(case), values(case, "platform") == ["down"]),
        "end-partition" => service.end_partition(),
        "pause" => service.pause(&argument(case)),
        "resume" => service.resume(&argument(case)),
        "abort" => service.abort(&argument(case)),
        "report" => return service.reports(),
        other => panic!("unknown directive {other:?}"),
    }
    "ok\n".to_owned()
}

/// Returns the directive's argument that has no value.
fn argument(case: &TestCase) -> String {
    let argument = case.args.iter().find(|(_, values)| values.is_empty());
    argument.expect("an argument without value").0.clone()
}

/// Returns the values of the argument `key`; empty if it is absent.
fn values(case: &TestCase, key: &str) -> Vec<String> {
    case.args.get(key).cloned().unwrap_or_default()
}

/// Returns the value of the argument `key` as a number.
fn number(case: &TestCase, key: &str) -> u64 {
    values(case, key).first().expect("a number").parse().expect("a number")
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |f| {
        let mut service = SimulatedService::new(&[], &[]);
        f.run(|case| run(&mut service, case));
    });
}
