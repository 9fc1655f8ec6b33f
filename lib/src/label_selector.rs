//! Selectors: which labels an upstream must have to carry a service's traffic.
//!
//! The syntax is the usual one of label selectors: requirements separated by commas, all of which
//! must hold. [`crate::selector_parser`] reads it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use smol_str::SmolStr;

use crate::selector_parser;
use crate::selector_parser::SelectorError;

/// Labels of an upstream, by key.
pub type LabelMap = BTreeMap<SmolStr, SmolStr>;

/// A parsed selector; an upstream matches when every requirement holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelSelector {
    /// Never empty: a selector without requirements would give a service every upstream, and an
    /// empty text is far more often a mistake.
    requirements: Vec<LabelRequirement>,
}

/// One requirement of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelRequirement {
    /// The label's key.
    pub key: SmolStr,
    /// What must hold of the label.
    pub test: LabelTest,
}

/// What a requirement asks of a label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LabelTest {
    /// `key = value`: it is there and has this value.
    Equals(SmolStr),
    /// `key != value`: it is absent or has another value.
    Differs(SmolStr),
    /// `key in (a, b)`: it is there and has one of these values.
    In(BTreeSet<SmolStr>),
    /// `key notin (a, b)`: it is absent or has none of these values.
    NotIn(BTreeSet<SmolStr>),
    /// `key`: it is there.
    Exists,
    /// `!key`: it is absent.
    Absent,
}

impl LabelSelector {
    /// Parses a selector; the error names the column.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        let requirements = selector_parser::parse(text)?;
        Ok(Self { requirements })
    }

    /// Whether labels meet every requirement.
    pub fn matches(&self, labels: &LabelMap) -> bool {
        self.unmet(labels).next().is_none()
    }

    /// The requirements that labels do not meet, in the order written.
    pub fn unmet<'a>(
        &'a self,
        labels: &'a LabelMap,
    ) -> impl Iterator<Item = &'a LabelRequirement> + 'a {
        self.requirements
            .iter()
            .filter(|requirement| !requirement.holds(labels))
    }
}

impl LabelRequirement {
    /// Whether labels meet this requirement.
    pub fn holds(&self, labels: &LabelMap) -> bool {
        let value = labels.get(&self.key);
        match &self.test {
            LabelTest::Equals(wanted) => value == Some(wanted),
            LabelTest::Differs(unwanted) => value != Some(unwanted),
            LabelTest::In(wanted) => value.is_some_and(|value| wanted.contains(value)),
            LabelTest::NotIn(unwanted) => !value.is_some_and(|value| unwanted.contains(value)),
            LabelTest::Exists => value.is_some(),
            LabelTest::Absent => value.is_none(),
        }
    }
}

impl fmt::Display for LabelSelector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements.iter().enumerate() {
            if index > 0 {
                formatter.write_str(", ")?;
            }
            requirement.fmt(formatter)?;
        }
        Ok(())
    }
}

impl fmt::Display for LabelRequirement {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match &self.test {
            LabelTest::Equals(value) => write!(formatter, "{key} = {value}"),
            LabelTest::Differs(value) => write!(formatter, "{key} != {value}"),
            LabelTest::In(values) => write!(formatter, "{key} in ({})", joined(values)),
            LabelTest::NotIn(values) => write!(formatter, "{key} notin ({})", joined(values)),
            LabelTest::Exists => write!(formatter, "{key}"),
            LabelTest::Absent => write!(formatter, "!{key}"),
        }
    }
}

fn joined(values: &BTreeSet<SmolStr>) -> String {
    let texts: Vec<&str> = values.iter().map(SmolStr::as_str).collect();
    texts.join(", ")
}
