//! Emulated platform table with the row of one move, on simulated time.

use rand::rngs::SmallRng;
use rand::Rng;
use sycamore_moves::plan::{end, settle, Change, MoveRow, Outcome, Settled};

/// Answer to a write.
#[derive(Debug)]
pub enum Answer {
    /// The row after the write, with its revision.
    Row(Box<MoveRow>, u64),
    /// Another writer's outcome is recorded; this one's was not written.
    Conflict,
    /// The answer was lost after the write took effect or failed.
    Lost,
    /// The platform is unavailable; nothing was written.
    Out,
}

/// Table with one row, its revision and the faults of the platform.
pub struct Table {
    row: MoveRow,
    revision: u64,
    /// Time until which the platform is unavailable, in milliseconds.
    out_until_ms: u64,
    /// Probability that an answer to a write is lost.
    lost_answers: f64,
    /// Number of outcomes written; more than 1 means that an outcome was overwritten.
    pub outcomes_written: usize,
}

impl Table {
    /// Creates a table that is unavailable until `out_until_ms` and loses an answer to a write with
    /// the probability `lost_answers`.
    pub fn new(row: MoveRow, out_until_ms: u64, lost_answers: f64) -> Self {
        Self { row, revision: 1, out_until_ms, lost_answers, outcomes_written: 0 }
    }

    /// Reads the row and its revision; `None` while the platform is unavailable.
    pub fn read(&self, now_ms: u64) -> Option<(MoveRow, u64)> {
        (now_ms >= self.out_until_ms).then(|| (self.row.clone(), self.revision))
    }

    /// Returns the row regardless of the platform's availability, for the observer of the trial.
    pub fn row(&self) -> &MoveRow {
        &self.row
    }

    /// Writes `outcome` if `based_on` is still the row's revision.
    pub fn write(
        &mut self,
        now_ms: u64,
        outcome: Outcome,
        based_on: u64,
        change: Change,
        rng: &mut SmallRng,
    ) -> Answer {
        if now_ms < self.out_until_ms {
            return Answer::Out;
        }
        let write = match end(&self.row, based_on, outcome, change) {
            Ok(write) => write,
            Err(_) => return Answer::Conflict,
        };
        if based_on == self.revision {
            self.row = write.row.clone();
            self.revision += 1;
            self.outcomes_written += 1;
        }
        if rng.random_bool(self.lost_answers) {
            return Answer::Lost;
        }
        match settle(&write, &self.row, self.revision) {
            Settled::Won | Settled::Unchanged => {
                Answer::Row(Box::new(self.row.clone()), self.revision)
            }
            Settled::Lost(_) => Answer::Conflict,
        }
    }
}
