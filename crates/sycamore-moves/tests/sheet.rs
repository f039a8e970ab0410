//! Tests of parsing the planners' sheet.

use quickcheck::quickcheck;
use std::time::Duration;
use sycamore_moves::plan::OnTimeout;
use sycamore_moves::sheet::{parse, parse_time, parse_with_cap, Problem};
use sycamore_types::prelude::*;

const HEADER: &str = "move,service,from,to,start,deadline,cap,watch,on_timeout\n";

/// Returns the texts of the faults of `sheet`.
fn texts(sheet: &str) -> Vec<String> {
    let faults = parse(sheet.as_bytes()).expect_err("the sheet has faults");
    faults.iter().map(ToString::to_string).collect()
}

#[test]
fn parses_a_spreadsheet_export_with_byte_order_mark_quotes_and_blank_rows() {
    let sheet = "\u{feff}Move;Service;From;To;Start;Deadline;Cap;Watch;On_Timeout\r\n\
        \"counter-43\";counter;4.2.0;4.3.0;04.12.2026 06:30 Europe/Zagreb;\
        2026-12-04 08:00 Europe/Zagreb;7,5 %;15m;hold\r\n;;;;;;;;\r\n\
        slots-9;slotdesk;8;9;2026-12-04T06:30[Asia/Kolkata];2026-12-04 07:30:30 +05:30;;;\r\n";
    let moves = parse(sheet.as_bytes()).expect("the sheet is right");
    assert_eq!(moves.len(), 2);
    assert_eq!(moves[0].start, WallTime(1_796_362_200_000));
    assert_eq!(moves[0].cap, Share::from_basis_points(750));
    assert_eq!(moves[0].watch, Some(Duration::from_secs(900)));
    assert_eq!(moves[0].on_timeout, OnTimeout::Hold);
    assert_eq!(moves[1].cap, Share::from_basis_points(500));
    assert_eq!(moves[1].watch, None);
    assert_eq!(moves[1].on_timeout, OnTimeout::TakeBack);
    assert_eq!(moves[1].deadline.since(moves[1].start), Duration::from_secs(3_630));
}

#[test]
fn a_move_without_a_cap_gets_the_configured_cap_within_the_allowed_range() {
    let set = Share::from_basis_points(200);
    let window = "2026-12-04 06:30 UTC,2026-12-04 07:00 UTC";
    let sheet = format!("{HEADER}a,counter,1,2,{window},,,\nb,slots,1,2,{window},7%,,\n");
    let moves = parse_with_cap(sheet.as_bytes(), set).expect("the sheet is right");
    assert_eq!(moves[0].cap, set);
    assert_eq!(moves[1].cap, Share::from_basis_points(700));
    let sheet = format!("move,service,from,to,start,deadline\na,counter,1,2,{window}\n");
    assert_eq!(parse_with_cap(sheet.as_bytes(), set).expect("right")[0].cap, set);
    let of = |set| parse_with_cap(sheet.as_bytes(), set).expect("right")[0].cap;
    assert_eq!(of(Share::ALL), Share::from_basis_points(5_000));
    assert_eq!(of(Share::NONE), Share::from_basis_points(1));
}

#[test]
fn reports_every_fault_with_line_and_column() {
    let sheet = format!(
        "{HEADER}a,counter,1,1,2026-12-04 06:30,2026-12-04 05:00 UTC,90%,soon,maybe\n\
         a b,counter,1,,2026-12-04 06:30 UTC,2026-12-04 07:00 UTC,,,\n"
    );
    let faults = texts(&sheet);
    let starts = |place: &str| faults.iter().filter(|text| text.starts_with(place)).count();
    for place in [
        "line 2, column 4 (to)",
        "line 2, column 5 (start)",
        "line 2, column 7 (cap)",
        "line 2, column 8 (watch)",
        "line 2, column 9 (on_timeout)",
        "line 3, column 1 (move)",
        "line 3, column 4 (to)",
    ] {
        assert_eq!(starts(place), 1, "{place} in {faults:#?}");
    }
    assert_eq!(faults.len(), 7);
}

#[test]
fn reports_unknown_repeated_and_missing_columns() {
    let faults = texts("move,service,from,to,start,deadlin,move\nx\n");
    assert_eq!(faults.len(), 3, "{faults:?}");
    assert!(faults[0].contains("deadlin"));
    assert!(faults[2].contains("required column is missing"));
}

#[test]
fn reports_repeated_and_overlapping_moves() {
    let row = |name: &str, start: &str, end: &str| {
        format!("{name},counter,1,2,2026-12-04 {start} UTC,2026-12-04 {end} UTC,,,\n")
    };
    let sheet = [
        HEADER,
        &row("a", "06:00", "07:00"),
        &row("a", "08:00", "09:00"),
        &row("b", "06:30", "07:30"),
    ]
    .concat();
    let faults = texts(&sheet);
    assert_eq!(faults.len(), 2, "{faults:?}");
    assert!(faults[0].contains("already named on line 2"));
    assert!(faults[1].contains("overlaps"));
}

#[test]
fn a_local_time_that_the_clocks_skip_or_repeat_is_a_fault() {
    let skipped = parse_time("2026-03-29 02:30 Europe/Zagreb");
    let repeated = parse_time("2026-10-25 02:30 Europe/Zagreb");
    assert_eq!(skipped, Err(Problem::AmbiguousTime));
    assert_eq!(repeated, Err(Problem::AmbiguousTime));
    assert!(parse_time("2026-10-25 02:30 +02:00").is_ok());
    assert!(parse_time("2026-10-25 02:30").is_err());
}

#[test]
fn oversized_empty_and_non_utf8_sheets_are_refused() {
    let large = vec![b'x'; sycamore_moves::sheet::MAX_SHEET_BYTES + 1];
    assert!(parse(&large).is_err());
    assert!(parse(b"").is_err());
    assert!(parse(HEADER.as_bytes()).is_err());
    assert!(parse(&[0xff, 0xfe, 0x00]).is_err());
}

quickcheck! {
    fn parsing_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let _ = parse(&bytes);
        let _ = parse(&[HEADER.as_bytes(), &bytes].concat());
        true
    }

    fn parsing_an_arbitrary_time_does_not_panic(text: String) -> bool {
        let _ = parse_time(&text);
        true
    }
}
