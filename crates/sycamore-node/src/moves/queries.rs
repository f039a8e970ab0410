//! The operator queries `plans`, `moves` and `report`.

use super::state::State;
use super::{rows, Moves};
use crate::operator::OperatorError;
use serde_json::{json, Value};
use sycamore_moves::plan::{PlanRow, MOVE_PREFIX};
use sycamore_moves::report::{report, MoveReport};
use sycamore_platform::{PageQuery, Table};
use sycamore_types::prelude::*;

/// Key prefix of plans' rows.
const PLAN_PREFIX: &str = "plan/";
/// Maximum number of plans in one answer; further ones are left out.
const MAX_PLANS: usize = 500;

impl Moves {
    /// Answers the query `plans`: every plan with its moves and state.
    ///
    /// # Errors
    /// [`OperatorError::Unavailable`] if the platform does not answer.
    pub async fn plans(&self) -> Result<Value, OperatorError> {
        let query = PageQuery { prefix: PLAN_PREFIX, after: "", limit: MAX_PLANS };
        let page = self.state.platform.http().list(query).await.map_err(|report| {
            let error = report.current_context();
            OperatorError::Unavailable(format!("the platform is unavailable: {error}"))
        })?;
        let plans = page.rows.iter().filter_map(|row| {
            let plan: PlanRow = serde_json::from_value(row.value.clone()).ok()?;
            Some(json!({
                "plan": plan.plan,
                "revision": row.revision.0,
                "operator": plan.author.to_string(),
                "moves": plan.moves,
                "state": plan_state(&self.state, &plan),
            }))
        });
        Ok(json!({ "plans": plans.collect::<Vec<_>>() }))
    }

    /// Answers the query `moves`: the moves of `plan`, or all known moves if it is `None`.
    ///
    /// # Errors
    /// [`OperatorError`] if the plan is unknown or the platform is unavailable.
    pub async fn moves(&self, plan: Option<&str>) -> Result<Value, OperatorError> {
        self.report(plan).await
    }

    /// Answers the query `report`: the moves of `plan`, or all known moves if it is `None`.
    ///
    /// # Errors
    /// [`OperatorError`] if the plan is unknown or the platform is unavailable.
    pub async fn report(&self, plan: Option<&str>) -> Result<Value, OperatorError> {
        let plan = match plan {
            None => None,
            Some(text) => Some(PlanId::new(text).map_err(OperatorError::bad_input)?),
        };
        let mut reports = self.reports(plan.as_ref());
        if let (Some(plan), true) = (&plan, reports.is_empty()) {
            let answered = rows::read_all(&self.state, &format!("{MOVE_PREFIX}{plan}/")).await;
            reports = self.reports(Some(plan));
            match (reports.is_empty(), answered) {
                (true, true) => return Err(OperatorError::NotFound(format!("plan {plan}"))),
                (true, false) => {
                    return Err(OperatorError::Unavailable(
                        "the platform is unavailable".to_owned(),
                    ));
                }
                (false, _) => {}
            }
        }
        Ok(json!({ "moves": reports }))
    }

    /// Reports on the moves in memory, of `plan` only if it is given.
    fn reports(&self, plan: Option<&PlanId>) -> Vec<MoveReport> {
        let wall = self.state.hub.clock.wall();
        let moves = self.state.moves.borrow();
        let of_plan = moves
            .values()
            .filter(|entry| plan.is_none_or(|plan| entry.control.row().0.plan == *plan));
        of_plan.map(|entry| report(&entry.control, wall)).collect()
    }
}

/// Returns the state of a plan by the moves in memory; moves that were forgotten count as open.
fn plan_state(state: &State, plan: &PlanRow) -> &'static str {
    let moves = state.moves.borrow();
    let ended = plan
        .moves
        .iter()
        .filter(|mv| moves.get(mv).is_some_and(|entry| entry.control.row().0.is_ended()));
    match ended.count() {
        0 => "open",
        count if count == plan.moves.len() => "ended",
        _ => "partly ended",
    }
}
