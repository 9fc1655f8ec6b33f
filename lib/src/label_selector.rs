//! Label selectors, which say which upstreams may carry a service's traffic.
//!
//! The syntax is the usual one of label selectors: requirements separated by commas, all of which
//! must hold. [`crate::selector_parser`] parses it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use smol_str::SmolStr;

use crate::selector_parser;
use crate::selector_parser::SelectorError;

/// The labels of an upstream, by key.
pub type LabelMap = BTreeMap<SmolStr, SmolStr>;

/// A parsed selector; an upstream matches if every requirement holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelSelector {
    /// Never empty: a selector without requirements would match every upstream, and an empty text
    /// is more often a mistake than intended.
    requirements: Vec<LabelRequirement>,
}

/// One requirement of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelRequirement {
    /// The label's key.
    pub key: SmolStr,
    /// The condition on the label.
    pub condition: LabelCondition,
}

/// The condition of a requirement on a label.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LabelCondition {
    /// `key = value`: the label exists and has this value.
    Equals(SmolStr),
    /// `key != value`: the label is absent or has another value.
    Differs(SmolStr),
    /// `key in (a, b)`: the label exists and has one of these values.
    In(BTreeSet<SmolStr>),
    /// `key notin (a, b)`: the label is absent or has none of these values.
    NotIn(BTreeSet<SmolStr>),
    /// `key`: the label exists.
    Exists,
    /// `!key`: the label is absent.
    Absent,
}

impl LabelSelector {
    /// Parses a selector; the error names the column.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        let requirements = selector_parser::parse(text)?;
        Ok(Self { requirements })
    }

    /// Whether the labels meet every requirement.
    pub fn matches(&self, labels: &LabelMap) -> bool {
        self.unmet(labels).next().is_none()
    }

    /// The requirements that the labels do not meet, in the order of the text.
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
    /// Whether the labels meet this requirement.
    pub fn holds(&self, labels: &LabelMap) -> bool {
        let value = labels.get(&self.key);
        match &self.condition {
            LabelCondition::Equals(wanted) => value == Some(wanted),
            LabelCondition::Differs(unwanted) => value != Some(unwanted),
            LabelCondition::In(wanted) => value.is_some_and(|value| wanted.contains(value)),
            LabelCondition::NotIn(unwanted) => !value.is_some_and(|value| unwanted.contains(value)),
            LabelCondition::Exists => value.is_some(),
            LabelCondition::Absent => value.is_none(),
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
        match &self.condition {
            LabelCondition::Equals(value) => write!(formatter, "{key} = {value}"),
            LabelCondition::Differs(value) => write!(formatter, "{key} != {value}"),
            LabelCondition::In(values) => write!(formatter, "{key} in ({})", join_values(values)),
            LabelCondition::NotIn(values) => {
                write!(formatter, "{key} notin ({})", join_values(values))
            }
            LabelCondition::Exists => write!(formatter, "{key}"),
            LabelCondition::Absent => write!(formatter, "!{key}"),
        }
    }
}

fn join_values(values: &BTreeSet<SmolStr>) -> String {
    let texts: Vec<&str> = values.iter().map(SmolStr::as_str).collect();
    texts.join(", ")
}
