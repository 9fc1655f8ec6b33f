//! Parsing and formatting of quantities with a unit, as in settings: `5s`, `25KiB`.
//!
//! The `serde_with` adapters let fields keep the standard types.

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;
use snafu::Snafu;

/// Why a quantity cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum UnitError {
    /// The text does not begin with a whole number.
    #[snafu(display("`{text}` does not begin with a whole number"))]
    Number {
        /// The text.
        text: String,
    },
    /// The unit is missing or unknown.
    #[snafu(display("`{text}` needs one of the units {units}"))]
    Unit {
        /// The text.
        text: String,
        /// The accepted units.
        units: &'static str,
    },
    /// The quantity is too large.
    #[snafu(display("`{text}` is too large"))]
    TooLarge {
        /// The text.
        text: String,
    },
}

/// Adapter for a [`Duration`] with a unit: `ms`, `s`, `m` or `h`.
pub struct DurationText;

/// Adapter for a number of bytes with a unit: `B`, `KB`, `KiB`, `MB`, `MiB`.
pub struct ByteText;

/// A quantity as YAML parses it. `90` without a unit is a number in YAML; it is accepted here so
/// that the error names the missing unit instead of a wrong type.
#[derive(Deserialize)]
#[serde(untagged)]
enum QuantityText {
    Text(String),
    Number(u64),
}

impl QuantityText {
    fn into_text(self) -> String {
        match self {
            Self::Text(text) => text,
            Self::Number(number) => number.to_string(),
        }
    }
}

const DURATION_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const BYTE_UNITS: [(&str, u64); 5] = [
    ("B", 1),
    ("KB", 1_000),
    ("KiB", 1_024),
    ("MB", 1_000_000),
    ("MiB", 1_048_576),
];

/// Parses a duration such as `250ms`.
pub fn parse_duration(text: &str) -> Result<Duration, UnitError> {
    let millis = parse_quantity(text, &DURATION_UNITS, "ms, s, m, h")?;
    Ok(Duration::from_millis(millis))
}

/// Parses a number of bytes such as `25KiB`.
pub fn parse_bytes(text: &str) -> Result<u64, UnitError> {
    parse_quantity(text, &BYTE_UNITS, "B, KB, KiB, MB, MiB")
}

/// Formats a duration in the largest unit that gives a whole number.
pub fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    format_quantity(millis, &DURATION_UNITS)
}

/// Formats a number of bytes in the largest unit that gives a whole number.
pub fn format_bytes(bytes: u64) -> String {
    format_quantity(bytes, &BYTE_UNITS)
}

fn parse_quantity(
    text: &str,
    table: &[(&str, u64)],
    units: &'static str,
) -> Result<u64, UnitError> {
    let trimmed = text.trim();
    let digits_end = trimmed
        .find(|character: char| !character.is_ascii_digit())
        .unwrap_or(trimmed.len());
    let (digits, unit) = trimmed.split_at(digits_end);
    if digits.is_empty() {
        return NumberSnafu { text }.fail();
    }
    let Ok(number) = digits.parse::<u64>() else {
        return TooLargeSnafu { text }.fail();
    };
    let unit = unit.trim_start();
    let Some((_name, factor)) = table.iter().find(|(name, _factor)| *name == unit) else {
        return UnitSnafu { text, units }.fail();
    };
    let Some(quantity) = number.checked_mul(*factor) else {
        return TooLargeSnafu { text }.fail();
    };
    Ok(quantity)
}

fn format_quantity(quantity: u64, table: &[(&str, u64)]) -> String {
    let whole = |(_name, factor): &&(&str, u64)| quantity != 0 && quantity.is_multiple_of(*factor);
    let (name, factor) = table
        .iter()
        .filter(whole)
        .max_by_key(|(_name, factor)| *factor)
        .unwrap_or(&table[0]);
    format!("{}{name}", quantity / factor)
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = QuantityText::deserialize(deserializer)?.into_text();
        parse_duration(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, u64> for ByteText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = QuantityText::deserialize(deserializer)?.into_text();
        parse_bytes(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<u64> for ByteText {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_bytes(*source))
    }
}
