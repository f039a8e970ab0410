//! Tests of importing plans, of ending and aborting moves, and of settling lost answers.

mod support;

use support::{change, now, outcome, spec};
use sycamore_moves::plan::{
    abort, end, import, move_key, order_move, settle, Author, ImportRefusal, MoveRow, OutcomeKind,
    RowError, Settled, Stored, Summary,
};
use sycamore_moves::ramp::MAX_STEPS;
use sycamore_types::prelude::*;

fn plan() -> PlanId {
    PlanId::new("morning").expect("valid")
}

/// Returns the table after a first import of `specs`.
fn stored_after(specs: &[sycamore_moves::plan::MoveSpec]) -> Stored {
    let imported = import(&plan(), specs, &Stored::default(), &change("ana", 1)).expect("imports");
    let plan = imported.plan.expect("there is something to write");
    let moves = imported.moves.into_iter().map(|w| (w.row.spec.mv.clone(), (w.row, 1)));
    Stored { plan: Some((plan.row, 1)), moves: moves.collect() }
}

#[test]
fn importing_twice_writes_nothing_the_second_time() {
    let specs = [spec("a"), spec("b")];
    let again = import(&plan(), &specs, &stored_after(&specs), &change("ana", 2)).expect("imports");
    assert_eq!(again.plan, None);
    assert!(again.moves.is_empty());
    assert_eq!(again.diff.same.len(), 2);
}

#[test]
fn importing_the_same_sheet_after_its_deadlines_writes_nothing() {
    let specs = [spec("a")];
    let stored = stored_after(&specs);
    let mut late = change("ana", 2);
    late.at = specs[0].deadline + std::time::Duration::from_secs(1);
    assert!(import(&plan(), &specs, &stored, &late).expect("imports").moves.is_empty());
}

#[test]
fn importing_a_changed_sheet_reports_and_writes_only_the_differences() {
    let old = [spec("a"), spec("b"), spec("c")];
    let mut new = vec![spec("a"), spec("b"), spec("d")];
    new[1].cap = Share::from_basis_points(900);
    let stored = stored_after(&old);
    let imported = import(&plan(), &new, &stored, &change("ana", 2)).expect("imports");
    assert_eq!(imported.diff.added.len(), 1);
    assert_eq!(imported.diff.changed[0].1[0].field, "cap");
    assert_eq!(imported.diff.missing.len(), 1);
    let revisions: Vec<u64> = imported.moves.iter().map(|write| write.revision).collect();
    assert_eq!(revisions, [1, 0]);
}

#[test]
fn one_refused_move_refuses_the_whole_sheet() {
    let stored = stored_after(&[spec("a")]);
    let mut changed = spec("a");
    changed.cap = Share::from_basis_points(900);
    let mut late = change("ana", 2);
    late.at = changed.start;
    let error = import(&plan(), &[changed, spec("b")], &stored, &late).expect_err("refused");
    assert_eq!(error.refusals, [(spec("a").mv, ImportRefusal::Begun)]);
}

#[test]
fn a_move_that_overlaps_with_one_of_another_plan_is_refused() {
    let stored = stored_after(&[spec("a")]);
    let mut other = spec("b");
    other.service = spec("a").service;
    let error = import(&plan(), &[other], &stored, &change("ana", 2)).expect_err("refused");
    assert_eq!(error.refusals[0].1, ImportRefusal::Overlap(spec("a").mv));
}

fn row() -> MoveRow {
    stored_after(&[spec("a")]).moves.into_values().next().expect("one").0
}

#[test]
fn the_second_of_two_concurrent_aborts_reports_the_first_operator() {
    let first = abort(&row(), 1, "smoke", Summary::default(), change("ana", 7)).expect("open");
    let second = abort(&row(), 1, "fire", Summary::default(), change("ivo", 8)).expect("open");
    // The table took the first abort; the second is settled against the row in force.
    match settle(&second, &first.row, 2) {
        Settled::Lost(conflict) => {
            assert!(matches!(conflict.winner, Author::Operator(name) if name.as_str() == "ana"));
            assert_eq!(conflict.op, OpId(7));
        }
        other => panic!("{other:?}"),
    }
    let third = abort(&first.row, 2, "late", Summary::default(), change("ivo", 9));
    assert!(third.expect_err("ended").to_string().contains("operator ana was first"));
}

#[test]
fn a_write_with_a_lost_answer_is_settled_from_the_row_read_back() {
    let write = end(&row(), 1, outcome(OutcomeKind::Done), change("ana", 7)).expect("open");
    assert_eq!(settle(&write, &write.row, 2), Settled::Won);
    assert_eq!(settle(&write, &row(), 1), Settled::Unchanged);
    let same_by_other = MoveRow { op: OpId(99), ..write.row.clone() };
    assert_eq!(settle(&write, &same_by_other, 2), Settled::Won);
}

