//! `serde_with` adapters for durations, sizes and shares that are written with their unit.

use serde::{de, Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};
use std::borrow::Cow;
use std::time::Duration;
use sycamore_types::share::Share;

/// Adapter for a [`Duration`] written with its unit: `250ms`, `3s`, `2m`, `1h`.
pub struct Span;

/// Adapter for a number of bytes written with its unit: `512B`, `64KB`, `8MB` (powers of 1,024).
pub struct Size;

/// Adapter for a [`Share`] of traffic written in percent: `5%`, `0.5%`.
pub struct Percent;

/// Units of durations, in milliseconds.
const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
/// Units of sizes, in bytes.
const SIZE_UNITS: [(&str, u64); 4] = [("KB", 1 << 10), ("MB", 1 << 20), ("GB", 1 << 30), ("B", 1)];

/// Parses `text` as a whole number with one of `units` and returns the number in the base unit;
/// `None` if it is something else or overflows.
fn parse_with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (unit, factor) = units.iter().find(|(unit, _)| {
        text.strip_suffix(unit).is_some_and(|rest| rest.ends_with(|c: char| c.is_ascii_digit()))
    })?;
    let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
    number.checked_mul(*factor)
}

/// Formats `value` with the largest of `units` that divides it.
fn format_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let mut fitting: Vec<_> =
        units.iter().filter(|(_, factor)| value.is_multiple_of(*factor)).collect();
    fitting.sort_by_key(|(_, factor)| *factor);
    match fitting.last() {
        Some((unit, factor)) if value > 0 => format!("{}{unit}", value / factor),
        _ => format!("{value}{}", units[0].0),
    }
}

fn deserialize_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Cow<'de, str>, D::Error> {
    Cow::deserialize(deserializer)
}

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = deserialize_text(deserializer)?;
        parse_with_unit(text.trim(), &DURATION_UNITS).map(Duration::from_millis).ok_or_else(|| {
            de::Error::custom(format!(
                "{text:?} is not a duration; expected a whole number with a unit, such as 250ms, \
                 3s, 2m or 1h"
            ))
        })
    }
}

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        let millis = u64::try_from(source.as_millis()).unwrap_or(u64::MAX);
        serializer.serialize_str(&format_with_unit(millis, &DURATION_UNITS))
    }
}

impl<'de> DeserializeAs<'de, u64> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = deserialize_text(deserializer)?;
        parse_with_unit(text.trim(), &SIZE_UNITS).ok_or_else(|| {
            de::Error::custom(format!(
                "{text:?} is not a size; expected a whole number with a unit, such as 512B, 64KB, \
                 8MB or 1GB"
            ))
        })
    }
}

impl SerializeAs<u64> for Size {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_with_unit(*source, &SIZE_UNITS))
    }
}

impl<'de> DeserializeAs<'de, Share> for Percent {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Share, D::Error> {
        let text = deserialize_text(deserializer)?;
        let percent = text.trim().strip_suffix('%').and_then(|number| number.parse::<f64>().ok());
        match percent {
            Some(percent) if (0.0..=100.0).contains(&percent) => {
                Ok(Share::from_basis_points((percent * 100.0).round() as u16))
            }
            _ => Err(de::Error::custom(format!(
                "{text:?} is not a share; expected a percentage up to 100%, such as 0.5% or 5%"
            ))),
        }
    }
}

impl SerializeAs<Share> for Percent {
    fn serialize_as<S: Serializer>(source: &Share, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}%", f64::from(source.basis_points()) / 100.0))
    }
}
