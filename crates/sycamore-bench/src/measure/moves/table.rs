//! The platform's table with one move's row, on faked time.

use rand::rngs::SmallRng;
use rand::Rng;
use sycamore_moves::plan::{end, settle, Change, MoveRow, Outcome, Settled};

/// What a writer learns.
#[derive(Debug)]
pub enum Answer {
    /// The row as it stands now.
    Row(Box<MoveRow>, u64),
    /// Somebody else's outcome stands.
    Conflict,
    /// No answer; the write may have taken effect.
    Lost,
    /// The platform is out.
    Out,
}

/// One row with its revision.
pub struct Table {
    row: MoveRow,
    revision: u64,
    out_until_ms: u64,
    lost_answers: f64,
    /// Outcomes written; more than one breaks a promise.
    pub outcomes_written: usize,
}

impl Table {
    /// A table that is out until `out_until_ms` and loses this part of its answers.
    pub fn new(row: MoveRow, out_until_ms: u64, lost_answers: f64) -> Self {
        Self { row, revision: 1, out_until_ms, lost_answers, outcomes_written: 0 }
    }

    /// The row and its revision.
    pub fn read(&self, now_ms: u64) -> Option<(MoveRow, u64)> {
        (now_ms >= self.out_until_ms).then(|| (self.row.clone(), self.revision))
    }

    /// The row, whether the platform is out or not.
    pub fn row(&self) -> &MoveRow {
        &self.row
    }

    /// Writes `outcome` where `based_on` is still the revision.
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
