//! Reports formatted as a table for terminals.

use super::{MoveReport, State};
use jiff::Timestamp;
use sycamore_types::time::WallTime;

const HEADER: [&str; 9] =
    ["move", "service", "versions", "state", "share", "deadline", "decided", "calls", "reason"];

/// Formats one line per move under a header, with columns aligned by spaces.
pub fn table(reports: &[MoveReport]) -> String {
    let mut rows = vec![HEADER.map(str::to_owned)];
    rows.extend(reports.iter().map(row));
    let widths = widths(&rows);
    rows.iter().map(|row| line(row, &widths)).collect()
}

fn row(report: &MoveReport) -> [String; 9] {
    [
        report.mv.to_string(),
        report.service.to_string(),
        format!("{} -> {}", report.from, report.to),
        state(report.state).to_owned(),
        report.share.to_string(),
        time(Some(report.deadline)),
        time(report.decided),
        report.evidence.calls.to_string(),
        report.reason.clone(),
    ]
}

fn state(state: State) -> &'static str {
    match state {
        State::Planned => "planned",
        State::NotKnownYet => "not known yet",
        State::Done => "done",
        State::TakenBack => "taken back",
    }
}

fn time(at: Option<WallTime>) -> String {
    let millis = at.and_then(|at| i64::try_from(at.0).ok());
    let stamp = millis.and_then(|millis| Timestamp::from_millisecond(millis).ok());
    stamp.map_or_else(|| "-".to_owned(), |stamp| stamp.strftime("%F %TZ").to_string())
}

fn widths(rows: &[[String; 9]]) -> [usize; 9] {
    let mut widths = [0; 9];
    for row in rows {
        for (width, field) in widths.iter_mut().zip(row) {
            *width = (*width).max(field.chars().count());
        }
    }
    widths
}

fn line(row: &[String; 9], widths: &[usize; 9]) -> String {
    let fields = row.iter().zip(widths).map(|(field, width)| format!("{field:width$}"));
    let line = fields.collect::<Vec<_>>().join("  ");
    format!("{}\n", line.trim_end())
}
