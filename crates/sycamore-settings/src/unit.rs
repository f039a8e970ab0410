//! `serde_with` adapters for durations, sizes and shares that are written with their unit.

use serde::{de, Deserialize, Deserializer, Serializer};
use serde_with::{DeserializeAs, SerializeAs};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_types::id::ServiceName;
use sycamore_types::share::Share;

/// Adapter for a [`Duration`] written with its unit: `250ms`, `3s`, `2.5s`, `2m`, `1h`.
pub struct Span;

/// Adapter for an optional [`Duration`], written like a [`Span`]; empty for `None`.
pub struct OptionalSpan;

/// Adapter for an optional number of things; empty for `None`. A fraction is rounded down, as the
/// settings' source may divide a bound.
pub struct OptionalCount;

/// Adapter for a number of bytes written with its unit: `512B`, `64KB`, `8MB` (powers of 1,024).
pub struct Size;

/// Adapter for a [`Share`] of traffic written in percent: `5%`, `0.5%`.
pub struct Percent;

/// Adapter for [`Share`]s of services, written as `counter:2%, intake:0%`; empty for none.
pub struct ServiceShares;

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

/// Parses `text` as a duration in whole milliseconds; a number with a decimal point is rounded.
fn parse_span(text: &str) -> Option<Duration> {
    let text = text.trim();
    if let Some(millis) = parse_with_unit(text, &DURATION_UNITS) {
        return Some(Duration::from_millis(millis));
    }
    let (unit, factor) = DURATION_UNITS.iter().find(|(unit, _)| {
        text.strip_suffix(unit).is_some_and(|rest| rest.ends_with(|c: char| c.is_ascii_digit()))
    })?;
    let number = text.strip_suffix(unit)?;
    let is_decimal = number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let millis = number.parse::<f64>().ok().filter(|_| is_decimal)? * *factor as f64;
    Duration::try_from_secs_f64(millis.round() / 1_000.0).ok()
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
        parse_span(&text).ok_or_else(|| {
            de::Error::custom(format!(
                "{text:?} is not a duration; expected a number with a unit, such as 250ms, 2.5s, \
                 2m or 1h"
            ))
        })
    }
}

impl<'de> DeserializeAs<'de, Option<Duration>> for OptionalSpan {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
        let text = deserialize_text(deserializer)?;
        match text.trim() {
            "" => Ok(None),
            text => Span::deserialize_as(de::value::StrDeserializer::new(text)).map(Some),
        }
    }
}

impl SerializeAs<Option<Duration>> for OptionalSpan {
    fn serialize_as<S: Serializer>(
        source: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match source {
            Some(time) => Span::serialize_as(time, serializer),
            None => serializer.serialize_str(""),
        }
    }
}

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        let millis = u64::try_from(source.as_millis()).unwrap_or(u64::MAX);
        serializer.serialize_str(&format_with_unit(millis, &DURATION_UNITS))
    }
}

impl<'de> DeserializeAs<'de, Option<u32>> for OptionalCount {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Option<u32>, D::Error> {
        let text = deserialize_text(deserializer)?;
        match text.trim() {
            "" => Ok(None),
            number => match number.parse::<f64>() {
                Ok(count) if (0.0..=f64::from(u32::MAX)).contains(&count) => Ok(Some(count as u32)),
                _ => Err(de::Error::custom(format!(
                    "{number:?} is not a number; expected 0 or more"
                ))),
            },
        }
    }
}

impl SerializeAs<Option<u32>> for OptionalCount {
    fn serialize_as<S: Serializer>(source: &Option<u32>, serializer: S) -> Result<S::Ok, S::Error> {
        match source {
            Some(count) => serializer.collect_str(count),
            None => serializer.serialize_str(""),
        }
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

impl<'de> DeserializeAs<'de, BTreeMap<ServiceName, Share>> for ServiceShares {
    fn deserialize_as<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<ServiceName, Share>, D::Error> {
        let text = deserialize_text(deserializer)?;
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        let share = |part: &str| {
            let (name, share) = part.rsplit_once(':').ok_or_else(|| {
                de::Error::custom(format!(
                    "{part:?} is not a service with its share; expected counter:2%"
                ))
            })?;
            let name = ServiceName::new(name.trim()).map_err(de::Error::custom)?;
            let share = Percent::deserialize_as(de::value::StrDeserializer::new(share.trim()))?;
            Ok((name, share))
        };
        parts.map(share).collect()
    }
}

impl SerializeAs<BTreeMap<ServiceName, Share>> for ServiceShares {
    fn serialize_as<S: Serializer>(
        source: &BTreeMap<ServiceName, Share>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let part = |(name, share): (&ServiceName, &Share)| {
            format!("{name}:{}%", f64::from(share.basis_points()) / 100.0)
        };
        serializer.serialize_str(&source.iter().map(part).collect::<Vec<_>>().join(", "))
    }
}
