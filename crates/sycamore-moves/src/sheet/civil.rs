//! Parsing of local times with a time zone, in the formats that planners use.

use super::Problem;
use jiff::civil::{Date, DateTime, Time};
use jiff::tz::{Offset, TimeZone};
use sycamore_types::time::WallTime;

/// Parses a date, a time and a time zone: `2026-12-04 06:30 Europe/Zagreb`, `04.12.2026 06:30:15
/// +01:00`, `2026-12-04T06:30:00Z` or `2026-12-04T06:30[Asia/Kolkata]`.
///
/// # Errors
/// [`Problem::BadTime`] if the text has none of these forms, [`Problem::AmbiguousTime`] if the zone
/// skips or repeats the local time.
pub fn parse_time(text: &str) -> Result<WallTime, Problem> {
    let bad = || Problem::BadTime(text.to_owned());
    let (date, rest) = split_date(text.trim()).ok_or_else(bad)?;
    let (time, zone) = split_zone(rest).ok_or_else(bad)?;
    let date = read_date(date).ok_or_else(bad)?;
    let time = read_time(time).ok_or_else(bad)?;
    let zone = read_zone(zone).ok_or_else(bad)?;
    let stamp = zone
        .to_ambiguous_timestamp(DateTime::from_parts(date, time))
        .unambiguous()
        .map_err(|_| Problem::AmbiguousTime)?;
    u64::try_from(stamp.as_millisecond()).map(WallTime).map_err(|_| bad())
}

fn split_date(text: &str) -> Option<(&str, &str)> {
    let (date, rest) = text.split_once([' ', 'T'])?;
    Some((date, rest.trim_start()))
}

fn split_zone(text: &str) -> Option<(&str, &str)> {
    let end = text.find(|c: char| !(c.is_ascii_digit() || c == ':'))?;
    let (time, zone) = text.split_at(end);
    let zone = zone.trim();
    let zone = zone.strip_prefix('[').and_then(|zone| zone.strip_suffix(']')).unwrap_or(zone);
    Some((time, zone))
}

fn read_date(text: &str) -> Option<Date> {
    let (year, month, day) = match text.split(['-', '.']).collect::<Vec<_>>()[..] {
        [year, month, day] if text.contains('-') => (year, month, day),
        [day, month, year] => (year, month, day),
        _ => return None,
    };
    if year.len() != 4 {
        return None;
    }
    Date::new(year.parse().ok()?, month.parse().ok()?, day.parse().ok()?).ok()
}

fn read_time(text: &str) -> Option<Time> {
    let parts: Vec<i8> = text.split(':').map(str::parse).collect::<Result<_, _>>().ok()?;
    match parts[..] {
        [hour, minute] => Time::new(hour, minute, 0, 0).ok(),
        [hour, minute, second] => Time::new(hour, minute, second, 0).ok(),
        _ => None,
    }
}

fn read_zone(text: &str) -> Option<TimeZone> {
    match text {
        "" => None,
        "Z" | "z" => Some(TimeZone::UTC),
        _ if text.starts_with(['+', '-']) => read_offset(text),
        name => TimeZone::get(name).ok(),
    }
}

fn read_offset(text: &str) -> Option<TimeZone> {
    let (sign, digits) = text.split_at(1);
    let (hours, minutes) = digits.split_once(':').unwrap_or((digits, "0"));
    let (hours, minutes): (i32, i32) = (hours.parse().ok()?, minutes.parse().ok()?);
    if !(0..=14).contains(&hours) || !(0..60).contains(&minutes) {
        return None;
    }
    let seconds = hours * 3_600 + minutes * 60;
    let seconds = if sign == "-" { -seconds } else { seconds };
    Some(TimeZone::fixed(Offset::from_seconds(seconds).ok()?))
}
