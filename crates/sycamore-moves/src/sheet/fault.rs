//! Faults of a sheet, each with its place.

use serde::Serialize;
use std::fmt;
use sycamore_types::id::IdError;

/// A fault and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Line in the sheet, from 1; 0 for the sheet as a whole.
    pub line: u64,
    /// Column in the sheet, from 1; 0 for the line as a whole.
    pub column: usize,
    /// Name of the column.
    pub name: String,
    /// What is wrong.
    #[serde(serialize_with = "as_text")]
    pub problem: Problem,
}

fn as_text<S: serde::Serializer>(problem: &Problem, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(problem)
}

/// What is wrong with a sheet or a field of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Problem {
    /// The sheet is larger than allowed; holds its size in bytes.
    SheetTooLarge(usize),
    /// The sheet is not UTF-8; holds the byte offset where it stops being so.
    NotUtf8(usize),
    /// The sheet holds no move.
    Empty,
    /// The sheet holds more moves than allowed.
    TooManyMoves,
    /// A record could not be read as CSV; holds the reader's message.
    Unreadable(String),
    /// The header names a column that is not known.
    UnknownColumn,
    /// The header names a column twice.
    RepeatedColumn,
    /// The header lacks a required column.
    MissingColumn,
    /// A required field is empty.
    MissingField,
    /// A field is no identifier.
    BadId(IdError),
    /// A field is no time with a zone.
    BadTime(String),
    /// A local time that the zone skips or repeats.
    AmbiguousTime,
    /// A field is no share between 0.01% and 50%.
    BadShare,
    /// A field is no duration.
    BadDuration,
    /// A field is neither `take-back` nor `hold`.
    BadTimeoutRule,
    /// The old and the new version are the same.
    SameVersion,
    /// The deadline is not after the start.
    DeadlineNotAfterStart,
    /// The watch period leaves no time for the ramp.
    WatchTooLong,
    /// The time between start and deadline is too short for any ramp.
    WindowTooShort,
    /// The move's name stands already on the line given.
    RepeatedMove(u64),
    /// The move overlaps in time with one of the same service, on the line given.
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
                write!(f, "{bytes} bytes, at most {} are allowed", super::MAX_SHEET_BYTES)
            }
            Problem::NotUtf8(offset) => write!(f, "not UTF-8 from byte {offset} on"),
            Problem::Empty => write!(f, "no moves"),
            Problem::TooManyMoves => write!(f, "more than {} moves", super::MAX_MOVES),
            Problem::Unreadable(message) => write!(f, "not readable as CSV: {message}"),
            Problem::UnknownColumn => write!(f, "unknown column"),
            Problem::RepeatedColumn => write!(f, "column named twice"),
            Problem::MissingColumn => write!(f, "required column is missing"),
            Problem::MissingField => write!(f, "required field is empty"),
            Problem::BadId(error) => write!(f, "{error}"),
            Problem::BadTime(text) => write!(
                f,
                "{text:?} is no time with a zone, such as \"2026-12-04 06:30 Europe/Zagreb\""
            ),
            Problem::AmbiguousTime => {
                write!(f, "the clocks change at this local time; give it with an offset")
            }
            Problem::BadShare => write!(f, "no share from 0.01% to 50%"),
            Problem::BadDuration => write!(f, "no duration, such as 45s, 15m or 2h"),
            Problem::BadTimeoutRule => write!(f, "neither take-back nor hold"),
            Problem::SameVersion => write!(f, "the same as the old version"),
            Problem::DeadlineNotAfterStart => write!(f, "not after the start"),
            Problem::WatchTooLong => {
                write!(f, "takes more than half of the time from start to deadline")
            }
            Problem::WindowTooShort => write!(f, "less than five seconds after the start"),
            Problem::RepeatedMove(line) => write!(f, "named on line {line} already"),
            Problem::Overlap(line) => {
                write!(f, "overlaps with the move of the same service on line {line}")
            }
        }
    }
}
