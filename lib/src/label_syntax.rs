//! What a label's key and value may look like: the usual rules, so that other tools read them too.

use snafu::Snafu;

use crate::label_selector::LabelMap;

/// Longest name or value in bytes.
pub const MAX_NAME: usize = 63;
/// Longest prefix of a key, before its `/`, in bytes.
pub const MAX_PREFIX: usize = 253;

/// Why a key or value is not a valid one.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LabelError {
    /// There is nothing where a key should be.
    #[snafu(display("a label's key is empty"))]
    EmptyKey,
    /// The text is longer than allowed.
    #[snafu(display("`{text}` has {} bytes, more than {limit}", text.len()))]
    TooLong {
        /// The text.
        text: String,
        /// The longest allowed.
        limit: usize,
    },
    /// The text has a character that is not allowed.
    #[snafu(display("`{text}`: `{}` is not allowed here", character.escape_default()))]
    Character {
        /// The text.
        text: String,
        /// The first such character.
        character: char,
    },
    /// The text begins or ends with a sign.
    #[snafu(display("`{text}` must begin and end with a letter or digit"))]
    Edge {
        /// The text.
        text: String,
    },
}

/// Whether a character may stand in a key or a value.
pub fn is_label_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.' | '/')
}

/// Checks a key: a name, or a prefix, `/` and a name.
pub fn check_key(key: &str) -> Result<(), LabelError> {
    match key.split_once('/') {
        None => check_name(key),
        Some((prefix, name)) => {
            check_part(prefix, MAX_PREFIX)?;
            check_name(name)
        }
    }
}

/// Checks a value, which may be empty.
pub fn check_value(value: &str) -> Result<(), LabelError> {
    if value.is_empty() {
        return Ok(());
    }
    check_part(value, MAX_NAME)
}

/// Checks every key and value of an upstream's labels.
pub fn check_labels(labels: &LabelMap) -> Result<(), LabelError> {
    for (key, value) in labels {
        check_key(key)?;
        check_value(value)?;
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), LabelError> {
    check_part(name, MAX_NAME)
}

fn check_part(text: &str, limit: usize) -> Result<(), LabelError> {
    if text.is_empty() {
        return EmptyKeySnafu.fail();
    }
    if text.len() > limit {
        return TooLongSnafu { text, limit }.fail();
    }
    let forbidden = |character: &char| *character == '/' || !is_label_char(*character);
    if let Some(character) = text.chars().find(forbidden) {
        return CharacterSnafu { text, character }.fail();
    }
    let at_edge = |character: char| character.is_ascii_alphanumeric();
    if !text.starts_with(at_edge) || !text.ends_with(at_edge) {
        return EdgeSnafu { text }.fail();
    }
    Ok(())
}
