//! Encoding of reports as protocol buffers with sparse histograms.

use super::{CallerCounts, Cell, Counts, Report, Totals, CALLER_BUCKETS, MAX_CELLS};
use prost::Message;
use std::fmt;
use sycamore_types::id::IdError;
use sycamore_types::prelude::*;

/// Maximum size of an encoded report, in bytes.
pub const MAX_REPORT_BYTES: usize = 32 << 10;

#[derive(Clone, PartialEq, Message)]
struct WireReport {
    #[prost(string, tag = "1")]
    mv: String,
    #[prost(string, tag = "2")]
    instance: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    seq: u64,
    #[prost(string, tag = "5")]
    version: String,
    #[prost(bool, tag = "6")]
    confirmed: bool,
    #[prost(uint64, tag = "7")]
    cold: u64,
    #[prost(uint64, tag = "8")]
    crashes: u64,
    /// For each bucket of callers, the number of calls and the number of bad ones.
    #[prost(uint64, repeated, tag = "9")]
    callers: Vec<u64>,
    #[prost(message, repeated, tag = "10")]
    cells: Vec<WireCell>,
    #[prost(uint64, tag = "11")]
    generation: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireCell {
    #[prost(string, tag = "1")]
    route: String,
    #[prost(uint32, tag = "2")]
    band: u32,
    #[prost(uint64, tag = "3")]
    ok: u64,
    #[prost(uint64, tag = "4")]
    failed: u64,
    #[prost(uint64, tag = "5")]
    rejected: u64,
    #[prost(uint64, tag = "6")]
    shed: u64,
    /// For each bucket that is not empty, its index and its count.
    #[prost(uint32, repeated, tag = "7")]
    latency: Vec<u32>,
}

/// Error in decoding a report.
#[derive(Debug, Clone, PartialEq)]
pub enum CodecError {
    /// The message is longer than [`MAX_REPORT_BYTES`]; holds its length in bytes.
    TooLarge(usize),
    /// The bytes are not a protocol buffer of the report's type.
    Malformed(prost::DecodeError),
    /// A field is not a valid identifier.
    BadId(IdError),
    /// A list has a wrong length, or a load band is out of range.
    BadShape,
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::TooLarge(bytes) => write!(
                f,
                "evidence report of {bytes} bytes exceeds the limit of {MAX_REPORT_BYTES} bytes"
            ),
            CodecError::Malformed(error) => write!(f, "malformed evidence report: {error}"),
            CodecError::BadId(error) => {
                write!(f, "evidence report with an invalid identifier: {error}")
            }
            CodecError::BadShape => {
                write!(f, "evidence report with a list or load band out of range")
            }
        }
    }
}

impl std::error::Error for CodecError {}

impl From<IdError> for CodecError {
    fn from(error: IdError) -> Self {
        CodecError::BadId(error)
    }
}

/// Encodes a report for [`decode`].
pub fn encode(report: &Report) -> Vec<u8> {
    let wire = WireReport {
        mv: report.mv.to_string(),
        instance: report.instance.to_string(),
        incarnation: report.incarnation.0,
        generation: report.generation.0,
        seq: report.seq,
        version: report.version.to_string(),
        confirmed: report.confirmed,
        cold: report.totals.cold,
        crashes: report.totals.crashes,
        callers: report.totals.callers.iter().flat_map(|c| [c.calls, c.bad]).collect(),
        cells: report.totals.cells.iter().map(|(cell, counts)| encode_cell(cell, counts)).collect(),
    };
    wire.encode_to_vec()
}

fn encode_cell(cell: &Cell, counts: &Counts) -> WireCell {
    // Bucket indexes are below BUCKETS and fit.
    let latency = counts.latency.non_empty().flat_map(|(bucket, count)| [bucket as u32, count]);
    WireCell {
        route: cell.route.to_string(),
        band: u32::from(cell.band),
        ok: counts.ok,
        failed: counts.failed,
        rejected: counts.rejected,
        shed: counts.shed,
        latency: latency.collect(),
    }
}

/// Decodes a report of [`encode`].
///
/// # Errors
/// [`CodecError`] if the bytes are too many, are malformed or hold a value out of range.
pub fn decode(bytes: &[u8]) -> Result<Report, CodecError> {
    if bytes.len() > MAX_REPORT_BYTES {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    let wire = WireReport::decode(bytes).map_err(CodecError::Malformed)?;
    if wire.callers.len() != 2 * CALLER_BUCKETS || wire.cells.len() > MAX_CELLS {
        return Err(CodecError::BadShape);
    }
    let mut totals = Totals { cold: wire.cold, crashes: wire.crashes, ..Totals::default() };
    for (counts, pair) in totals.callers.iter_mut().zip(wire.callers.chunks_exact(2)) {
        *counts = CallerCounts { calls: pair[0], bad: pair[1] };
    }
    for cell in &wire.cells {
        let band = u8::try_from(cell.band).map_err(|_| CodecError::BadShape)?;
        totals.cells.insert(Cell { route: cell.route.parse()?, band }, decode_cell(cell)?);
    }
    Ok(Report {
        mv: wire.mv.parse()?,
        instance: wire.instance.parse()?,
        incarnation: Incarnation(wire.incarnation),
        generation: Incarnation(wire.generation),
        seq: wire.seq,
        version: wire.version.parse()?,
        confirmed: wire.confirmed,
        totals,
    })
}

fn decode_cell(wire: &WireCell) -> Result<Counts, CodecError> {
    if !wire.latency.len().is_multiple_of(2) {
        return Err(CodecError::BadShape);
    }
    let mut counts = Counts {
        ok: wire.ok,
        failed: wire.failed,
        rejected: wire.rejected,
        shed: wire.shed,
        ..Counts::default()
    };
    for pair in wire.latency.chunks_exact(2) {
        counts.latency.add(pair[0] as usize, pair[1]);
    }
    Ok(counts)
}
