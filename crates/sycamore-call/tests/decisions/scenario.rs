//! Scenarios: text files that tell what happens to an upstream's admission, step by step.

use crate::common::at;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision};

fn number(case: &datadriven::TestCase, name: &str) -> u64 {
    case.args[name][0].parse().unwrap()
}

fn told(decisions: &[Decision]) -> String {
    let lines = decisions.iter().map(|decision| match decision {
        Decision::Admit(id) => format!("call {id} runs\n"),
        Decision::Refuse { id, reason, retry_after } => {
            format!("call {id} is refused: {reason}, come back in {} ms\n", retry_after.as_millis())
        }
    });
    let text: String = lines.collect();
    if text.is_empty() {
        return "nothing\n".into();
    }
    text
}

#[test]
fn scenarios() {
    datadriven::walk("tests/decisions/scenarios", |f| {
        let mut admission = Admission::new(AdmissionConfig { queue: 2, ..Default::default() });
        f.run(|case| {
            let now = at(number(case, "at"));
            let input = match case.directive.as_str() {
                "announce" => Input::Announce {
                    slots: u16::try_from(number(case, "slots")).unwrap(),
                    connections: 120,
                },
                "call" => Input::Arrive(Arrival {
                    id: number(case, "id"),
                    caller: case.args.get("caller").map_or(0, |c| c[0].parse().unwrap()),
                    class: case
                        .args
                        .get("class")
                        .map_or(Criticality::Normal, |class| Criticality::from_text(&class[0])),
                    deadline: at(number(case, "deadline")),
                    objective: None,
                    work: 0,
                }),
                "answer" => Input::Finish(number(case, "id"), RunEnd::Answered),
                "leave" => Input::Cancel(number(case, "id")),
                "time" => Input::Tick,
                "drain" => Input::Drain,
                other => panic!("unknown directive {other}"),
            };
            let decisions = admission.step(now, input);
            told(&decisions) + &format!("load {}\n", admission.load())
        });
    });
}
