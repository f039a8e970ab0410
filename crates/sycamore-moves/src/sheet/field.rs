//! Columns of the sheet and parsing of their fields.

use super::{parse_time, Fault, Problem};
use crate::plan::{MoveSpec, OnTimeout};
use crate::ramp::MIN_WINDOW;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::id::IdError;
use sycamore_types::share::Share;
use sycamore_types::time::WallTime;

/// Lowest cap that a sheet may name, in basis points.
const MIN_CAP_BASIS_POINTS: f64 = 1.0;
/// Highest cap that a sheet may name, in basis points.
const MAX_CAP_BASIS_POINTS: f64 = 5_000.0;

/// Column of the sheet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Column {
    Move,
    Service,
    From,
    To,
    Start,
    Deadline,
    Cap,
    Watch,
    OnTimeout,
}

/// Columns of the sheet in their usual order.
pub(super) const COLUMNS: [Column; 9] = [
    Column::Move,
    Column::Service,
    Column::From,
    Column::To,
    Column::Start,
    Column::Deadline,
    Column::Cap,
    Column::Watch,
    Column::OnTimeout,
];

impl Column {
    pub(super) fn name(self) -> &'static str {
        match self {
            Column::Move => "move",
            Column::Service => "service",
            Column::From => "from",
            Column::To => "to",
            Column::Start => "start",
            Column::Deadline => "deadline",
            Column::Cap => "cap",
            Column::Watch => "watch",
            Column::OnTimeout => "on_timeout",
        }
    }

    pub(super) fn from_name(name: &str) -> Option<Self> {
        COLUMNS.into_iter().find(|column| column.name().eq_ignore_ascii_case(name))
    }

    pub(super) fn is_required(self) -> bool {
        !matches!(self, Column::Cap | Column::Watch | Column::OnTimeout)
    }
}

/// Parses the fields of one row and collects their faults.
pub(super) struct RowReader<'a> {
    header: &'a BTreeMap<Column, usize>,
    record: &'a csv::StringRecord,
    line: u64,
    faults: Vec<Fault>,
}

impl<'a> RowReader<'a> {
    pub(super) fn new(
        header: &'a BTreeMap<Column, usize>,
        record: &'a csv::StringRecord,
        line: u64,
    ) -> Self {
        Self { header, record, line, faults: Vec::new() }
    }

    /// Parses the row; a move that names no cap gets `default_cap`.
    pub(super) fn read(mut self, default_cap: Share) -> Result<MoveSpec, Vec<Fault>> {
        let mv = self.required(Column::Move, id);
        let service = self.required(Column::Service, id);
        let from = self.required(Column::From, id);
        let to = self.required(Column::To, id);
        let start = self.required(Column::Start, parse_time);
        let deadline = self.required(Column::Deadline, parse_time);
        let cap = self.optional(Column::Cap, share);
        let watch = self.optional(Column::Watch, duration);
        let on_timeout = self.optional(Column::OnTimeout, timeout_rule);
        if from.is_some() && from == to {
            self.fault(Column::To, Problem::SameVersion);
        }
        if let (Some(start), Some(deadline)) = (start, deadline) {
            self.check_window(start, deadline, watch);
        }
        match (mv, service, from, to, start, deadline) {
            (Some(mv), Some(service), Some(from), Some(to), Some(start), Some(deadline))
                if self.faults.is_empty() =>
            {
                let cap = cap.unwrap_or(default_cap);
                let on_timeout = on_timeout.unwrap_or_default();
                Ok(MoveSpec { mv, service, from, to, start, deadline, cap, watch, on_timeout })
            }
            _ => Err(self.faults),
        }
    }

    fn check_window(&mut self, start: WallTime, deadline: WallTime, watch: Option<Duration>) {
        let window = deadline.since(start);
        if deadline <= start {
            self.fault(Column::Deadline, Problem::DeadlineNotAfterStart);
        } else if window < MIN_WINDOW {
            self.fault(Column::Deadline, Problem::WindowTooShort);
        } else if watch.is_some_and(|watch| watch > window / 2) {
            self.fault(Column::Watch, Problem::WatchTooLong);
        }
    }

    fn text(&self, column: Column) -> &'a str {
        let index = self.header.get(&column);
        index.and_then(|index| self.record.get(*index)).unwrap_or("").trim()
    }

    fn required<T>(&mut self, column: Column, read: fn(&str) -> Result<T, Problem>) -> Option<T> {
        if self.text(column).is_empty() {
            self.fault(column, Problem::MissingField);
            return None;
        }
        self.optional(column, read)
    }

    fn optional<T>(&mut self, column: Column, read: fn(&str) -> Result<T, Problem>) -> Option<T> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        read(text).map_err(|problem| self.fault(column, problem)).ok()
    }

    fn fault(&mut self, column: Column, problem: Problem) {
        let index = self.header.get(&column).copied().unwrap_or(self.record.len());
        self.faults.push(Fault::at(self.line, index, column.name(), problem));
    }
}

fn id<T: std::str::FromStr<Err = IdError>>(text: &str) -> Result<T, Problem> {
    text.parse().map_err(Problem::BadId)
}

/// Limits `cap` to the range allowed in a sheet.
pub(super) fn bounded_cap(cap: Share) -> Share {
    let points = f64::from(cap.basis_points()).clamp(MIN_CAP_BASIS_POINTS, MAX_CAP_BASIS_POINTS);
    // The value is within the allowed range, so the conversion is exact.
    Share::from_basis_points(points as u16)
}

/// Parses a share in percent, with either decimal mark: `5`, `5%` or `7,5 %`.
fn share(text: &str) -> Result<Share, Problem> {
    let number = text.trim_end_matches('%').trim_end().replace(',', ".");
    let percent: f64 = number.parse().map_err(|_| Problem::BadShare)?;
    let points = (percent * 100.0).round();
    if !(MIN_CAP_BASIS_POINTS..=MAX_CAP_BASIS_POINTS).contains(&points) {
        return Err(Problem::BadShare);
    }
    // The value is within the allowed range, so the conversion is exact.
    Ok(Share::from_basis_points(points as u16))
}

/// Parses a whole number with a unit: `500ms`, `45s`, `15m`, `15min` or `2h`.
fn duration(text: &str) -> Result<Duration, Problem> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit()).ok_or(Problem::BadDuration)?;
    let (number, unit) = text.split_at(unit_at);
    let number: u64 = number.parse().map_err(|_| Problem::BadDuration)?;
    let unit_ms = match unit.trim() {
        "ms" => 1,
        "s" => 1_000,
        "m" | "min" => 60_000,
        "h" => 3_600_000,
        _ => return Err(Problem::BadDuration),
    };
    number.checked_mul(unit_ms).map(Duration::from_millis).ok_or(Problem::BadDuration)
}

fn timeout_rule(text: &str) -> Result<OnTimeout, Problem> {
    match text.to_ascii_lowercase().as_str() {
        "take-back" => Ok(OnTimeout::TakeBack),
        "hold" => Ok(OnTimeout::Hold),
        _ => Err(Problem::BadTimeoutRule),
    }
}
