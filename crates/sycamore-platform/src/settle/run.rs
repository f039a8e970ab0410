//! Sends the requests of a proposal to the platform's table.

use super::{Answer, Proposal, Settle, SettleSettings, Settled, Stamped, Step};
use crate::error::Error;
use crate::table::{Condition, Revision, Table, Transacted, Transaction, Write};
use error_stack::Report;
use serde_json::Value;
use std::time::Duration;

/// Sends `proposal` and resolves lost answers by reading its row back.
///
/// Returns when the result is known, or after the number of failed requests in `settings`. `seed`
/// determines the backoff delays. Cancelling the future leaves the result unknown.
pub async fn propose(
    table: &impl Table,
    proposal: Proposal<'_>,
    settings: &SettleSettings,
    seed: u64,
) -> Settled {
    let mut settle = Settle::new(proposal.key, proposal.op, proposal.base, settings, seed);
    let key = proposal.key.to_owned();
    let transaction = build_transaction(proposal);
    let mut step = Step::Write(Duration::ZERO);
    loop {
        let answer = match step {
            Step::Write(delay) => {
                sleep_if_nonzero(delay).await;
                send_write(table, &key, &transaction).await
            }
            Step::Read(delay) => {
                sleep_if_nonzero(delay).await;
                read_row(table, &key).await
            }
            Step::Done(settled) => return settled,
        };
        step = settle.step(answer);
    }
}

fn build_transaction(proposal: Proposal<'_>) -> Transaction {
    let base = proposal.base.and_then(|row| serde_json::from_value(row.value.clone()).ok());
    let stamped = Stamped::after::<Value>(base.as_ref(), proposal.op, proposal.body);
    let value = serde_json::to_value(stamped).expect("JSON objects serialise");
    let revision = proposal.base.map_or(Revision::ABSENT, |row| row.revision);
    let mut conditions = vec![Condition { key: proposal.key.to_owned(), revision }];
    conditions.extend(proposal.conditions);
    let mut writes = vec![Write { key: proposal.key.to_owned(), value: Some(value) }];
    writes.extend(proposal.writes);
    Transaction { conditions, writes }
}

async fn send_write(table: &impl Table, key: &str, transaction: &Transaction) -> Answer {
    match table.transact(transaction).await {
        Ok(Transacted::Committed { revisions }) => {
            Answer::Committed(revisions.get(key).copied().unwrap_or_default())
        }
        Ok(Transacted::Conflicted { conflicts }) => Answer::Conflicted(conflicts),
        Err(report) => write_failure(&report),
    }
}

async fn read_row(table: &impl Table, key: &str) -> Answer {
    match table.get(key).await {
        Ok(row) => Answer::Read(row),
        Err(_) => Answer::Failed { may_have_run: false },
    }
}

fn write_failure(report: &Report<Error>) -> Answer {
    Answer::Failed { may_have_run: report.current_context().may_have_run() }
}

async fn sleep_if_nonzero(delay: Duration) {
    if !delay.is_zero() {
        monoio::time::sleep(delay).await;
    }
}
