//! Reads settings in YAML and reports all faults at once, each with its line and field.
//!
//! A derived deserializer stops at the first fault; an operator would then correct a file fault by
//! fault and restart the daemon after each.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;
use serde_norway::Mapping;
use serde_norway::Value;
use serde_with::DeserializeAs;
use serde_with::Same;
use serde_with::de::DeserializeAsWrap;

/// A fault of a settings text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The line, from 1; `None` if it is not known, as for a missing field.
    pub line: Option<usize>,
    /// The field, preceded by its section and a dot; empty if the text as a whole is invalid.
    pub field: String,
    /// Description of the fault.
    pub message: String,
}

/// All faults of a settings text, in the order of lines. Never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFaults {
    /// The faults.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(formatter, "line {line}: ")?;
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

impl fmt::Display for SettingsFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_faults(formatter, &self.faults)
    }
}

/// Writes faults separated by semicolons.
pub(crate) fn write_faults<T: fmt::Display>(
    formatter: &mut fmt::Formatter<'_>,
    faults: &[T],
) -> fmt::Result {
    for (index, fault) in faults.iter().enumerate() {
        if index > 0 {
            formatter.write_str("; ")?;
        }
        fault.fmt(formatter)?;
    }
    Ok(())
}

impl std::error::Error for SettingsFaults {}

/// Reads the fields of a settings text and collects their faults.
pub struct SettingsReader<'text> {
    text: &'text str,
    section: String,
    fields: Mapping,
    known: BTreeSet<&'static str>,
    faults: Vec<SettingsFault>,
}

impl<'text> SettingsReader<'text> {
    /// Parses a text; fails at once if it is not a YAML mapping.
    pub fn new(text: &'text str) -> Result<Self, SettingsFaults> {
        let parsed = serde_norway::from_str::<Value>(text);
        let fields = match parsed {
            Ok(Value::Mapping(fields)) => fields,
            Ok(_other) => return Err(invalid_yaml(None, "expected `field: value` lines")),
            Err(error) => {
                let line = error.location().map(|location| location.line());
                return Err(invalid_yaml(line, &error.to_string()));
            }
        };
        Ok(Self {
            text,
            section: String::new(),
            fields,
            known: BTreeSet::new(),
            faults: Vec::new(),
        })
    }

    /// Reads a required field; records a fault and returns `None` if it is missing or invalid.
    pub fn required<T: DeserializeOwned>(&mut self, field: &'static str) -> Option<T> {
        self.required_as::<T, Same>(field)
    }

    /// Reads a required field through the adapter `A`, with faults as in [`Self::required`].
    pub fn required_as<T, A>(&mut self, field: &'static str) -> Option<T>
    where
        A: for<'de> DeserializeAs<'de, T>,
    {
        let value = self.take(field);
        if value.is_none() {
            self.fault_at(None, field, "this field is missing");
        }
        self.convert::<T, A>(field, value?)
    }

    /// Reads a field with a default; records a fault and returns the default if it is invalid.
    pub fn optional<T: DeserializeOwned>(&mut self, field: &'static str, default: T) -> T {
        self.optional_as::<T, Same>(field, default)
    }

    /// Reads a field with a default through the adapter `A`.
    pub fn optional_as<T, A>(&mut self, field: &'static str, default: T) -> T
    where
        A: for<'de> DeserializeAs<'de, T>,
    {
        match self.take(field) {
            Some(value) => self.convert::<T, A>(field, value).unwrap_or(default),
            None => default,
        }
    }

    /// Reads a field with a default through the adapter `A`; records a fault if it is out of range.
    pub fn optional_within<T, A>(
        &mut self,
        field: &'static str,
        default: T,
        range: RangeInclusive<T>,
    ) -> T
    where
        T: PartialOrd + Clone + fmt::Debug,
        A: for<'de> DeserializeAs<'de, T>,
    {
        let value = self.optional_as::<T, A>(field, default.clone());
        if range.contains(&value) {
            return value;
        }
        let (least, most) = (range.start(), range.end());
        self.fault(field, &format!("must be from {least:?} to {most:?}"));
        default
    }

    /// Reads the fields of a section, all of which may be missing.
    pub fn section<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut SettingsReader<'text>) -> T,
    ) -> T {
        let fields = match self.take(field) {
            None => Mapping::new(),
            Some(Value::Mapping(fields)) => fields,
            Some(_other) => {
                self.fault(field, "expected a section of indented `field: value` lines");
                Mapping::new()
            }
        };
        let mut inner = SettingsReader {
            text: self.text,
            section: field.to_owned(),
            fields,
            known: BTreeSet::new(),
            faults: Vec::new(),
        };
        let result = read(&mut inner);
        inner.reject_unknown();
        self.faults.append(&mut inner.faults);
        result
    }

    /// Records a fault of a field that was read but has an invalid value.
    pub fn fault(&mut self, field: &str, message: &str) {
        let line = self.line_of(field);
        self.fault_at(line, field, message);
    }

    /// Returns the value if there was no fault, all faults otherwise. Unknown fields are faults.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, SettingsFaults> {
        self.reject_unknown();
        self.faults
            .sort_by_key(|fault| fault.line.unwrap_or(usize::MAX));
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(SettingsFaults {
                faults: self.faults,
            }),
        }
    }

    fn take(&mut self, field: &'static str) -> Option<Value> {
        self.known.insert(field);
        self.fields.remove(field)
    }

    fn convert<T, A>(&mut self, field: &'static str, value: Value) -> Option<T>
    where
        A: for<'de> DeserializeAs<'de, T>,
    {
        match serde_norway::from_value::<DeserializeAsWrap<T, A>>(value) {
            Ok(wrap) => Some(wrap.into_inner()),
            Err(error) => {
                self.fault(field, &error.to_string());
                None
            }
        }
    }

    fn reject_unknown(&mut self) {
        let known: Vec<&str> = self.known.iter().copied().collect();
        let known = known.join(", ");
        let unknown: Vec<String> = self
            .fields
            .keys()
            .map(|key| match key {
                Value::String(name) => name.clone(),
                other => format!("{other:?}"),
            })
            .collect();
        for field in unknown {
            self.fault(&field, &format!("no such field; there are {known}"));
        }
    }

    fn fault_at(&mut self, line: Option<usize>, field: &str, message: &str) {
        let field = if self.section.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.section)
        };
        self.faults.push(SettingsFault {
            line,
            field,
            message: message.to_owned(),
        });
    }

    /// The line of a field. The parser keeps no positions, so the text is searched for the key at
    /// the start of a line, within the field's section if it has one.
    fn line_of(&self, field: &str) -> Option<usize> {
        let mut lines = self.text.lines().zip(1..);
        if !self.section.is_empty() {
            lines.find(|(line, _number)| is_key(line, &self.section))?;
            return lines
                .take_while(|(line, _number)| line.is_empty() || line.starts_with([' ', '#']))
                .find(|(line, _number)| is_key(line.trim_start(), field))
                .map(|(_line, number)| number);
        }
        lines
            .find(|(line, _number)| is_key(line, field))
            .map(|(_line, number)| number)
    }
}

fn is_key(line: &str, field: &str) -> bool {
    let unquoted = line.trim_start_matches(['"', '\'']);
    unquoted
        .strip_prefix(field)
        .is_some_and(|rest| rest.trim_start_matches(['"', '\'', ' ']).starts_with(':'))
}

fn invalid_yaml(line: Option<usize>, message: &str) -> SettingsFaults {
    SettingsFaults {
        faults: vec![SettingsFault {
            line,
            field: String::new(),
            message: message.to_owned(),
        }],
    }
}
