//! Selectors: which labels an upstream must have to carry a service's traffic.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use snafu::Snafu;

/// Labels of an upstream, by key.
pub type LabelMap = BTreeMap<SmolStr, SmolStr>;

/// A parsed selector; an upstream matches when every requirement holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LabelSelector {
    requirements: Vec<LabelRequirement>,
}

/// One requirement of a selector.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LabelRequirement {
    /// The label is there and has this value.
    Equals {
        /// The label's key.
        key: SmolStr,
        /// The value it must have.
        value: SmolStr,
    },
}

/// Why a selector cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SelectorError {
    /// A requirement is not of the form `key=value`.
    #[snafu(display("column {column}: expected `key=value`"))]
    Expected {
        /// Where it begins, from 1.
        column: usize,
    },
}

impl LabelSelector {
    /// Parses requirements separated by commas.
    pub fn parse(text: &str) -> Result<Self, SelectorError> {
        let mut requirements = Vec::new();
        let mut column = 1;
        for part in text.split(',') {
            requirements.push(parse_requirement(part, column)?);
            column += part.len() + 1;
        }
        Ok(Self { requirements })
    }

    /// Whether labels meet every requirement.
    pub fn matches(&self, labels: &LabelMap) -> bool {
        self.requirements
            .iter()
            .all(|requirement| match requirement {
                LabelRequirement::Equals { key, value } => labels.get(key) == Some(value),
            })
    }
}

fn parse_requirement(part: &str, column: usize) -> Result<LabelRequirement, SelectorError> {
    let (key, value) = part
        .split_once('=')
        .filter(|(key, value)| !key.trim().is_empty() && !value.trim().is_empty())
        .ok_or(SelectorError::Expected { column })?;
    Ok(LabelRequirement::Equals {
        key: key.trim().into(),
        value: value.trim().into(),
    })
}