#[test]
fn a_move_that_has_an_outcome_takes_no_other() {
    let write = end(&row(), 1, outcome(OutcomeKind::TakenBack), change("ana", 7)).expect("open");
    assert!(end(&write.row, 2, outcome(OutcomeKind::Done), change("ivo", 8)).is_err());
}

#[test]
fn a_row_survives_json_and_fits_into_a_fact() {
    let text = serde_json::to_string(&row()).expect("encodes");
    assert!(text.len() <= sycamore_types::fact::MAX_ROW_BYTES, "{} bytes", text.len());
    assert_eq!(serde_json::from_str::<MoveRow>(&text).expect("decodes"), row());
    assert_eq!(now(), row().at);
}

fn ordered(service: &str, to: &str, revision: u64) -> MoveId {
    let service = ServiceName::new(service).expect("valid");
    order_move(&service, &UpstreamVersion::new(to).expect("valid"), revision)
}

// Guards against a node that ends at an order for a service whose name is no identifier, and against two
// such services with one move.
#[test]
fn orders_for_services_of_any_name_have_distinct_moves() {
    let names = ["Repair desk", "Repair_desk", "Repair/desk", "Popravke \u{10d}akovec", "\u{10d}"];
    let moves: std::collections::BTreeSet<MoveId> =
        names.into_iter().map(|name| ordered(name, "v2", 7)).collect();
    assert_eq!(moves.len(), names.len(), "{moves:?}");
    assert_eq!(ordered("counter", "v2", 7).as_str(), "counter.v2.7");
}

// Guards against orders that are never planned: the parts of the identifier may each be valid and
// together be longer than an identifier.
#[test]
fn orders_with_the_longest_names_have_distinct_moves() {
    let (longest, other) = ("s".repeat(64), "s".repeat(63) + "t");
    let orders = [(&longest, &longest), (&other, &longest), (&longest, &other), (&other, &other)];
    let revisions = [1, 1_000_000, u64::MAX - 1, u64::MAX];
    let moves: std::collections::BTreeSet<MoveId> = revisions
        .into_iter()
        .flat_map(|revision| orders.map(|(service, to)| ordered(service, to, revision)))
        .collect();
    assert_eq!(moves.len(), orders.len() * revisions.len());
    assert!(moves.iter().all(|mv| mv.as_str().len() <= 64), "{moves:?}");
}

// Guards against nodes of two builds that plan an order twice: rows hold the identifiers that an
// older build gave.
#[test]
fn identifiers_of_orders_with_short_names_are_their_parts() {
    assert_eq!(ordered("counter", "v2", 417).as_str(), "counter.v2.417");
    let (service, to) = ("s".repeat(30), "t".repeat(30));
    assert_eq!(ordered(&service, &to, 42).as_str(), format!("{service}.{to}.42"));
    let hashed = ordered(&service, &to, 421);
    assert_ne!(hashed.as_str(), format!("{service}.{to}.421"));
    assert_eq!(hashed, ordered(&service, &to, 421), "every node gives the same");
}

/// Guards against a row of another writer that ends the process of every node which reads it: a schedule
/// without steps, or with more than the work of a tick allows, a share beyond all traffic, and a row that
/// takes the place of another move.
#[test]
fn a_row_that_is_no_valid_move_is_not_decoded() {
    let row = stored_after(&[spec("a")]).moves.into_values().next().expect("one move").0;
    let key = move_key(&row.plan, &row.spec.mv);
    let value = serde_json::to_value(&row).expect("a row serialises");
    assert_eq!(MoveRow::decode(&key, &value).as_ref(), Ok(&row));
    assert_eq!(MoveRow::decode_text(&value.to_string()), Ok(row));
    let step = value["schedule"]["steps"][0].clone();
    for steps in [0, 1, MAX_STEPS + 1] {
        let mut odd = value.clone();
        odd["schedule"]["steps"] = vec![step.clone(); steps].into();
        assert_eq!(MoveRow::decode(&key, &odd), Err(RowError::Steps(steps)));
        assert_eq!(MoveRow::decode_text(&odd.to_string()), Err(RowError::Steps(steps)));
    }
    let mut odd = value.clone();
    odd["schedule"]["steps"][0]["share"] = 10_001.into();
    let refused = MoveRow::decode(&key, &odd);
    assert!(matches!(refused, Err(RowError::Malformed(_))), "{refused:?}");
    let misplaced = MoveRow::decode("move/morning/b", &value);
    assert!(matches!(misplaced, Err(RowError::Misplaced { .. })), "{misplaced:?}");
    assert!(MoveRow::decode(&key, &serde_json::Value::Null).is_err());
}
