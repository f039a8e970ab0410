//! Faults of a sheet, each with its line and column.

use serde::Serialize;
use std::fmt;
use sycamore_types::id::IdError;

/// Fault of a sheet and its place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Line in the sheet, from 1; 0 for the sheet as a whole.
    pub line: u64,
    /// Column in the sheet, from 1; 0 for the line as a whole.
    pub column: usize,
    /// Name of the column; empty for the sheet or line as a whole.
    pub name: String,
    /// Problem found there; written as its text.
    #[serde(serialize_with = "as_text")]
    pub problem: Problem,
}

fn as_text<S: serde::Serializer>(problem: &Problem, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(problem)
}

/// Problem with a sheet or one of its fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Problem {
    /// The sheet is larger than [`MAX_SHEET_BYTES`](super::MAX_SHEET_BYTES); holds its size in
    /// bytes.
    SheetTooLarge(usize),
    /// The sheet is not valid UTF-8; holds the byte offset of the first invalid sequence.
    NotUtf8(usize),
    /// The sheet contains no move.
    Empty,
    /// The sheet contains more than [`MAX_MOVES`](super::MAX_MOVES) moves.
    TooManyMoves,
    /// A record is not valid CSV; holds the CSV reader's message.
    Unreadable(String),
    /// The header names an unknown column.
    UnknownColumn,
    /// The header names a column twice.
    RepeatedColumn,
    /// The header lacks a required column.
    MissingColumn,
    /// A required field is empty.
    MissingField,
    /// A field is not a valid identifier.
    BadId(IdError),
    /// A field is not a time with a zone; holds its text.
    BadTime(String),
    /// The zone skips or repeats the local time in a field.
    AmbiguousTime,
    /// A field is not a share from 0.01% to 50%.
    BadShare,
    /// A field is not a duration with a unit.
    BadDuration,
    /// A field is neither `take-back` nor `hold`.
    BadTimeoutRule,
    /// The old and the new version are the same.
    SameVersion,
    /// The deadline is not after the start.
    DeadlineNotAfterStart,
    /// The watch period takes more than half of the time from start to deadline.
    WatchTooLong,
    /// The time from start to deadline is shorter than [`MIN_WINDOW`](crate::ramp::MIN_WINDOW).
    WindowTooShort,
    /// An earlier line has a move of the same name; holds that line's number.
    RepeatedMove(u64),
    /// The move overlaps in time with one of the same service; holds that move's line number.
    Overlap(u64),
}

impl Fault {
    pub(super) fn at(line: u64, index: usize, name: impl Into<String>, problem: Problem) -> Self {
        Self { line, column: index + 1, name: name.into(), problem }
    }

    pub(super) fn of_sheet(problem: Problem) -> Self {
        Self { line: 0, column: 0, name: String::new(), problem }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.column) {
            (0, _) => write!(f, "sheet: {}", self.problem),
            (line, 0) => write!(f, "line {line}: {}", self.problem),
            (line, column) => {
                write!(f, "line {line}, column {column} ({}): {}", self.name, self.problem)
            }
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::SheetTooLarge(bytes) => {
                write!(f, "{bytes} bytes exceed the limit of {}", super::MAX_SHEET_BYTES)
            }
            Problem::NotUtf8(offset) => write!(f, "not UTF-8 from byte {offset} on"),
            Problem::Empty => write!(f, "contains no moves"),
            Problem::TooManyMoves => write!(f, "contains more than {} moves", super::MAX_MOVES),
            Problem::Unreadable(message) => write!(f, "not readable as CSV: {message}"),
            Problem::UnknownColumn => write!(f, "unknown column"),
            Problem::RepeatedColumn => write!(f, "column named twice"),
            Problem::MissingColumn => write!(f, "required column is missing"),
            Problem::MissingField => write!(f, "required field is empty"),
            Problem::BadId(error) => write!(f, "{error}"),
            Problem::BadTime(text) => write!(
                f,
                "{text:?} is not a time with a zone, such as \"2026-12-04 06:30 Europe/Zagreb\""
            ),
            Problem::AmbiguousTime => {
                write!(
                    f,
                    "the clocks change at this local time; give it with an offset such as +02:00"
                )
            }
            Problem::BadShare => write!(f, "not a share from 0.01% to 50%"),
            Problem::BadDuration => write!(f, "not a duration, such as 45s, 15m or 2h"),
            Problem::BadTimeoutRule => write!(f, "neither take-back nor hold"),
            Problem::SameVersion => write!(f, "the same as the old version"),
            Problem::DeadlineNotAfterStart => write!(f, "not after the start"),
            Problem::WatchTooLong => {
                write!(f, "takes more than half of the time from start to deadline")
            }
            Problem::WindowTooShort => write!(f, "less than five seconds after the start"),
            Problem::RepeatedMove(line) => write!(f, "already named on line {line}"),
            Problem::Overlap(line) => {
                write!(f, "overlaps with the move of the same service on line {line}")
            }
        }
    }
}
