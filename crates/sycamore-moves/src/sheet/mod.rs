//! Parsing of the planners' sheet, a CSV text, into moves; a sheet with any fault is refused whole.

mod civil;
mod fault;
mod field;

pub use civil::parse_time;
pub use fault::{Fault, Problem};

use crate::plan::{MoveSpec, DEFAULT_CAP};
use field::{Column, RowReader, COLUMNS};
use std::collections::BTreeMap;
use sycamore_types::share::Share;

/// Maximum size of a sheet, in bytes.
pub const MAX_SHEET_BYTES: usize = 1 << 20;
/// Maximum number of moves in one sheet.
pub const MAX_MOVES: usize = 500;
/// Maximum number of faults reported for one sheet; a longer list would not help the planner.
pub const MAX_FAULTS: usize = 200;

const BYTE_ORDER_MARK: &str = "\u{feff}";

/// Parses a sheet; a move that names no cap gets [`DEFAULT_CAP`].
///
/// # Errors
/// The faults that [`parse_with_cap`] returns.
pub fn parse(sheet: &[u8]) -> Result<Vec<MoveSpec>, Vec<Fault>> {
    parse_with_cap(sheet, DEFAULT_CAP)
}

/// Parses a sheet; a move that names no cap gets `cap`, limited to the range allowed in a sheet.
///
/// The delimiter is `;` or `,`, whichever occurs more often in the header. A byte-order mark, CRLF
/// line ends, quoted fields, blank rows and any order of columns are accepted.
///
/// # Errors
/// The faults of the sheet in order of line and column, at most [`MAX_FAULTS`].
pub fn parse_with_cap(sheet: &[u8], cap: Share) -> Result<Vec<MoveSpec>, Vec<Fault>> {
    if sheet.len() > MAX_SHEET_BYTES {
        return Err(vec![Fault::of_sheet(Problem::SheetTooLarge(sheet.len()))]);
    }
    let text = std::str::from_utf8(sheet)
        .map_err(|error| vec![Fault::of_sheet(Problem::NotUtf8(error.valid_up_to()))])?;
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut reader = csv::ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .delimiter(delimiter(text))
        .from_reader(text.as_bytes());
    let mut records = reader.records().filter(|record| !is_blank(record));
    let header = match records.next() {
        None => return Err(vec![Fault::of_sheet(Problem::Empty)]),
        Some(record) => read_header(record)?,
    };
    read_rows(&header, records, field::bounded_cap(cap))
}

fn delimiter(text: &str) -> u8 {
    let header = text.lines().find(|line| !line.trim().is_empty()).unwrap_or("");
    if header.matches(';').count() > header.matches(',').count() {
        b';'
    } else {
        b','
    }
}

fn is_blank(record: &csv::Result<csv::StringRecord>) -> bool {
    matches!(record, Ok(record) if record.iter().all(|field| field.trim().is_empty()))
}

/// Index of each known column within a record.
type Header = BTreeMap<Column, usize>;

fn read_header(record: csv::Result<csv::StringRecord>) -> Result<Header, Vec<Fault>> {
    let record = record.map_err(|error| vec![unreadable(&error)])?;
    let line = line_of(&record);
    let mut header = Header::new();
    let mut faults = Vec::new();
    for (index, name) in record.iter().enumerate() {
        let name = name.trim();
        match Column::from_name(name) {
            None if name.is_empty() => {}
            None => faults.push(Fault::at(line, index, name, Problem::UnknownColumn)),
            Some(column) => {
                if header.insert(column, index).is_some() {
                    faults.push(Fault::at(line, index, name, Problem::RepeatedColumn));
                }
            }
        }
    }
    for column in COLUMNS.iter().filter(|column| column.is_required()) {
        if !header.contains_key(column) {
            faults.push(Fault::at(line, record.len(), column.name(), Problem::MissingColumn));
        }
    }
    if faults.is_empty() {
        Ok(header)
    } else {
        Err(faults)
    }
}

fn read_rows(
    header: &Header,
    records: impl Iterator<Item = csv::Result<csv::StringRecord>>,
    cap: Share,
) -> Result<Vec<MoveSpec>, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut rows: Vec<(u64, MoveSpec)> = Vec::new();
    for record in records {
        match record {
            Err(error) => faults.push(unreadable(&error)),
            Ok(record) => {
                let line = line_of(&record);
                match RowReader::new(header, &record, line).read(cap) {
                    Ok(spec) => rows.push((line, spec)),
                    Err(of_row) => faults.extend(of_row),
                }
            }
        }
        if rows.len() > MAX_MOVES {
            faults.push(Fault::of_sheet(Problem::TooManyMoves));
            break;
        }
    }
    faults.extend(check_across_rows(header, &rows));
    if rows.is_empty() && faults.is_empty() {
        faults.push(Fault::of_sheet(Problem::Empty));
    }
    if faults.is_empty() {
        return Ok(rows.into_iter().map(|(_, spec)| spec).collect());
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    faults.truncate(MAX_FAULTS);
    Err(faults)
}

/// Finds faults between rows: repeated names and overlapping moves of one service.
fn check_across_rows(header: &Header, rows: &[(u64, MoveSpec)]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (i, (line, spec)) in rows.iter().enumerate() {
        for (earlier_line, earlier) in &rows[..i] {
            let at =
                |column: Column, problem| Fault::at(*line, header[&column], column.name(), problem);
            if earlier.mv == spec.mv {
                faults.push(at(Column::Move, Problem::RepeatedMove(*earlier_line)));
            } else if earlier.service == spec.service && overlap(earlier, spec) {
                faults.push(at(Column::Start, Problem::Overlap(*earlier_line)));
            }
        }
    }
    faults
}

fn overlap(a: &MoveSpec, b: &MoveSpec) -> bool {
    a.start < b.deadline && b.start < a.deadline
}

fn line_of(record: &csv::StringRecord) -> u64 {
    record.position().map_or(0, csv::Position::line)
}

/// Creates the fault of a record that is not valid CSV.
fn unreadable(error: &csv::Error) -> Fault {
    let line = error.position().map_or(0, csv::Position::line);
    Fault { line, column: 0, name: String::new(), problem: Problem::Unreadable(error.to_string()) }
}
