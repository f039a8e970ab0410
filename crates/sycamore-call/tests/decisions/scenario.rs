//! Runner of scenario files, which script the events at an upstream's admission and expect its
//! decisions.

use crate::common::at;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::{Admission, AdmissionConfig, Arrival, Criticality, Decision};

fn number_arg(case: &datadriven::TestCase, name: &str) -> u64 {
    case.args[name][0].parse().unwrap()
}

fn format_decisions(decisions: &[Decision]) -> String {
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

/// Guards against admission decisions that differ from those recorded in the scenario files.
#[test]
fn admission_scenarios() {
    datadriven::walk("tests/decisions/scenarios", |f| {
        let mut admission = Admission::new(AdmissionConfig { queue: 2, ..Default::default() });
        f.run(|case| {
            let now = at(number_arg(case, "at"));
            let input = match case.directive.as_str() {
                "announce" => Input::Announce {
                    slots: u16::try_from(number_arg(case, "slots")).unwrap(),
                    connections: 120,
                },
                "call" => Input::Arrive(Arrival {
                    id: number_arg(case, "id"),
                    caller: case.args.get("caller").map_or(0, |c| c[0].parse().unwrap()),
                    class: case
                        .args
                        .get("class")
                        .map_or(Criticality::Normal, |class| Criticality::from_text(&class[0])),
                    deadline: at(number_arg(case, "deadline")),
                    objective: None,
                    work: 0,
                    is_inner: false,
                }),
                "answer" => Input::Finish(number_arg(case, "id"), RunEnd::Answered),
                "leave" => Input::Cancel(number_arg(case, "id")),
                "time" => Input::Tick,
                "drain" => Input::Drain,
                other => panic!("unknown directive {other}"),
            };
            let decisions = admission.step(now, input);
            format_decisions(&decisions) + &format!("load {}\n", admission.load(now))
        });
    });
}
