//! Checks the syntax of label keys and values: the usual rules, so that other tools accept them
//! too.

use snafu::Snafu;

use crate::label_selector::LabelMap;

/// Maximum length of a name or value.
pub const MAX_NAME_BYTES: usize = 63;
/// Maximum length of a key's prefix, before its `/`.
pub const MAX_PREFIX_BYTES: usize = 253;

/// Why a key or value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum LabelError {
    /// A key, or its prefix or name, is empty.
    #[snafu(display("a label's key is empty"))]
    EmptyKey,
    /// The text is longer than allowed.
    #[snafu(display("`{text}` has {} bytes, more than {limit}", text.len()))]
    TooLong {
        /// The text.
        text: String,
        /// The maximum length in bytes.
        limit: usize,
    },
    /// The text has a character that is not allowed.
    #[snafu(display("`{text}`: `{}` is not allowed here", character.escape_default()))]
    InvalidCharacter {
        /// The text.
        text: String,
        /// The first such character.
        character: char,
    },
    /// The text starts or ends with a character that is not a letter or digit.
    #[snafu(display("`{text}` must begin and end with a letter or digit"))]
    InvalidEdge {
        /// The text.
        text: String,
    },
}

/// Whether a character is allowed in a key or a value.
pub fn is_label_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.' | '/')
}

/// Checks a key: a name, or a prefix, `/` and a name.
pub fn check_key(key: &str) -> Result<(), LabelError> {
    match key.split_once('/') {
        None => check_name(key),
        Some((prefix, name)) => {
            check_segment(prefix, MAX_PREFIX_BYTES)?;
            check_name(name)
        }
    }
}

/// Checks a value, which may be empty.
pub fn check_value(value: &str) -> Result<(), LabelError> {
    if value.is_empty() {
        return Ok(());
    }
    check_segment(value, MAX_NAME_BYTES)
}

/// Checks all keys and values of an upstream's labels; fails on the first fault.
pub fn check_labels(labels: &LabelMap) -> Result<(), LabelError> {
    for (key, value) in labels {
        check_key(key)?;
        check_value(value)?;
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), LabelError> {
    check_segment(name, MAX_NAME_BYTES)
}

fn check_segment(text: &str, limit: usize) -> Result<(), LabelError> {
    if text.is_empty() {
        return EmptyKeySnafu.fail();
    }
    if text.len() > limit {
        return TooLongSnafu { text, limit }.fail();
    }
    let forbidden = |character: &char| *character == '/' || !is_label_char(*character);
    if let Some(character) = text.chars().find(forbidden) {
        return InvalidCharacterSnafu { text, character }.fail();
    }
    let is_alphanumeric = |character: char| character.is_ascii_alphanumeric();
    if !text.starts_with(is_alphanumeric) || !text.ends_with(is_alphanumeric) {
        return InvalidEdgeSnafu { text }.fail();
    }
    Ok(())
}
